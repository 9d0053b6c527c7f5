"""How long flows and streams feel a fault: times against the stated bounds.

Each measurement runs flows through a small deployment whose links can lose track of their
connections, brings one fault about and watches targets, callers or links.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Final

import attrs

from lentilcourse.actions import SetDomain
from lentilcourse.lab.bench.figures import MEASUREMENTS, Figure
from lentilcourse.lab.cluster import Cluster, wait_until
from lentilcourse.lab.demo import FlowDriver
from lentilcourse.lab.fabric import Fabric
from lentilcourse.lab.links import Link, LinkBoard
from lentilcourse.lab.shapes import SAMAHAN, Layout

PREFIX: Final = "127.48"
BOARD: Final = SAMAHAN.entries[0].address
SERVICE: Final = "ordering"
FLOWS: Final = 200
SETTLE_S: Final = 4.0
WATCH_S: Final = 6.0
WATCH_POLL_S: Final = 0.02
TIMEOUT_S: Final = 30.0
DOMAIN_TARGET_S: Final = 3.0
LEAVING_TARGET_S: Final = 3.0
HOME_TARGET_S: Final = 2.0
SILENT_TARGET_S: Final = 3.0


@attrs.frozen(kw_only=True)
class FlowRun:
    """A deployment with running flows."""

    cluster: Cluster
    board: LinkBoard
    fabric: Fabric

    def names(self, domain: str = "") -> list[str]:
        """Return the targets of the service, in one failure domain or in all."""
        places = self.cluster.layout.targets()
        return [
            place.name
            for place in places
            if place.service.name == SERVICE and domain in ("", place.domain)
        ]

    def messages(self, names: list[str]) -> int:
        """Return how many packets the named targets have got."""
        return sum(int(self.cluster.target_stats(name)["messages"]) for name in names)

    def owned_by(self, name: str) -> int:
        """Return how many flows one target was the first to answer."""
        return self.fabric.owners[name]


@contextmanager
def running_flows(folder: Path) -> Iterator[FlowRun]:
    """Run flows through the Samahan's deployment."""
    layout = Layout(shape=SAMAHAN, prefix=PREFIX, folder=str(folder / "data"), links=True)
    board = LinkBoard(layout=layout)
    cluster = Cluster(layout=layout, folder=folder)
    try:
        cluster.start_all()
        fabric = Fabric(address=layout.fabric, balancers=cluster.packet_addresses(), seed=1)
        fabric.start()
        driver = FlowDriver(fabric=fabric, service=BOARD, flows=FLOWS)
        driver.start()
        wait_until(lambda: fabric.open_count() >= FLOWS, TIMEOUT_S, "flows open")
        time.sleep(SETTLE_S)
        yield FlowRun(cluster=cluster, board=board, fabric=fabric)
        driver.stop()
        fabric.stop()
    finally:
        cluster.stop_all()
        board.close()


def last_growth_s(count: Callable[[], int], began: float) -> float:
    """Return how long after `began` a count last grew, watched for `WATCH_S`."""
    last, known = 0.0, count()
    while time.monotonic() - began < WATCH_S:
        found = count()
        if found > known:
            last, known = time.monotonic() - began, found
        time.sleep(WATCH_POLL_S)
    return last


def measure_domain_out(run: FlowRun) -> Figure:
    """Measure how long targets of a domain get packets after it was taken out."""
    names = run.names("luzon-b")
    run.cluster.operator.change(SetDomain(name="luzon-b", state="out"), 0)
    spent = last_growth_s(lambda: run.messages(names), time.monotonic())
    name = "domain taken out to its last packet"
    return Figure(name=name, value=spent, unit="s", target=DOMAIN_TARGET_S)


def measure_leaving(run: FlowRun) -> Figure:
    """Measure how long a target that drains gets new flows, while they open steadily."""
    name = run.names("luzon-a")[0]

    def opened() -> int:
        run.fabric.open_flow(BOARD, time.monotonic())
        return run.owned_by(name)

    wait_until(lambda: opened() > 0, TIMEOUT_S, f"new flows at {name}", WATCH_POLL_S)
    run.cluster.control_target(name, "drain")
    began = time.monotonic()
    spent = last_growth_s(opened, began)
    return Figure(
        name="target drains to its last new flow",
        value=spent,
        unit="s",
        target=LEAVING_TARGET_S,
    )


def measure_home_loss(run: FlowRun) -> list[Figure]:
    """Measure the longest wait of flows whose home is killed while their owners live."""
    name = run.names("luzon-c")[0]
    for flow in list(run.fabric.flows.values()):
        flow.longest_wait_s = 0.0
    broken = run.fabric.counts.broken
    owned = sum(flow.owner_name == name for flow in list(run.fabric.flows.values()))
    run.cluster.kill(name)
    time.sleep(WATCH_S)
    waits = [
        flow.longest_wait_s
        for flow in list(run.fabric.flows.values())
        if flow.owner_name not in ("", name)
    ]
    title = "home killed"
    return [
        Figure(
            name=f"{title}: longest wait of flows whose owner lives",
            value=max(waits),
            unit="s",
            target=HOME_TARGET_S,
        ),
        Figure(
            name=f"{title}: broken flows beyond its own {owned}",
            value=float(max(0, run.fabric.counts.broken - broken - owned)),
            unit="flows",
            target=0.0,
        ),
    ]


def measure_silent(run: FlowRun, links: list[Link], what: str) -> list[Figure]:
    """Measure how long ends hold connections that a link has lost track of."""
    broken = run.fabric.counts.broken
    count = sum(link.forget() for link in links)
    spent = wait_until(
        lambda: sum(link.forgotten_held() for link in links) == 0, TIMEOUT_S, what, WATCH_POLL_S
    )
    time.sleep(SETTLE_S)
    title = f"{count} connections to {what} silent"
    return [
        Figure(
            name=f"{title}: until all are given up", value=spent, unit="s", target=SILENT_TARGET_S
        ),
        Figure(
            name=f"{title}: broken flows",
            value=float(run.fabric.counts.broken - broken),
            unit="flows",
            target=0.0,
        ),
    ]


@MEASUREMENTS.register("faults")
def measure(folder: Path) -> list[Figure]:
    """Measure all faults, the harmless ones first, on one deployment."""
    with running_flows(folder) as run:
        figures = measure_silent(run, run.board.links_to_agents(), "agents")
        figures += measure_silent(run, run.board.links_to_controllers(), "controllers")
        figures.append(measure_leaving(run))
        figures.append(measure_domain_out(run))
        figures += measure_home_loss(run)
    return figures
