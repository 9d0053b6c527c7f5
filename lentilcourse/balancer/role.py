"""Assembles the role balancer."""

from __future__ import annotations

import random

from lentilcourse.balancer.links import AgentLinks
from lentilcourse.balancer.packet_path import PacketPath
from lentilcourse.balancer.policies import POLICY_PLUGINS
from lentilcourse.balancer.request_path import RequestPath
from lentilcourse.messages.state import Report
from lentilcourse.metrics import Metrics
from lentilcourse.refusals import RefusalCounts
from lentilcourse.roles import ROLE_PLUGINS, ProcessContext
from lentilcourse.streams import KIND_PROCESS, Identity
from lentilcourse.subscription import StateCopy, Subscription, named_controllers


@ROLE_PLUGINS.register("balancer")
def start_balancer(context: ProcessContext) -> None:
    """Start the role balancer."""
    settings, lifecycle = context.settings, context.lifecycle
    cfg = settings.balancer
    assert cfg is not None
    identity = Identity(name=settings.process.name, kind=KIND_PROCESS, key=settings.cluster_key)
    copy = StateCopy()
    refusals = RefusalCounts()
    packets = PacketPath(address=cfg.packet_address, lifecycle=lifecycle, refusals=refusals)
    requests = RequestPath(
        cfg=cfg,
        copy=copy,
        links=AgentLinks(identity=identity, lifecycle=lifecycle),
        policy=POLICY_PLUGINS.get(cfg.policy),
        lifecycle=lifecycle,
        refusals=refusals,
    )

    def report() -> Report:
        return Report(
            name=settings.process.name,
            role=settings.process.role,
            domain=settings.process.domain,
            version=copy.current.version,
            requests=requests.in_flight,
            refusals=refusals.read(),
            admin_address=str(settings.process.admin_address),
        )

    subscription = Subscription(
        controllers=named_controllers(settings),
        identity=identity,
        copy=copy,
        lifecycle=lifecycle,
        report=report,
        announce=lambda: None,
        rng=random.Random(),
    )
    copy.listen(packets.on_state)
    context.admin.add_refusals(refusals)
    lifecycle.on_drain(requests.drain)
    _add_metrics(context.metrics, packets, requests, copy, refusals)
    tasks = lifecycle.pool(name="balancer", limit=2)
    for loop in (packets.run, requests.run):
        lifecycle.keep_running(tasks, loop)
    subscription.start()


def _add_metrics(
    metrics: Metrics,
    packets: PacketPath,
    requests: RequestPath,
    copy: StateCopy,
    refusals: RefusalCounts,
) -> None:
    metrics.counters_of("lentilcourse.packets", packets.counts)
    metrics.counters_of("lentilcourse.requests", requests.counts)
    metrics.gauge("lentilcourse.requests.now", lambda: requests.in_flight)
    metrics.gauge("lentilcourse.state.version", lambda: copy.current.version)
    metrics.labelled_counter("lentilcourse.refusals", "refusal", refusals.read)
