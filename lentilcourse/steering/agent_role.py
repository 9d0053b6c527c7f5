"""Process role steering-agent."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Final, Protocol, TypeAlias

from lentilcourse.admin import AdminServer
from lentilcourse.clocks import MS_PER_S, boot_time_s
from lentilcourse.directory import (
    STATE_DRAINING,
    STATE_GONE,
    STATE_IDLE,
    STATE_SERVING,
    AgentNotice,
    AgentRecord,
)
from lentilcourse.kernel.registry import Registry
from lentilcourse.logs import get_logger
from lentilcourse.model import State
from lentilcourse.options import SteeringAgentSettings
from lentilcourse.plugins import load_plugin
from lentilcourse.roles import ROLE_PLUGINS, ProcessContext
from lentilcourse.steering.admission import AgentLimits
from lentilcourse.steering.agent_flows import (
    FIRST_ANNOUNCEMENT_TIMEOUT_S,
    AgentFlows,
    AgentOutputs,
)
from lentilcourse.steering.loops import DatagramLoop
from lentilcourse.steering.membership import SystemView, create_system_view
from lentilcourse.steering.owner_searches import FIRST_ROUND_INTERVAL_S
from lentilcourse.steering.packet_format import PACKET_FORMATS
from lentilcourse.steering.target_watch import TargetReport, TargetWatch, Verdict
from lentilcourse.steering.traffic_log import TrafficLog

MAINTENANCE_INTERVAL_S: Final = 0.25
"""Interval of load notices and owner searches; also the maximum delay in detecting a silent
target."""
MAINTENANCE_TICKS_PER_SWEEP: Final = 4
DEPARTURE_TIMEOUT_S: Final = 4.0
"""Maximum time for which a stopping agent waits until the directory shows it as gone. This is
enough to detect a silent controller and connect to another, and shorter than the time allowed for
a planned stop."""
DEPARTURE_POLL_S: Final = 0.05
SEARCH_POLL_S: Final = 1.0
RECALL_POLL_S: Final = 0.01
HANDOVER_POLL_S: Final = 0.002
HANDOVER_TIMEOUT_S: Final = 0.3
"""Longest time for which a stopping agent looks for agents that keep the list of its flows."""

_log = get_logger(__name__)


class TargetEvents(Protocol):
    """Receives the events of a target from a target interface plug-in."""

    def announce(self, report: TargetReport, now: float) -> Verdict:
        """Handle an announcement of the target."""

    def leave(self, target_id: str, sent_after: float, now: float) -> bool:
        """Handle the target's notice of its departure, sent after a time.

        Returns whether the notice was for the current run of the target.
        """


TargetInterface: TypeAlias = Callable[[TargetEvents, AdminServer], None]

TARGET_INTERFACES: Final[Registry[TargetInterface]] = Registry(kind="target interface")


class SteeringAgent:
    """An agent process.

    Attributes:
        peer_loop: socket for balancers and other agents.
        watch: state of the target.
        view: view of the system.
        flows: flows of the target.
    """

    def __init__(self, *, context: ProcessContext, cfg: SteeringAgentSettings) -> None:
        self._lifecycle = context.lifecycle
        self._process = context.settings.process
        self._cfg = cfg
        self.peer_loop = DatagramLoop(address=cfg.peer_address, lifecycle=context.lifecycle)
        self._target_loop = DatagramLoop(address=cfg.outbound_address, lifecycle=context.lifecycle)
        self.watch = TargetWatch(
            address=cfg.target_address, announcement_life_s=cfg.announcement_life_s
        )
        self.view: SystemView = create_system_view(
            context, lambda: self.flows.open_flows, self.notice
        )
        self.flows = AgentFlows(
            packet_format=PACKET_FORMATS.get(cfg.packet_format),
            watch=self.watch,
            peers=self.view.peers,
            state=lambda: self.view.copy.current,
            limits=AgentLimits(
                cold_overrun=cfg.cold_overrun,
                cold_slack=cfg.cold_slack,
                flow_life_s=cfg.flow_life_s,
                domain=self._process.domain,
                own_address=cfg.peer_address.pair(),
                target_address=cfg.target_address.pair(),
                caller_port=cfg.caller_port,
            ),
            outputs=AgentOutputs(to_peer=self.peer_loop.send, to_endpoint=self._target_loop.send),
            started_ms=int(boot_time_s() * MS_PER_S),
            now=time.monotonic(),
        )
        self._started_at = time.monotonic()
        self._domain_was_out = False
        self._reported_state = ""
        self.view.copy.listen(self._on_state)
        context.lifecycle.on_drain(self._hand_over)
        context.lifecycle.on_drain(self._report_departure)

    def start(self) -> None:
        """Start the tasks of the agent."""
        tasks = self._lifecycle.pool(name="steering", limit=5)
        tasks.submit(self._recall_flows)
        for loop in (
            lambda: self.peer_loop.run(self.flows.on_peer),
            lambda: self._target_loop.run(self.flows.on_target),
            self._run_maintenance,
            self._run_searches,
        ):
            self._lifecycle.keep_running(tasks, loop)
        self.view.subscription.start()

    def notice(self) -> AgentNotice:
        """Return the agent's current directory record."""
        report = self.watch.report
        return AgentNotice(
            record=AgentRecord(
                name=self._process.name,
                address=self._cfg.peer_address,
                service=report.service if report is not None else "",
                domain=self._process.domain,
                state=self._target_state(time.monotonic()),
                slots=report.slots if report is not None else 0,
                takes_passed=True,
                vacant=self.watch.has_left,
            )
        )

    def announce(self, report: TargetReport, now: float) -> Verdict:
        """Handle an announcement of the target."""
        verdict = self.watch.record_announcement(report, now)
        if verdict is Verdict.NEW_RUN:
            self.flows.on_new_run(now)
        if verdict is not Verdict.RENEWED:
            _log.info(
                "target_announced",
                target=report.target_id,
                verdict=verdict.value,
                service=report.service,
                born=report.born_ms,
                sequence=report.sequence,
                cold_s=report.cold_s,
            )
        self._report_target_state(now)
        return verdict

    def leave(self, target_id: str, sent_after: float, now: float) -> bool:
        """Handle the target's notice of its departure, sent after a time."""
        left = self.watch.remove(target_id, sent_after)
        _log.info("target_left", target=target_id, current=left)
        self._report_target_state(now)
        return left

    def _report_target_state(self, now: float) -> None:
        """Send a report to the controller immediately if the state of the target has changed."""
        state = self._target_state(now)
        if state == self._reported_state:
            return
        _log.info("target_state", before=self._reported_state, after=state)
        self._reported_state = state
        self.view.subscription.send_report()

    def malformed(self) -> int:
        """Return the number of malformed datagrams."""
        return self.peer_loop.malformed + self._target_loop.malformed

    def unsent(self) -> int:
        """Return the number of datagrams that the operating system refused to send."""
        return self.peer_loop.unsent + self._target_loop.unsent

    def _report_departure(self) -> None:
        """Report that this agent is stopping with its target, then wait for the directory.

        If the target is still present, the agent stops immediately, because it is expected to
        restart.
        """
        deadline = time.monotonic() + DEPARTURE_TIMEOUT_S
        self._report_target_state(time.monotonic())
        while self._reported_state == STATE_GONE and time.monotonic() < deadline:
            names = {record.name for record in self.view.directory.records()}
            if self._process.name not in names:
                return
            time.sleep(DEPARTURE_POLL_S)
            self._report_target_state(time.monotonic())

    def _recall_flows(self) -> None:
        """Ask for the flows of the process before, until they are here or not to be had."""
        while self.flows.recall_flows(time.monotonic()):
            if self._lifecycle.stopping.wait(timeout=RECALL_POLL_S):
                return

    def _hand_over(self) -> None:
        """Give the flows of the target, and lists kept for others, to other agents."""
        deadline = time.monotonic() + HANDOVER_TIMEOUT_S
        while self.flows.recall_flows(time.monotonic()) and time.monotonic() < deadline:
            time.sleep(RECALL_POLL_S)
        self.flows.hand_over(int(boot_time_s() * MS_PER_S), time.monotonic())
        while not self.flows.continue_hand_over(time.monotonic()):
            if time.monotonic() >= deadline:
                _log.info("flows_not_handed_over")
                return
            time.sleep(HANDOVER_POLL_S)

    def _target_state(self, now: float) -> str:
        stopping = self._lifecycle.stopping.is_set()
        return target_state(self.watch, now - self._started_at, stopping, now)

    def _on_state(self, state: State, now: float) -> None:
        is_out = state.domain_out(self._process.domain)
        if self._domain_was_out and not is_out:
            self.watch.on_domain_returned()
        self._domain_was_out = is_out

    def _run_maintenance(self) -> None:
        ticks = 0
        traffic_log = TrafficLog(sources={"": self.flows.counts, "peer_": self.peer_loop.counts})
        while not self._lifecycle.stopped.wait(timeout=MAINTENANCE_INTERVAL_S):
            now = time.monotonic()
            self.flows.send_load_notices(now)
            self.flows.search_owners(now)
            self._report_target_state(now)
            ticks += 1
            if ticks % MAINTENANCE_TICKS_PER_SWEEP == 0:
                self.flows.sweep(now)
                traffic_log.write()
                self.view.directory.expire(now)

    def _run_searches(self) -> None:
        """Ask the first candidates of flows whose search could not begin at once."""
        while not self._lifecycle.stopped.is_set():
            if self.flows.wait_for_search(SEARCH_POLL_S):
                time.sleep(FIRST_ROUND_INTERVAL_S)
                self.flows.search_owners(time.monotonic())


def target_state(watch: TargetWatch, age_s: float, stopping: bool, now: float) -> str:
    """Return the state that an agent reports, `age_s` after its start.

    An agent that stops before its target has announced itself says nothing of the target: others
    would take the agent's flows for dead.
    """
    if watch.is_present(now):
        return STATE_SERVING if watch.accepts_flows(now) else STATE_DRAINING
    unheard = watch.run == 0 and age_s < FIRST_ANNOUNCEMENT_TIMEOUT_S
    return STATE_GONE if stopping and not unheard else STATE_IDLE


@ROLE_PLUGINS.register("steering-agent")
def start_steering_agent(context: ProcessContext) -> None:
    """Start the steering-agent role."""
    cfg = context.settings.steering_agent
    assert cfg is not None
    load_plugin(cfg.packet_format)
    load_plugin(cfg.target_interface)
    agent = SteeringAgent(context=context, cfg=cfg)
    server = AdminServer(address=cfg.announce_address, lifecycle=context.lifecycle)
    TARGET_INTERFACES.get(cfg.target_interface)(agent, server)
    server.start()
    metrics = context.metrics
    metrics.counters_of("lentilcourse.steering", agent.flows.counts)
    metrics.counters_of("lentilcourse.datagrams.peer", agent.peer_loop.counts)
    metrics.gauge("lentilcourse.steering.open_flows", lambda: agent.flows.open_flows)
    metrics.gauge("lentilcourse.steering.in_flight", lambda: agent.flows.meter.in_flight)
    metrics.histogram("lentilcourse.steering.handshake", agent.flows.handshakes)
    metrics.histogram("lentilcourse.steering.answer", agent.flows.answers)
    metrics.counter("lentilcourse.packets.malformed", agent.malformed)
    metrics.counter("lentilcourse.packets.unsent", agent.unsent)
    agent.start()
