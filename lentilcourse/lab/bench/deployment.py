"""Flows and requests through a whole deployment, against baselines of this repository."""

from __future__ import annotations

import itertools
import random
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Final

import attrs

from lentilcourse.buckets import bucket_of, rendezvous_table
from lentilcourse.lab.bench.control import entry
from lentilcourse.lab.bench.figures import MEASUREMENTS, Figure, cpu_seconds, percentile
from lentilcourse.lab.cluster import Cluster
from lentilcourse.lab.demo import FlowDriver, flow_imbalance
from lentilcourse.lab.fabric import Fabric
from lentilcourse.lab.request_load import (
    RequestLoad,
    RequestPlan,
    RequestResult,
    send_request,
)
from lentilcourse.lab.shapes import SAMAHAN, TARGET_HTTP_PORT, Layout
from lentilcourse.lab.target import BASE_SERVICE_S

POLICIES: Final = ("two-choices", "random", "round-robin")
LOADS: Final = (0.5, 0.9, 1.5)
REQUEST_SIZE: Final = 10.0
LOAD_S: Final = 8.0
WARM_UP_S: Final = 12.0
MAX_CALLERS: Final = 400
IMBALANCE_TARGET: Final = 1.25
LATENCY_REQUESTS: Final = 200
CLOSED_LOOP_CALLERS: Final = 16
CLOSED_LOOP_S: Final = 5.0
BUSY_CHANGES_PER_S: Final = 5.0
CONTROL_TARGET_BYTES: Final = 4096.0
CONTROL_TARGET_CORES: Final = 0.012
NEW_FLOWS_PER_S: Final = 5000
NEW_FLOWS_S: Final = 2.5
BASELINE_FLOWS: Final = 2000
BASELINE_CHANGES: Final = 10
SERVICE: Final = "ordering"


def capacity_per_s(cluster: Cluster) -> float:
    """Return the requests a second that the ordering service bears."""
    places = [place for place in cluster.layout.targets() if place.service.name == SERVICE]
    work = sum(place.speed * place.service.slots for place in places)
    return work / (BASE_SERVICE_S * REQUEST_SIZE)


class OpenLoad:
    """Requests at a fixed rate, whatever the answers do."""

    def __init__(self, *, balancers: list[tuple[str, int]]) -> None:
        self.results: list[RequestResult] = []
        self._balancers = balancers
        self._rng = random.Random(1)
        self._pool = ThreadPoolExecutor(max_workers=MAX_CALLERS)
        self._lock = threading.Lock()

    def run(self, rate: float, seconds: float) -> None:
        """Send for a time and wait for all answers."""
        plan = RequestPlan(entry="orders", size=REQUEST_SIZE)
        began = time.monotonic()
        for number in range(int(rate * seconds)):
            due = began + number / rate
            time.sleep(max(0.0, due - time.monotonic()))
            self._pool.submit(self._send, plan, random.Random(self._rng.random()))
        self._pool.shutdown(wait=True)

    def _send(self, plan: RequestPlan, rng: random.Random) -> None:
        result = send_request(plan, rng, self._balancers, resends=1)
        with self._lock:
            self.results.append(result)


def measure_policy(policy: str, folder: Path, prefix: str) -> list[Figure]:
    """Measure goodput, latency and imbalance of one candidate policy."""
    layout = Layout(shape=SAMAHAN, prefix=prefix, folder=str(folder / "data"), policy=policy)
    cluster = Cluster(layout=layout, folder=folder)
    figures: list[Figure] = []
    try:
        cluster.start_all()
        time.sleep(WARM_UP_S)
        for load in LOADS:
            figures += _measure_load(cluster, policy, load)
    finally:
        cluster.stop_all()
    return figures


def _measure_load(cluster: Cluster, policy: str, load: float) -> list[Figure]:
    names = [p.name for p in cluster.layout.targets() if p.service.name == SERVICE]
    before = {name: cluster.target_stats(name)["busy_s"] for name in names}
    offered = capacity_per_s(cluster) * load
    callers = OpenLoad(balancers=cluster.request_addresses())
    began = time.monotonic()
    callers.run(offered, LOAD_S)
    spent = time.monotonic() - began
    stats = {name: cluster.target_stats(name) for name in names}
    used = [(stats[name]["busy_s"] - before[name]) / stats[name]["slots"] for name in names]
    answered = [each for each in callers.results if each.outcome == "answered"]
    times = [each.seconds for each in answered]
    title = f"{policy}, load {load:.0%}"
    ours = policy == POLICIES[0]
    figures = [
        Figure(
            name=f"{title}: goodput of offered",
            value=len(answered) / len(callers.results),
            unit="share",
        ),
        Figure(name=f"{title}: answered a second", value=len(answered) / spent, unit="1/s"),
        Figure(name=f"{title}: latency p50", value=percentile(times, 0.5), unit="s"),
        Figure(name=f"{title}: latency p99", value=percentile(times, 0.99), unit="s"),
    ]
    if load < 1.0:
        figures.append(
            Figure(
                name=f"{title}: imbalance of utilisation",
                value=max(used) / (sum(used) / len(used)),
                unit="ratio",
                target=IMBALANCE_TARGET if ours else None,
            )
        )
    return figures


def measure_flows(folder: Path, prefix: str) -> list[Figure]:
    """Measure new flows a second, flow imbalance, and control cost of idle processes."""
    shape = attrs.evolve(SAMAHAN, balancers=1)
    layout = Layout(shape=shape, prefix=prefix, folder=str(folder / "data"))
    cluster = Cluster(layout=layout, folder=folder)
    try:
        cluster.start_all()
        time.sleep(WARM_UP_S)
        figures = _measure_processes(cluster, "idle", lambda: time.sleep(LOAD_S))
        figures += _measure_processes(cluster, "busy", lambda: _change_steadily(cluster))
        fabric = Fabric(address=layout.fabric, balancers=cluster.packet_addresses(), seed=1)
        fabric.start()
        figures += _measure_requests(cluster)
        figures += _measure_new_flows(cluster, fabric)
        fabric.stop()
        return figures
    finally:
        cluster.stop_all()


def _change_steadily(cluster: Cluster) -> None:
    """Create entries at a rate far above that of the size to design for."""
    client = cluster.operator
    began = time.monotonic()
    for number in range(int(BUSY_CHANGES_PER_S * LOAD_S)):
        time.sleep(max(0.0, began + number / BUSY_CHANGES_PER_S - time.monotonic()))
        client.change(entry(number), 0)


def _measure_processes(cluster: Cluster, state: str, during: Callable[[], None]) -> list[Figure]:
    """Measure control bytes and CPU of balancers and agents while something goes on."""
    names = [*cluster.layout.balancers(), *(each.name for each in cluster.layout.targets())]
    pids = {name: cluster.processes[name].pid for name in names}
    bytes_before = {name: cluster.stream_bytes(name) for name in names}
    cpu_before = {name: cpu_seconds(pid) for name, pid in pids.items()}
    began = time.monotonic()
    during()
    spent = time.monotonic() - began
    rates = [(cluster.stream_bytes(name) - bytes_before[name]) / spent for name in names]
    cores = [(cpu_seconds(pid) - cpu_before[name]) / spent for name, pid in pids.items()]
    return [
        Figure(
            name=f"control bytes of {state} processes, both ways, highest",
            value=max(rates),
            unit="bytes/s",
            target=CONTROL_TARGET_BYTES if state == "idle" else None,
        ),
        Figure(
            name=f"CPU of {state} processes, highest",
            value=max(cores),
            unit="cores",
            target=CONTROL_TARGET_CORES if state == "idle" else None,
        ),
        Figure(name=f"CPU of {state} processes, mean", value=sum(cores) / len(cores), unit="cores"),
    ]


def _measure_requests(cluster: Cluster) -> list[Figure]:
    """Measure what the path adds to a request without work, and how many it carries."""
    balancer = cluster.request_addresses()
    place = cluster.layout.targets()[0]
    direct = [(place.host, TARGET_HTTP_PORT)]
    plan = RequestPlan(entry="orders", size=0.0)
    rng = random.Random(3)
    straight = [send_request(plan, rng, direct).seconds for _ in range(LATENCY_REQUESTS)]
    through = [send_request(plan, rng, balancer).seconds for _ in range(LATENCY_REQUESTS)]
    added = percentile(through, 0.5) - percentile(straight, 0.5)
    with RequestLoad(balancers=balancer, seed=5) as load:
        load.start(attrs.evolve(plan, pause_s=0.0001), CLOSED_LOOP_CALLERS)
        time.sleep(CLOSED_LOOP_S)
    answered = load.counts()["answered"] / CLOSED_LOOP_S
    return [
        Figure(name="direct call, latency p50", value=percentile(straight, 0.5), unit="s"),
        Figure(name="added by balancer and agent, latency p50", value=added, unit="s"),
        Figure(name="requests a second through one balancer", value=answered, unit="1/s"),
    ]


def _measure_new_flows(cluster: Cluster, fabric: Fabric) -> list[Figure]:
    address = SAMAHAN.entries[0].address
    total = int(NEW_FLOWS_PER_S * NEW_FLOWS_S)
    balancer = cluster.processes["balancer-1"].pid
    cpu_before = cpu_seconds(balancer)
    began = time.monotonic()
    for number in range(total):
        fabric.open_flow(address, time.monotonic())
        if number % 50 == 0:
            due = began + number / NEW_FLOWS_PER_S
            time.sleep(max(0.0, due - time.monotonic()))
    sent_s = time.monotonic() - began
    driver = FlowDriver(fabric=fabric, service=address, flows=0)
    driver.start()
    time.sleep(5.0)
    driver.stop()
    opened = fabric.counts.opened
    return [
        Figure(name="new flows offered a second, one balancer", value=total / sent_s, unit="1/s"),
        Figure(
            name="new flows accepted a second, one balancer",
            value=opened / sent_s,
            unit="1/s",
            target=float(NEW_FLOWS_PER_S),
            highest=False,
        ),
        Figure(
            name="CPU of that balancer while they came",
            value=(cpu_seconds(balancer) - cpu_before) / (sent_s + 5.0),
            unit="cores",
        ),
        Figure(
            name="flow imbalance (open flows over connections)",
            value=flow_imbalance(cluster),
            unit="ratio",
            target=IMBALANCE_TARGET,
        ),
        Figure(name="flows broken meanwhile", value=fabric.counts.broken, unit="flows", target=0.0),
    ]


def measure_baselines() -> list[Figure]:
    """Return the share of flows that membership changes break without a directory."""
    rng = random.Random(2)
    keys = [rng.randbytes(13) for _ in range(BASELINE_FLOWS)]
    names = [f"ordering-{number}" for number in range(1, 8)]

    def hashed(members: tuple[str, ...], key: bytes, turn: int) -> str:
        return rendezvous_table(SERVICE, members).candidates[bucket_of(key)][0]

    def chosen(members: tuple[str, ...], key: bytes, turn: int) -> str:
        return rng.choice(members)

    def in_turn(members: tuple[str, ...], key: bytes, turn: int) -> str:
        return members[turn % len(members)]

    ways: dict[str, Callable[[tuple[str, ...], bytes, int], str]] = {
        "plain consistent hash": hashed,
        "random": chosen,
        "round robin": in_turn,
    }
    return [
        Figure(
            name=f"baseline {way}: flows broken by {BASELINE_CHANGES} drains and joins",
            value=_broken_share(keys, names, pick),
            unit="share",
        )
        for way, pick in ways.items()
    ]


def _broken_share(
    keys: list[bytes],
    names: list[str],
    pick: Callable[[tuple[str, ...], bytes, int], str],
) -> float:
    turns = itertools.count()
    owners = {key: pick(tuple(names), key, next(turns)) for key in keys}
    broken: set[bytes] = set()
    for change in range(BASELINE_CHANGES):
        absent = names[change // 2 % len(names)]
        members = tuple(n for n in names if n != absent) if change % 2 == 0 else tuple(names)
        broken |= {key for key in keys if pick(members, key, next(turns)) != owners[key]}
    return len(broken) / len(keys)


@MEASUREMENTS.register("deployment")
def measure(folder: Path) -> list[Figure]:
    """Measure flows and requests."""
    figures = measure_baselines()
    figures += measure_flows(folder / "flows", "127.93")
    for number, policy in enumerate(POLICIES):
        figures += measure_policy(policy, folder / policy, f"127.{94 + number}")
    return figures
