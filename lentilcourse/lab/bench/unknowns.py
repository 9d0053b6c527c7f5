"""How often callers hear "unknown" under each fault, for orders and for repeatable requests.

One deployment, one fault after the other under the same load; each fault is healed before the
next. The targets' own counts say whether a refusal with "ran: no" was true.
"""

from __future__ import annotations

import signal
import time
from collections.abc import Callable
from pathlib import Path
from typing import Final

import attrs

from lentilcourse.lab.bench.figures import MEASUREMENTS, Figure
from lentilcourse.lab.cluster import Cluster
from lentilcourse.lab.request_load import (
    RequestLoad,
    RequestPlan,
    RequestResult,
    check_executions,
)
from lentilcourse.lab.shapes import SAMAHAN, Layout
from lentilcourse.refusals import RAN_NO, RAN_UNKNOWN

PREFIX: Final = "127.49"
CALLERS: Final = 8
BEFORE_S: Final = 2.0
FAULT_S: Final = 4.0
AFTER_S: Final = 4.0
WARM_UP_S: Final = 12.0
SETTLE_S: Final = 5.0
AGENT: Final = "ordering-4"
TARGET: Final = f"target:{AGENT}"
BALANCER: Final = "balancer-1"

Step = Callable[[Cluster], None]


@attrs.frozen(kw_only=True)
class Fault:
    """A fault and how it ends."""

    name: str
    begin: Step
    end: Step


def _kill(*names: str) -> Step:
    def kill(cluster: Cluster) -> None:
        for name in names:
            cluster.kill(name)

    return kill


def _signal(name: str, signum: signal.Signals) -> Step:
    return lambda cluster: cluster.signal(name, signum)


def _start_target(cluster: Cluster) -> None:
    cluster.start_target(cluster.place(AGENT))


def _start_vm(cluster: Cluster) -> None:
    cluster.start_daemon(AGENT)
    _start_target(cluster)


FAULTS: Final = (
    Fault(name="no fault", begin=_kill(), end=_kill()),
    Fault(
        name="balancer killed",
        begin=_kill(BALANCER),
        end=lambda cluster: cluster.start_daemon(BALANCER),
    ),
    Fault(
        name="agent killed",
        begin=_kill(AGENT),
        end=lambda cluster: cluster.start_daemon(AGENT),
    ),
    Fault(
        name="agent frozen",
        begin=_signal(AGENT, signal.SIGSTOP),
        end=_signal(AGENT, signal.SIGCONT),
    ),
    Fault(
        name="target frozen",
        begin=_signal(TARGET, signal.SIGSTOP),
        end=_signal(TARGET, signal.SIGCONT),
    ),
    Fault(name="target killed", begin=_kill(TARGET), end=_start_target),
    Fault(name="agent and target killed", begin=_kill(AGENT, TARGET), end=_start_vm),
)


def measure_fault(cluster: Cluster, fault: Fault, seed: int) -> list[Figure]:
    """Run load through one fault and count what callers were told."""
    with RequestLoad(balancers=cluster.request_addresses(), seed=seed) as load:
        load.start(RequestPlan(entry="orders", keyed=True, pause_s=0.02), CALLERS)
        load.start(RequestPlan(entry="orders", pause_s=0.02), CALLERS)
        time.sleep(BEFORE_S)
        fault.begin(cluster)
        time.sleep(FAULT_S)
        fault.end(cluster)
        time.sleep(AFTER_S)
    cluster.wait_ready()
    time.sleep(SETTLE_S)
    check = check_executions(load.results, cluster.executions())
    figures = _shares(fault, "orders", [each for each in load.results if each.keyed])
    figures += _shares(fault, "repeatable", [each for each in load.results if not each.keyed])
    figures.append(
        Figure(
            name=f"{fault.name}: run twice, or a false 'ran: no'",
            value=float(check.doubled + check.false_no),
            unit="requests",
            target=0.0,
        )
    )
    return figures


def _shares(fault: Fault, kind: str, results: list[RequestResult]) -> list[Figure]:
    title = f"{fault.name}, {len(results)} {kind}"
    unknown = sum(each.ran == RAN_UNKNOWN for each in results)
    refused = sum(each.ran == RAN_NO for each in results)
    silent = sum(each.unanswered for each in results)
    return [
        Figure(name=f"{title}: unknown", value=unknown / len(results), unit="share"),
        Figure(name=f"{title}: refused, not run", value=refused / len(results), unit="share"),
        Figure(name=f"{title}: cut or no answer", value=silent / len(results), unit="share"),
    ]


@MEASUREMENTS.register("unknowns")
def measure(folder: Path) -> list[Figure]:
    """Measure all faults on one deployment."""
    layout = Layout(shape=SAMAHAN, prefix=PREFIX, folder=str(folder / "data"))
    cluster = Cluster(layout=layout, folder=folder)
    figures: list[Figure] = []
    try:
        cluster.start_all()
        time.sleep(WARM_UP_S)
        for seed, fault in enumerate(FAULTS):
            figures += measure_fault(cluster, fault, seed)
    finally:
        cluster.stop_all()
    return figures
