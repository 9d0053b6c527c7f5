"""Deployments for scenarios: a small shape, its processes and its callers."""

from __future__ import annotations

import time

from lentilcourse.actions import PutEntry
from lentilcourse.lab.cluster import Cluster, wait_until
from lentilcourse.lab.fabric import Fabric
from lentilcourse.lab.request_load import check_executions
from lentilcourse.lab.shapes import ServiceShape, Shape

BOARD = "10.77.0.1:4000"
FLOW_INTERVAL_S = 0.2
PACE_S = 0.01
SETTLE_TIMEOUT_S = 30.0

SMALL = Shape(
    name="small",
    domains=("luzon-a", "luzon-b", "luzon-c"),
    controllers=3,
    balancers=2,
    services=(
        ServiceShape(name="ordering", speeds=(1, 2, 2, 4), slots=3, connections=2000),
        ServiceShape(name="inspection", speeds=(2,), slots=3, connections=2000),
    ),
    entries=(
        PutEntry(
            name="price-board",
            service="ordering",
            owner="floor-desk",
            traffic_class="standard",
            protocol="udp",
            address=BOARD,
        ),
        PutEntry(
            name="orders",
            service="ordering",
            owner="floor-desk",
            traffic_class="interactive",
            protocol="http",
            address="10.77.0.1:80",
        ),
        PutEntry(
            name="intake",
            service="inspection",
            owner="millers-desk",
            traffic_class="bulk",
            protocol="http",
            address="10.77.0.2:80",
        ),
    ),
)

CONTROL = Shape(
    name="control",
    domains=("luzon-a", "luzon-b", "luzon-c"),
    controllers=3,
    balancers=1,
    services=(ServiceShape(name="ordering", speeds=(1,), slots=3, connections=2000),),
    entries=(SMALL.entries[0],),
)


class Deployment:
    """One running deployment with its callers."""

    def __init__(self, *, layout, folder, cold_s):
        self.cluster = Cluster(layout=layout, folder=folder, cold_s=cold_s)
        self.fabric = None
        self.results = []

    def start(self, skip=()):
        """Start all processes but some targets, and the fabric."""
        self.cluster.start_all(skip)
        self.fabric = Fabric(
            address=self.cluster.layout.fabric,
            balancers=self.cluster.packet_addresses(),
            seed=11,
        )
        self.fabric.start()

    def stop(self):
        """Stop everything."""
        if self.fabric is not None:
            self.fabric.stop()
        self.cluster.stop_all()

    def open_flows(self, count, address=BOARD):
        """Open flows and wait until none is opening."""
        for _ in range(count):
            self.fabric.open_flow(address, time.monotonic())
            self.run_flows(PACE_S)
        self.settle_flows()

    def run_flows(self, seconds):
        """Pace all flows for a time."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.fabric.pace(FLOW_INTERVAL_S, time.monotonic())
            time.sleep(PACE_S)

    def settle_flows(self):
        """Pace until every flow has the answer to its last message, or has ended."""

        def settled():
            self.fabric.pace(FLOW_INTERVAL_S, time.monotonic())
            flows = list(self.fabric.flows.values())
            return all(flow.state == "open" for flow in flows) and all(
                flow.answered >= flow.sent - 1 for flow in flows
            )

        wait_until(settled, SETTLE_TIMEOUT_S, "all flows answered", PACE_S)

    def check(self):
        """Compare results with the targets' executions."""
        return check_executions(self.results, self.cluster.executions())
