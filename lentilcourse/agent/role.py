"""The agent role: handles the flows and requests of one target."""

from __future__ import annotations

import random
import time
from typing import Final

import attrs

from lentilcourse.agent.cold_detection import ColdDetector
from lentilcourse.agent.delivery import DELIVERY_PLUGINS
from lentilcourse.agent.flow_loop import TICK_S, FlowLoop
from lentilcourse.agent.flow_plane import FlowPlane
from lentilcourse.agent.idempotency import KeyRecords
from lentilcourse.agent.key_replication import KeyReplication
from lentilcourse.agent.peers import AgentPeer, AgentPeers
from lentilcourse.agent.request_plane import MAX_REQUEST_TASKS, RequestPlane
from lentilcourse.agent.target import TargetMonitor
from lentilcourse.feed import Subscriber, feed_subscriber
from lentilcourse.ids import new_id
from lentilcourse.messages.flows import (
    FlowLoad,
    ForgetFlows,
    RecordedFlows,
    RecordsSent,
    RecoveredFlows,
    RegisterFlows,
    RegistrationComplete,
)
from lentilcourse.messages.requests import ClaimAcknowledged, KeysComplete, KeyState, ReleaseKey
from lentilcourse.messages.state import Announcement, EntryUsage, Report, Subscribe
from lentilcourse.metrics import Metrics
from lentilcourse.model import Limits, State
from lentilcourse.refusals import RefusalCounts
from lentilcourse.roles import ROLE_PLUGINS, ProcessContext
from lentilcourse.streams import KIND_PROCESS, Identity, KeyRing, Stream, StreamListener
from lentilcourse.subscription import StateCopy, Subscription, named_controllers

HAND_OVER_TIMEOUT_S: Final = 3.0
HAND_OVER_POLL_S: Final = 0.02
HAND_OVER_FLUSH_S: Final = 0.3
KEY_MESSAGES: Final = (KeyState, ClaimAcknowledged, ReleaseKey, KeysComplete)
PEER_MESSAGES: Final = (
    *KEY_MESSAGES,
    RegisterFlows,
    ForgetFlows,
    RegistrationComplete,
    FlowLoad,
    RecordedFlows,
    RecordsSent,
    RecoveredFlows,
)


class Agent:
    """Components of one agent process and the connections between them."""

    def __init__(self, *, context: ProcessContext) -> None:
        settings, lifecycle = context.settings, context.lifecycle
        cfg = settings.agent
        assert cfg is not None
        self.name = settings.process.name
        self.agent_run = new_id()
        self.settings = settings
        self.lifecycle = lifecycle
        self.copy = StateCopy()
        self.refusals = RefusalCounts()
        identity = Identity(name=self.name, kind=KIND_PROCESS, key=settings.cluster_key)
        self.monitor = TargetMonitor(
            name=self.name, domain=settings.process.domain, cfg=cfg, lifecycle=lifecycle
        )
        self.loop = FlowLoop(address=cfg.data_address, lifecycle=lifecycle)
        cold_detector = ColdDetector()
        self.cold_detector = cold_detector
        self.flows = FlowPlane(
            name=self.name,
            monitor=self.monitor,
            open_channel=DELIVERY_PLUGINS.get(cfg.delivery),
            send=self.loop.send,
            watch=self.loop.watch,
            unwatch=self.loop.unwatch,
            fabric=cfg.fabric_address.pair(),
            idle_s=cfg.flow_idle_s,
            refusals=self.refusals,
            cold_detector=cold_detector,
            rng=random.Random(),
        )
        peers = AgentPeers(
            name=self.name,
            identity=identity,
            lifecycle=lifecycle,
            on_connected=self._on_peer_connected,
        )
        self.flows.peers = peers
        records = KeyRecords()
        self.keys = KeyReplication(
            name=self.name, agent_run=self.agent_run, records=records, peers=peers
        )
        self.requests = RequestPlane(
            name=self.name,
            copy=self.copy,
            monitor=self.monitor,
            lifecycle=lifecycle,
            refusals=self.refusals,
            records=records,
            keys=self.keys,
            cold_detector=cold_detector,
        )
        self.listener = StreamListener(
            name=self.name,
            address=cfg.stream_address,
            keys=KeyRing(cluster_key=settings.cluster_key),
            pool=lifecycle.pool(name="agent-stream", limit=MAX_REQUEST_TASKS),
            lifecycle=lifecycle,
            serve=self._serve,
        )
        self.subscription = Subscription(
            controllers=named_controllers(settings),
            identity=identity,
            copy=self.copy,
            lifecycle=lifecycle,
            report=self._report,
            announce=self._announcement,
            rng=random.Random(),
        )
        self._previous_state = State()
        self.copy.listen(self._on_state)
        self.monitor.add_routes(context.admin)
        context.admin.add_refusals(self.refusals)
        self.monitor.on_change = self.subscription.send_report
        lifecycle.on_drain(self._stop_accepting)
        lifecycle.on_drain(self.requests.drain)

    def start(self) -> None:
        """Start all tasks."""
        tasks = self.lifecycle.pool(name="agent", limit=4)
        for loop in (
            lambda: self.loop.run(self.flows),
            self.listener.run,
            self.monitor.run,
            self._run_limit_updates,
        ):
            self.lifecycle.keep_running(tasks, loop)
        self.subscription.start()

    def _serve(self, stream: Stream) -> None:
        first = stream.receive()
        if isinstance(first, Subscribe):
            subscriber = Subscriber(stream=stream, version=first.version)
            feed_subscriber(subscriber, self.copy, self.lifecycle.stopped)
            return
        if not isinstance(first, PEER_MESSAGES):
            self.requests.serve(stream, first)
            return
        msg: object = first
        try:
            while not self.lifecycle.stopped.is_set():
                self._handle_peer_message(msg, stream.peer, time.monotonic())
                msg = stream.receive()
        finally:
            self.flows.on_peer_lost(stream.peer)
            self.keys.on_peer_lost(stream.peer)

    def _announcement(self) -> Announcement | None:
        announcement = self.monitor.announcement()
        if announcement is None:
            return None
        state = self.copy.current
        flows = self.flows.usage(time.monotonic())
        usage = tuple(
            EntryUsage(
                entry_id=entry.entry_id,
                used=attrs.evolve(
                    flows.get(entry.entry_id, Limits()),
                    requests_in_flight=self.requests.in_flight_of_entry(entry.entry_id),
                ),
            )
            for entry in state.entries.values()
            if entry.service == announcement.service and entry.limits != Limits()
        )
        return attrs.evolve(
            announcement,
            version=state.version,
            usage=usage,
            agent_run=self.agent_run,
            stopping=self.lifecycle.stopping.is_set(),
        )

    def _handle_peer_message(self, msg: object, peer: str, now: float) -> None:
        if isinstance(msg, KEY_MESSAGES):
            self.keys.on_message(msg, peer, now)
        else:
            self.flows.on_message(msg, peer, now)

    def _on_peer_connected(self, peer: AgentPeer, now: float) -> None:
        self.flows.greet(peer, now)
        self.keys.greet(peer, now)

    def _on_state(self, state: State, now: float) -> None:
        self.flows.on_state(state, now)
        self.requests.refresh_slot_limit(now)
        self.keys.on_state(self._previous_state, state, now)
        self._previous_state = state

    def _run_limit_updates(self) -> None:
        while not self.lifecycle.stopped.wait(timeout=TICK_S / 2):
            self.requests.refresh_slot_limit(time.monotonic())

    def _stop_accepting(self) -> None:
        """Stop accepting new flows, and let the buckets move before the process ends."""
        self.flows.stopping = True
        self.subscription.send_report()
        deadline = time.monotonic() + HAND_OVER_TIMEOUT_S
        while time.monotonic() < deadline and not self._buckets_moved():
            time.sleep(HAND_OVER_POLL_S)
        time.sleep(HAND_OVER_FLUSH_S)

    def _buckets_moved(self) -> bool:
        own = self.copy.current.targets.get(self.name)
        return own is None or own.lost

    def _report(self) -> Report:
        return Report(
            name=self.name,
            role=self.settings.process.role,
            domain=self.settings.process.domain,
            version=self.copy.current.version,
            flows=len(self.flows.flows),
            requests=self.requests.in_flight,
            refusals=self.refusals.read(),
            admin_address=str(self.settings.process.admin_address),
        )


@ROLE_PLUGINS.register("agent")
def start_agent(context: ProcessContext) -> None:
    """Start the role agent."""
    agent = Agent(context=context)
    _add_metrics(context.metrics, agent)
    agent.start()


def _add_metrics(metrics: Metrics, agent: Agent) -> None:
    flows, requests = agent.flows, agent.requests
    metrics.counters_of("lentilcourse.flow", flows.counts)
    metrics.counters_of("lentilcourse.request", requests.counts)
    metrics.gauge("lentilcourse.flows.open", lambda: len(flows.flows))
    metrics.gauge("lentilcourse.flows.directory", lambda: len(flows.directory))
    metrics.gauge("lentilcourse.requests.in_flight", lambda: requests.in_flight)
    metrics.gauge("lentilcourse.requests.slots", lambda: requests.slots.limit)
    metrics.gauge("lentilcourse.target.answer_s", lambda: agent.cold_detector.fast_s)
    metrics.counter("lentilcourse.target.turned_cold", lambda: agent.cold_detector.turned_cold)
    metrics.gauge("lentilcourse.state.version", lambda: agent.copy.current.version)
    metrics.labelled_counter("lentilcourse.refusals", "refusal", agent.refusals.read)
