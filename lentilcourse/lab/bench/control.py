"""The control plane: time to force, outage, throughput, recovery, cost of subscribers."""

from __future__ import annotations

import random
import tempfile
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Final

import attrs

from lentilcourse.actions import Change, PutEntry
from lentilcourse.controller.log_store import LogStore
from lentilcourse.controller.machine import CatalogueMachine
from lentilcourse.kernel.lifecycle import Lifecycle
from lentilcourse.lab.bench.figures import (
    MEASUREMENTS,
    Figure,
    cpu_seconds,
    percentile,
    resident_bytes,
)
from lentilcourse.lab.cluster import Cluster
from lentilcourse.lab.links import LinkBoard
from lentilcourse.lab.shapes import CLUSTER_KEY, SAMAHAN, Layout, Shape
from lentilcourse.messages.consensus import LogEntry
from lentilcourse.messages.state import Report
from lentilcourse.model import State
from lentilcourse.options import Address, parse_address
from lentilcourse.streams import KIND_PROCESS, Identity, start_heartbeats
from lentilcourse.subscription import ControllerBook, StateCopy, Subscription

SUBSCRIBERS: Final = 60
CHANGES: Final = 60
WRITERS: Final = 16
WRITES: Final = 320
IDLE_S: Final = 6.0
RECOVERY_RECORDS: Final = (1_000, 4_000, 16_000)
IN_FORCE_TARGET_S: Final = 4.0
MOVE_TARGET_S: Final = 3.0

EMPTY: Final = Shape(
    name="control",
    domains=SAMAHAN.domains,
    controllers=3,
    balancers=0,
    services=(),
    entries=(),
)


def entry(number: int) -> PutEntry:
    """Return the action that creates an entry."""
    return PutEntry(
        name=f"entry-{number}",
        service="board",
        owner="desk",
        traffic_class="standard",
        protocol="udp",
        address=f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:4000",
    )


class Watchers:
    """Subscribers in this process that note when each version came into force."""

    def __init__(self, *, cluster: Cluster, count: int) -> None:
        self.seen: dict[int, list[float]] = {}
        self.lifecycle = Lifecycle()
        self._lock = threading.Lock()
        start_heartbeats(self.lifecycle)
        controllers = {
            name: parse_address(address) for name, address in cluster.layout.controllers().items()
        }
        for number in range(count):
            self._start(f"watcher-{number}", controllers)

    def stop(self) -> None:
        """End all subscribers."""
        self.lifecycle.stopping.set()
        self.lifecycle.run_until_stopped()

    def wait_for(self, version: int, count: int, timeout_s: float) -> float:
        """Return when the last of `count` subscribers had a version; infinite if late."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            with self._lock:
                times = self.seen.get(version, [])
                if len(times) >= count:
                    return max(times)
            time.sleep(0.002)
        return float("inf")

    def _start(self, name: str, controllers: dict[str, Address]) -> None:
        copy = StateCopy()
        copy.listen(self._note)
        Subscription(
            controllers=ControllerBook(given=lambda: list(controllers.values())),
            identity=Identity(name=name, kind=KIND_PROCESS, key=bytes.fromhex(CLUSTER_KEY)),
            copy=copy,
            lifecycle=self.lifecycle,
            report=lambda: Report(
                name=name, role="balancer", domain="d", version=copy.current.version
            ),
            announce=lambda: None,
            rng=random.Random(name),
        ).start()

    def _note(self, state: State, now: float) -> None:
        with self._lock:
            self.seen.setdefault(state.version, []).append(now)


def start_group(folder: Path, prefix: str, group_commit: bool) -> Cluster:
    """Start three controllers."""
    layout = Layout(
        shape=EMPTY, prefix=prefix, folder=str(folder / "data"), group_commit=group_commit
    )
    cluster = Cluster(layout=layout, folder=folder)
    cluster.start_controllers()
    return cluster


@MEASUREMENTS.register("control")
def measure(folder: Path) -> list[Figure]:
    """Measure the control plane."""
    figures: list[Figure] = []
    cluster = start_group(folder / "group", "127.91", True)
    try:
        figures += _measure_throughput(cluster, "with group commit")
        figures += _measure_subscribers(cluster)
        watchers = Watchers(cluster=cluster, count=SUBSCRIBERS)
        time.sleep(2.0)
        try:
            figures += _measure_in_force(cluster, watchers)
            figures += _measure_outage(cluster, watchers)
        finally:
            watchers.stop()
    finally:
        cluster.stop_all()
    single = start_group(folder / "single", "127.92", False)
    try:
        figures += _measure_throughput(single, "without group commit")
    finally:
        single.stop_all()
    figures += _measure_move(folder / "links", "127.97")
    return figures + _measure_recovery()


def _measure_move(folder: Path, prefix: str) -> list[Figure]:
    """Measure how long a process stays with a controller that is silently cut off."""
    shape = attrs.evolve(EMPTY, balancers=2)
    layout = Layout(shape=shape, prefix=prefix, folder=str(folder / "data"), links=True)
    board = LinkBoard(layout=layout)
    cluster = Cluster(layout=layout, folder=folder)
    try:
        cluster.start_controllers()
        for name in layout.balancers():
            cluster.start_daemon(name)
        cluster.wait_ready()
        leader = cluster.wait_leader()
        followed = next(
            status.name
            for status in cluster.operator.statuses()
            if status.name != leader and status.reports
        )
        board.cut_between(followed, set(layout.controllers()) - {followed})
        cut = time.monotonic()
        version = cluster.operator.change_at(leader, entry(30_000), 0).version
        missing = cluster.operator.wait_in_force(version, 20.0)
        spent = time.monotonic() - cut if not missing else float("inf")
    finally:
        cluster.stop_all()
        board.close()
    name = "cut of a controller to a change in force at its subscribers"
    return [Figure(name=name, value=spent, unit="s", target=MOVE_TARGET_S)]


def _measure_throughput(cluster: Cluster, what: str) -> list[Figure]:
    def write(numbers: range) -> None:
        client = cluster.operator
        for number in numbers:
            client.change(entry(number), 0)

    share = WRITES // WRITERS
    began = time.monotonic()
    with ThreadPoolExecutor(max_workers=WRITERS) as pool:
        list(pool.map(write, [range(s * share, (s + 1) * share) for s in range(WRITERS)]))
    rate = WRITES / (time.monotonic() - began)
    return [Figure(name=f"accepted changes, {WRITERS} writers, {what}", value=rate, unit="1/s")]


def _measure_in_force(cluster: Cluster, watchers: Watchers) -> list[Figure]:
    client = cluster.operator
    delays: list[float] = []
    for number in range(CHANGES):
        outcome = client.change(entry(10_000 + number), 0)
        accepted = time.monotonic()
        last = watchers.wait_for(outcome.version, SUBSCRIBERS, 10.0)
        delays.append(max(0.0, last - accepted))
    name = f"accepted to in force at {SUBSCRIBERS} subscribers"
    return [
        Figure(name=f"{name}, p50", value=percentile(delays, 0.5), unit="s"),
        Figure(
            name=f"{name}, p99",
            value=percentile(delays, 0.99),
            unit="s",
            target=IN_FORCE_TARGET_S,
        ),
    ]


def _measure_outage(cluster: Cluster, watchers: Watchers) -> list[Figure]:
    client = cluster.operator
    leader = client.leader()
    killed = time.monotonic()
    cluster.kill(leader)
    outcome = client.change(entry(20_000), 0)
    outage = time.monotonic() - killed
    accepted = time.monotonic()
    last = watchers.wait_for(outcome.version, SUBSCRIBERS, 20.0)
    return [
        Figure(name="no change accepted after a leader kill", value=outage, unit="s"),
        Figure(
            name="accepted to in force everywhere, during a leader kill",
            value=max(0.0, last - accepted),
            unit="s",
            target=IN_FORCE_TARGET_S,
        ),
    ]


def _measure_subscribers(cluster: Cluster) -> list[Figure]:
    """Measure the cost of subscribers at the controllers that they follow, from two sizes."""
    pids = [process.pid for process in cluster.processes.values()]
    costs: dict[int, tuple[float, float]] = {}
    for count in (0, 30, 90):
        watchers = Watchers(cluster=cluster, count=count)
        time.sleep(2.0)
        before = sum(cpu_seconds(pid) for pid in pids)
        time.sleep(IDLE_S)
        spent = (sum(cpu_seconds(pid) for pid in pids) - before) / IDLE_S
        memory = sum(resident_bytes(pid) for pid in pids)
        costs[count] = (spent, memory)
        watchers.stop()
    slope = (costs[90][0] - costs[0][0]) / 90
    memory_slope = (costs[90][1] - costs[0][1]) / 90
    return [
        Figure(name="three idle controllers, CPU", value=costs[0][0], unit="cores"),
        Figure(name="CPU per idle subscriber at its controller", value=slope, unit="cores"),
        Figure(name="memory per subscriber at its controller", value=memory_slope, unit="bytes"),
    ]


def _measure_recovery() -> list[Figure]:
    figures: list[Figure] = []
    for records in RECOVERY_RECORDS:
        with tempfile.TemporaryDirectory() as folder:
            store = LogStore(folder=Path(folder), name="bench")
            store.append([_log_entry(index) for index in range(1, records + 1)])
            store.close()
            began = time.thread_time()
            again = LogStore(folder=Path(folder), name="bench")
            machine = CatalogueMachine()
            for record in again.entries_from(1, records):
                assert record.change is not None
                machine.apply(record.change)
            spent = time.thread_time() - began
            again.close()
        figures.append(Figure(name=f"recovery of {records} log records", value=spent, unit="s"))
    return figures


def _log_entry(index: int) -> LogEntry:
    change = Change(
        change_id=str(index),
        operator="bench",
        source="",
        at_ms=0,
        edit_version=0,
        action=entry(index),
    )
    return LogEntry(index=index, term=1, change=change)
