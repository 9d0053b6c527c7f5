"""Fault soak: real processes under load while seeded disturbances overlap.

Each seed draws disturbances for the processes and links of a small deployment. Processes are
killed, stopped, frozen and restarted by signals; links to controllers and agents are cut one way
or both, or forget their connections. Callers keep their flows open all the time. The promises are
checked from what callers and targets saw.
"""

from __future__ import annotations

import json
import random
import shutil
import signal
import sys
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Final

import attrs
import defopt

from lentilcourse.errors import LentilcourseError
from lentilcourse.kernel.registry import Registry
from lentilcourse.lab.cluster import Cluster, wait_until
from lentilcourse.lab.fabric import Fabric
from lentilcourse.lab.links import LinkBoard
from lentilcourse.lab.request_load import (
    RequestLoad,
    RequestPlan,
    check_executions,
    send_request,
)
from lentilcourse.lab.shapes import SAMAHAN, Layout
from lentilcourse.logs import configure_logging

FLOWS: Final = 60
FLOW_INTERVAL_S: Final = 0.2
PACE_S: Final = 0.01
CALLERS: Final = 4
MEAN_PAUSE_S: Final = 1.2
"""Mean time between the beginnings of two disturbances."""
MAX_DISTURBANCE_S: Final = 2.5
MAX_AGENT_DOWN_S: Final = 0.7
"""Longest time for which an agent that loses its memory is down; it starts within about a second
and must be back within 3 s, after which its flows are refused."""
MEMORY_LOSS_GAP_S: Final = 8.0
"""Time between two agents that lose their memory, or such an agent and a disturbed link: flows are
recorded at two agents, and records return by stream."""
STOP_TIMEOUT_S: Final = 40.0
RETURN_TIMEOUT_S: Final = 40.0
SIGNAL_STATUS: Final = 128
FIRST_NETWORK: Final = 200
NETWORKS: Final = 50


@attrs.frozen(kw_only=True)
class Disturbance:
    """Something that happens to one process.

    Attributes:
        kind: what happens, a name in `DISTURBANCES`.
        process: process to which it happens.
        at_s: begin, in seconds after the start of the load.
        for_s: how long it lasts.
    """

    kind: str
    process: str
    at_s: float
    for_s: float


@attrs.define(kw_only=True)
class Soak:
    """A running deployment with its load."""

    cluster: Cluster
    board: LinkBoard
    fabric: Fabric
    load: RequestLoad


@attrs.frozen(kw_only=True)
class SoakResult:
    """Outcome of one seed; `failures` is empty if all promises held."""

    seed: int
    flows: int
    requests: int
    disturbances: tuple[Disturbance, ...]
    failures: tuple[str, ...]


End = Callable[[], bool]
"""Ends a disturbance once it may end; returns False to be called again."""
DISTURBANCES: Final[Registry[Callable[[Soak, str], End]]] = Registry(kind="disturbance")


@DISTURBANCES.register("kill")
def kill(soak: Soak, process: str) -> End:
    """Kill a process and start it again at the end."""
    soak.cluster.kill(process)
    return lambda: _start(soak, process)


@DISTURBANCES.register("stop")
def stop(soak: Soak, process: str) -> End:
    """Stop a process gracefully and start it again once it has exited."""
    soak.cluster.signal(process, signal.SIGTERM)
    deadline = time.monotonic() + STOP_TIMEOUT_S

    def restart() -> bool:
        if soak.cluster.processes[process].poll() is None:
            if time.monotonic() > deadline:
                raise LentilcourseError(f"{process} did not stop within {STOP_TIMEOUT_S} s")
            return False
        del soak.cluster.processes[process]
        return _start(soak, process)

    return restart


@DISTURBANCES.register("freeze")
def freeze(soak: Soak, process: str) -> End:
    """Freeze a process; it goes on at the end."""
    soak.cluster.signal(process, signal.SIGSTOP)

    def resume() -> bool:
        soak.cluster.signal(process, signal.SIGCONT)
        return True

    return resume


@DISTURBANCES.register("cut")
def cut(soak: Soak, process: str) -> End:
    """Cut a process off from the controllers, silently and in both directions."""
    soak.board.cut(process, inbound=True, outbound=True)
    return lambda: _heal(soak)


@DISTURBANCES.register("deafen")
def deafen(soak: Soak, process: str) -> End:
    """Let nothing reach a process from the controllers, while it still reaches them."""
    soak.board.cut(process, inbound=True, outbound=False)
    return lambda: _heal(soak)


@DISTURBANCES.register("forget")
def forget(soak: Soak, process: str) -> End:
    """Let all links lose track of their connections; new ones work."""
    for link in (*soak.board.links_to_agents(), *soak.board.links_to_controllers()):
        link.forget()
    return lambda: True


def _start(soak: Soak, process: str) -> bool:
    soak.cluster.start_daemon(process)
    return True


def _heal(soak: Soak) -> bool:
    soak.board.heal()
    return True


MEMORY_LOSSES: Final = frozenset(("kill", "stop"))
SIGNAL_KINDS: Final = frozenset(("kill", "stop", "freeze"))


def draw_disturbances(seed: int, layout: Layout, seconds: float) -> tuple[Disturbance, ...]:
    """Return the disturbances of a seed, in order of their begin.

    They overlap, but for what the design does not promise to bear: signals to one process do not
    overlap, one balancer stays undisturbed, and an agent that loses its memory must be back within
    3 s, so no other agent loses its memory and no link is disturbed around that time.
    """
    rng = random.Random(seed)
    balancers = list(layout.balancers())[1:]
    agents = [place.name for place in layout.targets()]
    processes = [*balancers, *layout.controllers(), *agents]
    busy_until = dict.fromkeys(processes, 0.0)
    memory_lost_at = links_disturbed_at = -MEMORY_LOSS_GAP_S
    drawn: list[Disturbance] = []
    at_s = 0.0
    while (at_s := at_s + rng.expovariate(1.0 / MEAN_PAUSE_S)) < seconds:
        kind, process = rng.choice(list(DISTURBANCES.names())), rng.choice(processes)
        for_s = rng.uniform(0.2, MAX_DISTURBANCE_S)
        loses_memory = kind in MEMORY_LOSSES and process in agents
        disturbs_links = kind not in SIGNAL_KINDS
        recent = max(memory_lost_at, links_disturbed_at) if loses_memory else memory_lost_at
        if busy_until[process] > at_s:
            continue
        if (loses_memory or disturbs_links) and at_s - recent < MEMORY_LOSS_GAP_S:
            continue
        if loses_memory:
            for_s = rng.uniform(0.2, MAX_AGENT_DOWN_S)
            memory_lost_at = at_s + for_s
        if disturbs_links:
            links_disturbed_at = max(links_disturbed_at, at_s + for_s)
        if kind in SIGNAL_KINDS:
            busy_until[process] = at_s + for_s + MEMORY_LOSS_GAP_S
        drawn.append(Disturbance(kind=kind, process=process, at_s=at_s, for_s=for_s))
    return tuple(drawn)


def run_seed(seed: int, *, seconds: float, prefix: str, folder: Path) -> SoakResult:
    """Run the disturbances that a seed draws and return what was found."""
    layout = soak_layout(prefix, folder)
    return run_disturbances(seed, draw_disturbances(seed, layout, seconds), layout, folder)


def soak_layout(prefix: str, folder: Path) -> Layout:
    """Return the deployment of a soak."""
    return Layout(shape=SAMAHAN, prefix=prefix, folder=str(folder / "data"), links=True)


def run_disturbances(
    seed: int, disturbances: tuple[Disturbance, ...], layout: Layout, folder: Path
) -> SoakResult:
    """Run disturbances in a deployment of their own; `seed` draws the load."""
    board = LinkBoard(layout=layout)
    cluster = Cluster(layout=layout, folder=folder)
    fabric = Fabric(address=layout.fabric, balancers=cluster.packet_addresses(), seed=seed)
    load = RequestLoad(balancers=cluster.request_addresses(), seed=seed)
    soak = Soak(cluster=cluster, board=board, fabric=fabric, load=load)
    try:
        cluster.start_all()
        fabric.start()
        failures = _run_load(soak, disturbances)
    finally:
        load.stop()
        fabric.stop()
        cluster.stop_all()
        board.close()
    return SoakResult(
        seed=seed,
        flows=fabric.counts.opened,
        requests=len(load.results),
        disturbances=disturbances,
        failures=tuple(failures),
    )


def _run_load(soak: Soak, disturbances: tuple[Disturbance, ...]) -> list[str]:
    flows, requests = _entries(soak.cluster.layout)
    for _ in range(FLOWS):
        soak.fabric.open_flow(flows, time.monotonic())
        _pace(soak, PACE_S)
    _pace(soak, 1.0)
    soak.load.start(RequestPlan(entry=requests, keyed=True), CALLERS)
    soak.load.start(RequestPlan(entry=requests), CALLERS)
    failures = _play(soak, disturbances)
    failures += _check_return(soak, requests)
    soak.load.stop()
    return failures + _check_promises(soak)


def _play(soak: Soak, disturbances: tuple[Disturbance, ...]) -> list[str]:
    """Begin and end the disturbances while the load runs; returns processes that ended."""
    began = time.monotonic()
    waiting = list(disturbances)
    ends: list[tuple[float, End]] = []
    ended: set[str] = set()
    stopping = {each.process for each in disturbances if each.kind == "stop"}
    while waiting or ends:
        _pace(soak, PACE_S)
        now_s = time.monotonic() - began
        ends = [(at_s, end) for at_s, end in ends if at_s > now_s or not end()]
        ended |= _exited(soak) - stopping
        while waiting and waiting[0].at_s <= now_s:
            disturbance = waiting.pop(0)
            if disturbance.process in soak.cluster.processes:
                begin = DISTURBANCES.get(disturbance.kind)
                end = begin(soak, disturbance.process)
                ends.append((now_s + disturbance.for_s, end))
    return [f"{name} ended by itself" for name in sorted(ended)]


def _exited(soak: Soak) -> set[str]:
    return {name for name, process in soak.cluster.processes.items() if process.poll() is not None}


def _check_return(soak: Soak, entry: str) -> list[str]:
    """Check that all processes agree and requests are answered once all disturbances are over."""
    addresses = soak.cluster.request_addresses()
    rng = random.Random(len(soak.load.results))
    plans = [RequestPlan(entry=entry, keyed=number % 2 == 0) for number in range(10)]

    def answered() -> bool:
        _pace(soak, PACE_S)
        return all(send_request(plan, rng, addresses).outcome == "answered" for plan in plans)

    failures: list[str] = []
    for condition, what in (
        (answered, "requests are answered again"),
        (lambda: _settled(soak), "all flows are answered"),
    ):
        try:
            wait_until(condition, RETURN_TIMEOUT_S, what)
        except LentilcourseError as exc:
            failures.append(str(exc))
    try:
        soak.cluster.wait_ready()
    except LentilcourseError as exc:
        failures.append(str(exc))
    return failures


def _settled(soak: Soak) -> bool:
    _pace(soak, PACE_S)
    flows = list(soak.fabric.flows.values())
    return all(flow.answered >= flow.sent - 1 for flow in flows)


def _check_promises(soak: Soak) -> list[str]:
    """Return the promises that were broken, from the counts of callers and targets."""
    counts, check = soak.fabric.counts, check_executions(soak.load.results, _executions(soak))
    found = {
        "flows broken": counts.broken,
        "flows refused": counts.refused,
        "flows moved": len(soak.fabric.moved),
        "orders run twice": check.doubled,
        "false 'ran: no'": check.false_no,
        "answers crossed or not whole": check.crossed,
        "answers without execution": check.missing,
        "requests refused unknown-entry": sum(
            "unknown-entry" in result.reason for result in soak.load.results
        ),
    }
    reasons = dict(soak.fabric.reasons)
    return [f"{what}: {count} {reasons}" for what, count in found.items() if count]


def _executions(soak: Soak) -> Counter[str]:
    time.sleep(1.0)
    return soak.cluster.executions()


def _entries(layout: Layout) -> tuple[str, str]:
    """Return the address of the entry of flows and the name of the first entry of requests."""
    entries = layout.shape.entries
    return (
        next(entry.address for entry in entries if entry.protocol == "udp"),
        next(entry.name for entry in entries if entry.protocol == "http"),
    )


def _pace(soak: Soak, seconds: float) -> None:
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        soak.fabric.pace(FLOW_INTERVAL_S, time.monotonic())
        time.sleep(PACE_S)


def _end_run(signum: int, frame: object) -> None:
    """End the run by an exception, so that the processes of the current seed are stopped."""
    sys.exit(SIGNAL_STATUS + signum)


def run(*, first: int = 1, last: int = 1, seconds: float = 25.0, folder: str = "run/soak") -> None:
    """Run seeds one after the other; a line each, and exit status 1 if a promise was broken.

    The folder of a seed that failed is kept with the logs of all processes.

    :param first: first seed
    :param last: last seed
    :param seconds: time over which disturbances begin
    :param folder: folder of settings, data and logs
    """
    configure_logging(process="soak", role="soak", level="ERROR")
    signal.signal(signal.SIGTERM, _end_run)
    failed = 0
    for seed in range(first, last + 1):
        place = Path(folder) / str(seed)
        shutil.rmtree(place, ignore_errors=True)
        prefix = f"127.{FIRST_NETWORK + seed % NETWORKS}"
        result = run_seed(seed, seconds=seconds, prefix=prefix, folder=place)
        print(json.dumps(attrs.asdict(result)), flush=True)
        failed += bool(result.failures)
        if not result.failures:
            shutil.rmtree(place)
    print(f"{last - first + 1 - failed} seeds passed, {failed} failed", file=sys.stderr)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    defopt.run(run)
