"""The demo: one deployment under load while a target drains, a balancer dies and a failure
domain goes out and comes back.

Prints a table and exits with 1 if a flow broke that no operator gave up, or a request was
answered wrongly.
"""

from __future__ import annotations

import shutil
import sys
import threading
import time
from pathlib import Path
from typing import Final

import attrs
import defopt

from lentilcourse.actions import DrainTarget, SetDomain
from lentilcourse.lab.cluster import Cluster
from lentilcourse.lab.fabric import Fabric
from lentilcourse.lab.request_load import (
    ExecutionCheck,
    RequestLoad,
    RequestPlan,
    check_executions,
)
from lentilcourse.lab.shapes import SHAPES, Layout
from lentilcourse.logs import configure_logging
from lentilcourse.model import Protocol
from lentilcourse.operator_client import OperatorClient

FLOWS: Final = 400
FLOW_INTERVAL_S: Final = 0.5
PACE_S: Final = 0.01
FABRIC_NOTICES_S: Final = 1.0
LOAD_S: Final = 20.0


@attrs.frozen(kw_only=True)
class DemoResult:
    """What the demo measured."""

    fabric: Fabric
    load: RequestLoad
    check: ExecutionCheck
    flow_imbalance: float
    versions: dict[str, int]
    version: int


class FlowDriver:
    """Keeps a number of flows open and paces them in a thread of its own."""

    def __init__(self, *, fabric: Fabric, service: str, flows: int) -> None:
        self._fabric = fabric
        self._service = service
        self._flows = flows
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start opening and pacing flows."""
        self._thread.start()

    def stop(self) -> None:
        """Stop pacing."""
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stop.is_set():
            now = time.monotonic()
            if len(self._fabric.flows) < self._flows:
                self._fabric.open_flow(self._service, now)
            self._fabric.pace(FLOW_INTERVAL_S, now)
            self._stop.wait(timeout=PACE_S)


def run(*, shape: str = "samahan", folder: str = "run/demo", load_s: float = LOAD_S) -> None:
    """Run the demo.

    :param shape: samahan or parekh
    :param folder: folder for settings, data and logs; emptied first
    :param load_s: seconds of load
    """
    configure_logging(process="demo", role="demo", level="ERROR")
    root = Path(folder)
    shutil.rmtree(root, ignore_errors=True)
    layout = Layout(shape=SHAPES[shape], prefix="127.30", folder=str(root / "data"))
    cluster = Cluster(layout=layout, folder=root)
    try:
        print(f"starting {shape}: {_count(layout)} processes", flush=True)
        cluster.start_all()
        result = drive(cluster, load_s)
    finally:
        cluster.stop_all()
    print_result(result)
    sys.exit(0 if passed(result) else 1)


def drive(cluster: Cluster, load_s: float) -> DemoResult:
    """Run load and events, and collect what was measured."""
    layout = cluster.layout
    fabric = Fabric(address=layout.fabric, balancers=cluster.packet_addresses(), seed=1)
    fabric.start()
    driver = FlowDriver(fabric=fabric, service=_flow_address(layout), flows=FLOWS)
    driver.start()
    with RequestLoad(balancers=cluster.request_addresses(), seed=2) as load:
        _start_requests(load, layout)
        imbalance = _run_events(cluster, fabric, load, load_s)
    driver.stop()
    executions = cluster.executions()
    reports = cluster.operator.reports()
    version = cluster.operator.state().version
    fabric.stop()
    return DemoResult(
        fabric=fabric,
        load=load,
        check=check_executions(load.results, executions),
        flow_imbalance=imbalance,
        versions={report.name: report.version for report in reports},
        version=version,
    )


def flow_imbalance(cluster: Cluster) -> float:
    """Return highest over mean share of open flows among targets that take flows."""
    state = cluster.operator.state()
    shares = [
        report.flows / state.targets[report.name].connections
        for report in cluster.operator.reports()
        if report.name in state.targets
        and state.targets[report.name].service == cluster.layout.shape.services[0].name
        and state.targets[report.name].state.value == "active"
    ]
    mean = sum(shares) / len(shares)
    return max(shares) / mean if mean else 0.0


def passed(result: DemoResult) -> bool:
    """Return whether nothing broke that no operator gave up."""
    check = result.check
    wrong = check.doubled + check.false_no + check.crossed + check.missing
    unanswered = sum(each.unanswered for each in result.load.results)
    uneven = any(version != result.version for version in result.versions.values())
    return not (result.fabric.counts.broken or wrong or unanswered or uneven)


def print_result(result: DemoResult) -> None:
    """Print the table."""
    counts = result.fabric.counts
    rows: list[tuple[str, object]] = [
        ("flows opened", counts.opened),
        ("flows broken unexpectedly", counts.broken),
        ("flows given up with the domain", counts.broken_domain_out),
        ("flows refused", counts.refused),
        ("flow imbalance (highest over mean)", f"{result.flow_imbalance:.2f}"),
    ]
    rows += sorted((f"  {reason}", number) for reason, number in result.fabric.reasons.items())
    rows += sorted((f"requests {what}", number) for what, number in result.load.counts().items())
    rows += [
        ("orders run twice", result.check.doubled),
        ("'ran: no' that was false", result.check.false_no),
        ("answers crossed or not whole", result.check.crossed),
        ("state version", result.version),
        ("processes at that version", sum(v == result.version for v in result.versions.values())),
        ("processes", len(result.versions)),
    ]
    width = max(len(name) for name, _ in rows)
    for name, value in rows:
        print(f"{name.ljust(width)}  {value}")
    print("PASSED" if passed(result) else "FAILED")


def _run_events(cluster: Cluster, fabric: Fabric, load: RequestLoad, load_s: float) -> float:
    """Run the events; returns the flow imbalance before the first one."""
    operator = cluster.operator
    step_s = load_s / 5
    time.sleep(step_s)
    imbalance = flow_imbalance(cluster)
    _drain_one(operator, cluster)
    time.sleep(step_s)
    _kill_balancer(cluster, fabric, load)
    time.sleep(step_s)
    domain = cluster.layout.shape.domains[2]
    _set_domain(operator, domain, "out")
    time.sleep(step_s)
    _set_domain(operator, domain, "in")
    time.sleep(step_s)
    return imbalance


def _drain_one(operator: OperatorClient, cluster: Cluster) -> None:
    name = cluster.layout.targets()[0].name
    print(f"drain target {name}", flush=True)
    operator.change(DrainTarget(name=name), operator.state().targets[name].version)


def _kill_balancer(cluster: Cluster, fabric: Fabric, load: RequestLoad) -> None:
    name = sorted(cluster.layout.balancers())[0]
    print(f"kill {name}", flush=True)
    cluster.kill(name)
    time.sleep(FABRIC_NOTICES_S)
    fabric.balancers = fabric.balancers[1:]
    load.balancers = load.balancers[1:]


def _set_domain(operator: OperatorClient, name: str, state: str) -> None:
    print(f"domain {name} {state}", flush=True)
    current = operator.state().domains.get(name)
    operator.change(SetDomain(name=name, state=state), current.version if current else 0)


def _start_requests(load: RequestLoad, layout: Layout) -> None:
    for entry in layout.shape.entries:
        if entry.protocol == Protocol.HTTP.value:
            keyed = entry.traffic_class == "interactive"
            plan = RequestPlan(entry=entry.name, keyed=keyed, pause_s=0.2)
            load.start(plan, 6 if keyed else 3)


def _flow_address(layout: Layout) -> str:
    flows = [each for each in layout.shape.entries if each.protocol == Protocol.UDP.value]
    return flows[0].address


def _count(layout: Layout) -> int:
    shape = layout.shape
    return shape.controllers + shape.balancers + 2 * len(layout.targets())


if __name__ == "__main__":
    defopt.run(run)
