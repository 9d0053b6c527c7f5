"""Process role steering-balancer."""

from __future__ import annotations

import random
import time
from typing import Final

from lentilcourse.plugins import load_plugin
from lentilcourse.roles import ROLE_PLUGINS, ProcessContext
from lentilcourse.steering.balancer_flows import BalancerFlows
from lentilcourse.steering.loops import DatagramLoop
from lentilcourse.steering.membership import create_system_view
from lentilcourse.steering.pacer import Pacer
from lentilcourse.steering.packet_format import PACKET_FORMATS
from lentilcourse.steering.placement_policies import PLACEMENT_POLICIES
from lentilcourse.steering.traffic_log import TrafficLog

SWEEP_INTERVAL_S: Final = 1.0
DRAIN_S: Final = 2.0
"""Time for which packets are still forwarded after a stop signal. Routers remove the balancer after
two failed health checks, sent every 0.5 s, and packets in flight must still arrive."""


@ROLE_PLUGINS.register("steering-balancer")
def start_steering_balancer(context: ProcessContext) -> None:
    """Start the steering-balancer role."""
    settings, lifecycle = context.settings, context.lifecycle
    cfg = settings.steering_balancer
    assert cfg is not None
    load_plugin(cfg.packet_format)
    caller_loop = DatagramLoop(address=cfg.packet_address, lifecycle=lifecycle)
    agent_loop = DatagramLoop(address=cfg.peer_address, lifecycle=lifecycle)
    view = create_system_view(
        context,
        lambda: flows.known_flows,
        on_change=lambda: flows.on_view_changed(time.monotonic()),
    )
    pacer = Pacer(link_mbps=cfg.link_mbps, send=agent_loop.send)
    flows = BalancerFlows(
        packet_format=PACKET_FORMATS.get(cfg.packet_format),
        placement=PLACEMENT_POLICIES.get(cfg.placement),
        peers=view.peers,
        state=lambda: view.copy.current,
        own_address=cfg.peer_address.pair(),
        domain=settings.process.domain,
        to_peer=lambda flow, datagram, to: pacer.submit(flow, datagram, to, time.monotonic()),
        to_caller=caller_loop.send,
        caller_port=cfg.packet_address.port,
        rng=random.Random(),
    )

    def ready() -> bool:
        has_catalogue = view.copy.current.catalogue.number > 0
        return has_catalogue and bool(view.peers.table().names)

    traffic_log = TrafficLog(
        sources={
            "": flows.counts,
            "caller_": caller_loop.counts,
            "agent_": agent_loop.counts,
            "paced_": pacer.counts,
        }
    )

    def sweep() -> None:
        while not lifecycle.stopped.wait(timeout=SWEEP_INTERVAL_S):
            now = time.monotonic()
            flows.sweep(now)
            traffic_log.write()
            view.directory.expire(now)

    context.admin.add_ready_check(ready)
    lifecycle.on_drain(lambda: time.sleep(DRAIN_S))
    metrics = context.metrics
    metrics.counters_of("lentilcourse.steering", flows.counts)
    metrics.counters_of("lentilcourse.datagrams.caller", caller_loop.counts)
    metrics.counters_of("lentilcourse.datagrams.agent", agent_loop.counts)
    metrics.counters_of("lentilcourse.pacing", pacer.counts)
    metrics.gauge("lentilcourse.steering.known_flows", lambda: flows.known_flows)
    metrics.histogram("lentilcourse.steering.lookup", flows.lookups)
    metrics.counter("lentilcourse.packets.malformed", lambda: caller_loop.malformed)
    metrics.counter("lentilcourse.packets.unsent", lambda: caller_loop.unsent + agent_loop.unsent)
    tasks = lifecycle.pool(name="steering", limit=4)
    for loop in (
        lambda: caller_loop.run(flows.on_caller),
        lambda: agent_loop.run(flows.on_notice),
        sweep,
        lambda: pacer.run(lifecycle, time.monotonic),
    ):
        lifecycle.keep_running(tasks, loop)
    view.subscription.start()
