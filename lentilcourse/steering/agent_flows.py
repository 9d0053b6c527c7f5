"""Flow handling in an agent: delivery to its target, and handling of returned packets.

The target is the authority on its flows. An agent records the flows that its target has
accepted, so that it can answer owner lookups at once. It may also deliver packets of flows
without a record, because a target returns packets of flows that it does not hold.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from typing import Final

import attrs

from lentilcourse.histograms import LatencyHistogram
from lentilcourse.logs import get_logger
from lentilcourse.model import State
from lentilcourse.steering.admission import (
    AgentLimits,
    Decline,
    cold_openings,
    entry_allows,
)
from lentilcourse.steering.datagrams import (
    BusyAgent,
    DenialNotice,
    Envelope,
    FlowQuery,
    FlowReply,
    Kind,
    OwnerNotice,
    Possession,
    Send,
    decode_envelope,
    decode_kind,
    decode_passed,
    decode_query,
    decode_reply,
    encode_denial,
    encode_envelope,
    encode_owner,
    encode_passed,
    encode_reply,
    flow_text,
    service_key,
)
from lentilcourse.steering.denial_memory import DenialMemory
from lentilcourse.steering.flow_lists import UNKNOWN_RUN, FlowList
from lentilcourse.steering.flow_records import AgentFlowCounts, FlowRecord, FlowState, is_over
from lentilcourse.steering.handover import Handover
from lentilcourse.steering.load_meter import LoadMeter
from lentilcourse.steering.opening_hops import Opening, next_when_busy, next_when_declined
from lentilcourse.steering.owner_searches import OwnerSearches
from lentilcourse.steering.packet_format import FlowPacket, PacketFormat
from lentilcourse.steering.peers import Peers
from lentilcourse.steering.routes import Routes
from lentilcourse.steering.target_watch import TargetWatch

MAX_HOPS: Final = 12
"""Maximum number of times an opening packet is forwarded before the flow is refused."""
LOAD_NOTICE_PERIOD_S: Final = 3.0
"""Time after a balancer's last packet during which it is sent load notices."""
FIRST_ANNOUNCEMENT_TIMEOUT_S: Final = 2.5
"""Time after process start without an announcement after which the agent assumes that it has
no target: twice the longest announcement interval."""
OPENING_KINDS: Final = frozenset((Kind.OPEN, Kind.PASSED))
PLACED_KINDS: Final = OPENING_KINDS | {Kind.CARRY}
"""Datagrams whose balancer is sent load notices. Lookups reach agents that the balancer does not
use otherwise."""
HANDOVER_KINDS: Final = frozenset((Kind.KEEP, Kind.KEPT, Kind.RECALL, Kind.RECALLED))
FIRST_REQUEST_S: Final = 0.05
"""Time within which a caller sends the first request on a flow that it has opened."""
HOP_BITS: Final = 4
HOP_MASK: Final = (1 << HOP_BITS) - 1

_log = get_logger(__name__)


@attrs.frozen(kw_only=True)
class AgentOutputs:
    """Functions that send datagrams.

    Attributes:
        to_peer: sends to balancers and other agents.
        to_endpoint: sends packets to the target and to callers.
    """

    to_peer: Send
    to_endpoint: Send


class AgentFlows:
    """All flows of one agent; thread-safe.

    Attributes:
        counts: packet counters.
        meter: measures the load of the target.
        handshakes: latency from an opening packet to the target's acceptance.
        answers: latency from the first data of a request to the first data of its answer.
    """

    def __init__(
        self,
        *,
        packet_format: PacketFormat,
        watch: TargetWatch,
        peers: Peers,
        state: Callable[[], State],
        limits: AgentLimits,
        outputs: AgentOutputs,
        started_ms: int,
        now: float,
    ) -> None:
        self.counts = AgentFlowCounts()
        self.meter = LoadMeter(now=now)
        self.handshakes = LatencyHistogram()
        self.answers = LatencyHistogram()
        self._format = packet_format
        self._watch = watch
        self._peers = peers
        self._state = state
        self._limits = limits
        self._outputs = outputs
        self._routes = Routes(catalogue=lambda: state().catalogue)
        self._started_at = now
        self._flows: dict[bytes, FlowRecord] = {}
        self._denials = DenialMemory()
        self._recent_openings: deque[tuple[float, bytes]] = deque()
        self._balancers: dict[tuple[str, int], float] = {}
        self._searches = OwnerSearches(
            own_address=limits.own_address,
            domain=limits.domain,
            peers=peers,
            routes=self._routes,
            to_peer=outputs.to_peer,
            on_dead=self._reset_dead_flow,
            counts=self.counts,
        )
        self._handover = Handover(
            own_address=limits.own_address,
            peers=peers,
            to_peer=outputs.to_peer,
            on_recalled=self._on_recalled,
            started_ms=started_ms,
            now=now,
        )
        self._recalled_from: bytes | None = None
        self._stopping = False
        self._lock = threading.Lock()

    @property
    def open_flows(self) -> int:
        """Number of flows with a record."""
        return len(self._flows)

    # Packets from balancers and agents.

    def on_peer(self, datagram: bytes, now: float) -> None:
        """Handle a datagram from a balancer or agent; raises `PacketError` if it is malformed."""
        kind = decode_kind(datagram)
        if kind is Kind.QUERY:
            self._on_query(decode_query(datagram), now)
            return
        if kind is Kind.REPLY:
            with self._lock:
                self._searches.on_reply(decode_reply(datagram), now)
            return
        if kind in HANDOVER_KINDS:
            with self._lock:
                self._handover.on_datagram(kind, datagram, now)
            return
        envelope, raw = decode_envelope(datagram)
        least_busy = None
        if kind is Kind.PASSED:
            least_busy, raw = decode_passed(raw)
        packet = self._format.read_caller(raw)
        with self._lock:
            if envelope.kind in PLACED_KINDS:
                self._balancers[envelope.balancer] = now
            if envelope.kind in OPENING_KINDS:
                self._on_open(envelope, packet, least_busy, now)
            elif envelope.kind is Kind.CARRY:
                self._on_carry(envelope, packet, now)
            elif envelope.kind is Kind.SEEK:
                self._on_seek(envelope, packet, now)
            elif envelope.kind is Kind.SEARCH:
                self._on_search(envelope, packet, now)

    def _on_open(
        self,
        envelope: Envelope,
        packet: FlowPacket,
        least_busy: BusyAgent | None,
        now: float,
    ) -> None:
        record = self._flows.get(packet.flow)
        if (
            record is not None
            and self._watch.may_be_current(record.target_run)
            and self._watch.is_present(now)
        ):
            record.balancer = envelope.balancer
            record.last_packet_at = now
            self._deliver(packet, envelope)
            return
        decline = self._decline_reason(envelope, packet, now)
        if decline is not None:
            self._forward_opening(envelope, packet, decline)
            return
        if self._passes_on(envelope, packet, least_busy, now):
            return
        if not self._admits_cold(now):
            self._forward_opening(envelope, packet, Decline.COLD)
            return
        self._create_record(packet.flow, FlowState.OFFERED, envelope.balancer, now)
        self._recent_openings.append((now, packet.flow))
        self.counts.opened += 1
        self._log_accepted_flow(envelope, packet, now)
        self._deliver(packet, envelope)

    def _decline_reason(self, envelope: Envelope, packet: FlowPacket, now: float) -> Decline | None:
        """Return the reason for declining a new flow, or None if the target can accept it.

        The limit of a cold target is checked last, by `_admits_cold`, which counts the flow.
        """
        if self._stopping:
            return Decline.STOPPING
        report = self._watch.report
        if report is None or not self._watch.is_present(now):
            return Decline.NO_TARGET
        if report.draining:
            return Decline.DRAINING
        state = self._state()
        if state.version == 0:
            return Decline.NO_STATE
        if state.domain_out(self._limits.domain):
            return Decline.DOMAIN_OUT
        route = self._routes.find(packet.entry)
        if not entry_allows(route, envelope, state.catalogue.number, report.service):
            return Decline.WRONG_SERVICE
        policy = self._routes.policy(report.service)
        if policy is not None and len(self._flows) >= policy.connections:
            return Decline.CONNECTIONS
        return None

    def _admits_cold(self, now: float) -> bool:
        """Count a flow that is about to be accepted; returns False above a cold target's limit."""
        report = self._watch.report
        policy = self._routes.policy(report.service) if report is not None else None
        return self._watch.admit_opening(cold_openings(policy, self._limits), now)

    def _passes_on(
        self,
        envelope: Envelope,
        packet: FlowPacket,
        least_busy: BusyAgent | None,
        now: float,
    ) -> bool:
        """Pass an opening packet on if all slots are taken; returns whether it was passed on."""
        taken = (self.meter.in_flight + self._expected_requests(now)) / self._slots()
        if taken < 1.0:
            return False
        own = BusyAgent(wait_s=taken * self.meter.service_s, address=self._limits.own_address)
        hop = next_when_busy(self._opening(envelope, packet), own, least_busy)
        if hop is None:
            return False
        self.counts.passed_busy += 1
        raw = self._format.stamped(packet, 0)
        passed = attrs.evolve(envelope, kind=Kind.PASSED, hops=hop.hops)
        self._outputs.to_peer(encode_passed(passed, hop.least_busy, raw), hop.address)
        return True

    def _opening(self, envelope: Envelope, packet: FlowPacket) -> Opening:
        return Opening(
            flow=packet.flow,
            hops=envelope.hops,
            own_address=self._limits.own_address,
            domain=self._limits.domain,
            serving=self._peers.table().serving.get(envelope.service, ()),
        )

    def _expected_requests(self, now: float) -> int:
        """Return the number of flows that are about to send their first request."""
        while self._recent_openings and now - self._recent_openings[0][0] > FIRST_REQUEST_S:
            self._recent_openings.popleft()
        records = (self._flows.get(flow) for _, flow in self._recent_openings)
        return sum(record is not None and not record.requested_at for record in records)

    def _slots(self) -> int:
        """Return the number of requests that the target processes concurrently, at least 1."""
        report = self._watch.report
        return max(1, report.slots) if report is not None else 1

    def _forward_opening(self, envelope: Envelope, packet: FlowPacket, decline: Decline) -> None:
        hops = envelope.hops + 1
        peer = next_when_declined(self._opening(envelope, packet))
        if peer is None or hops > MAX_HOPS:
            self._refuse(envelope, packet, decline)
            return
        self.counts.passed_on += 1
        _log.info(
            "flow_passed_on",
            flow=flow_text(packet.flow),
            reason=decline.value,
            to=peer.name,
            hops=hops,
            catalogue=self._state().catalogue.number,
            routed_by=envelope.catalogue,
        )
        raw = self._format.stamped(packet, 0)
        self._outputs.to_peer(
            encode_envelope(attrs.evolve(envelope, kind=Kind.OPEN, hops=hops), raw), peer.address
        )

    def _refuse(self, envelope: Envelope, packet: FlowPacket, decline: Decline) -> None:
        """Refuse a flow that no agent accepted.

        The packet is dropped without a reset while the list of agents may be incomplete.
        """
        agents_known = self._peers.complete()
        _log.info(
            "flow_refused" if agents_known else "flow_dropped",
            flow=flow_text(packet.flow),
            reason=decline.value,
            hops=envelope.hops,
            catalogue=self._state().catalogue.number,
            routed_by=envelope.catalogue,
        )
        if agents_known:
            self.counts.refused += 1
            self._send_to_caller(self._format.reset(packet), packet.flow)

    def _log_accepted_flow(self, envelope: Envelope, packet: FlowPacket, now: float) -> None:
        report = self._watch.report
        _log.info(
            "flow_taken",
            flow=flow_text(packet.flow),
            target=report.target_id if report is not None else "",
            service=report.service if report is not None else "",
            attempt=packet.attempt,
            hops=envelope.hops,
            in_flight=self.meter.in_flight,
            load=round(self.load(now), 3),
            cold=self._watch.is_cold(now),
            announced_ms=self._watch.age_ms(now),
            catalogue=self._state().catalogue.number,
            routed_by=envelope.catalogue,
        )

    def _on_carry(self, envelope: Envelope, packet: FlowPacket, now: float) -> None:
        record = self._flows.get(packet.flow)
        if record is None:
            record = self._create_record(packet.flow, FlowState.ASSUMED, envelope.balancer, now)
        record.balancer = envelope.balancer
        self._record_caller_packet(record, packet, now)
        self._deliver(packet, envelope)

    def _on_seek(self, envelope: Envelope, packet: FlowPacket, now: float) -> None:
        if self._possession(packet.flow, now) is Possession.DENIES:
            self._send_denial(packet.flow, envelope.balancer)
            return
        record = self._flows.get(packet.flow)
        if record is None:
            record = self._create_record(packet.flow, FlowState.ASSUMED, envelope.balancer, now)
            record.from_lookup = True
        record.balancer = envelope.balancer
        if record.state is FlowState.HELD:
            self.counts.claimed += 1
            _log.info("flow_claimed", flow=flow_text(packet.flow))
            self._send_owner_notice(packet.flow, record, now)
        self._record_caller_packet(record, packet, now)
        self._deliver(packet, envelope)

    def _on_search(self, envelope: Envelope, packet: FlowPacket, now: float) -> None:
        if self._possession(packet.flow, now) is Possession.HOLDS:
            self._on_seek(envelope, packet, now)
        else:
            self._searches.start(packet, envelope.balancer, now)

    def _on_query(self, query: FlowQuery, now: float) -> None:
        with self._lock:
            answers = {flow: self._possession(flow, now) for flow in query.flows}
            unsure = [flow for flow, answer in answers.items() if answer is Possession.UNSURE]
            if self._handover.recalling(now):
                answers = {flow: answers[flow] for flow in answers if flow not in unsure}
            else:
                for flow in unsure:
                    self._denials.note_question(flow, query.searcher, now)
        if answers:
            self._reply(query.searcher, answers)

    def _reply(self, searcher: tuple[str, int], answers: dict[bytes, Possession]) -> None:
        reply = FlowReply(agent=self._limits.own_address, answers=answers)
        self._outputs.to_peer(encode_reply(reply), searcher)

    def _possession(self, flow: bytes, now: float) -> Possession:
        """Return whether the target holds a flow; a denial needs knowledge of all its flows."""
        record = self._flows.get(flow)
        if record is not None and self._watch.may_be_current(record.target_run):
            return Possession.HOLDS if record.state is FlowState.HELD else Possession.UNSURE
        if record is None and self.may_hold_unrecorded_flows(now):
            is_denied = self._denials.is_denied(flow, now)
            return Possession.DENIES if is_denied else Possession.UNSURE
        return Possession.DENIES

    def may_hold_unrecorded_flows(self, now: float) -> bool:
        """Return whether the target may hold flows that were opened before this process started."""
        recalled = self._handover.recalled
        if recalled is not None and recalled.complete:
            return False
        age_s = now - self._started_at
        if self._watch.run == 0:
            return age_s < FIRST_ANNOUNCEMENT_TIMEOUT_S
        return age_s < self._limits.flow_life_s and not self._watch.seen_from_start

    def _create_record(
        self, flow: bytes, state: FlowState, balancer: tuple[str, int], now: float
    ) -> FlowRecord:
        record = FlowRecord(
            state=state,
            target_run=self._watch.run,
            balancer=balancer,
            created_at=now,
            last_packet_at=now,
        )
        self._flows[flow] = record
        return record

    def _record_caller_packet(self, record: FlowRecord, packet: FlowPacket, now: float) -> None:
        record.last_packet_at = now
        if packet.closing or packet.resetting:
            record.caller_closed = True
        if packet.data_bytes and not record.awaiting_answer:
            record.awaiting_answer = True
            record.requested_at = now
            self.meter.change(1, now)
            record.served_at_once = self.meter.in_flight <= self._slots()

    def _deliver(self, packet: FlowPacket, envelope: Envelope) -> None:
        stamp = (envelope.kind << HOP_BITS) | min(envelope.hops, HOP_MASK)
        self.counts.delivered += 1
        self._outputs.to_endpoint(self._format.stamped(packet, stamp), self._limits.target_address)

    # Packets from the target.

    def on_target(self, raw: bytes, now: float) -> None:
        """Handle a packet that the target sent or returned; raises `PacketError`."""
        packet = self._format.read_target(raw)
        with self._lock:
            if packet.returned:
                self._on_returned(packet, now)
            else:
                self._on_answer(packet, now)

    def _on_answer(self, packet: FlowPacket, now: float) -> None:
        record = self._flows.get(packet.flow)
        if record is not None and packet.resetting and record.from_lookup:
            self._on_lookup_reset(packet, record, now)
            return
        if record is None:
            record = self._create_record(packet.flow, FlowState.HELD, ("", 0), now)
        if packet.accepting and record.state is FlowState.OFFERED:
            self.handshakes.observe(now - record.created_at)
        newly_held = record.state is not FlowState.HELD or packet.accepting
        record.state = FlowState.HELD
        record.from_lookup = False
        record.recalled = False
        record.target_run = self._watch.run
        record.last_packet_at = now
        if newly_held and record.balancer[1]:
            self._send_owner_notice(packet.flow, record, now)
        if record.awaiting_answer and (packet.data_bytes or packet.resetting):
            record.awaiting_answer = False
            self.answers.observe(now - record.requested_at)
            self.meter.change(-1, now)
            if record.served_at_once:
                self.meter.observe_service(now - record.requested_at)
        if packet.closing or packet.resetting:
            record.target_closed = True
        self.counts.answered += 1
        self._send_to_caller(packet.raw, packet.flow)

    def _on_lookup_reset(self, packet: FlowPacket, record: FlowRecord, now: float) -> None:
        """Treat a reset in reply to a lookup packet as a denial.

        A target may reset a flow that it does not hold instead of returning the packet, while
        another target holds the flow.
        """
        self._remove_record(packet.flow, now)
        self._deny(packet.flow, record.balancer, now)

    def _send_owner_notice(self, flow: bytes, record: FlowRecord, now: float) -> None:
        notice = OwnerNotice(load=self.load(now), flow=flow, owner=self._limits.own_address)
        self._outputs.to_peer(encode_owner(notice), record.balancer)

    def _on_returned(self, packet: FlowPacket, now: float) -> None:
        self.counts.returned += 1
        record = self._remove_record(packet.flow, now)
        if record is None:
            return
        kind = packet.stamp >> HOP_BITS
        hops = packet.stamp & HOP_MASK
        if kind in OPENING_KINDS and packet.opening:
            envelope = self._opening_envelope(record, hops)
            self._forward_opening(envelope, packet, Decline.TARGET_FULL)
            return
        if kind in (Kind.SEEK, Kind.SEARCH, Kind.CARRY):
            self._deny(packet.flow, record.balancer, now)
        if kind in (Kind.CARRY, Kind.SEARCH) or (kind == Kind.SEEK and record.recalled):
            sought = self._format.read_caller(self._format.stamped(packet, 0))
            self._searches.start(sought, record.balancer, now)

    def _deny(self, flow: bytes, balancer: tuple[str, int], now: float) -> None:
        """Remember that the target does not hold a flow, and notify the process that asked.

        While an agent searches for the flow, that one is told; the balancer waits for its result.
        """
        searcher = self._denials.deny(flow, now)
        _log.info(
            "flow_denied",
            flow=flow_text(flow),
            target_run=self._watch.run,
            balancer=balancer[0],
        )
        if searcher is not None:
            self._reply(searcher, {flow: Possession.DENIES})
        else:
            self._send_denial(flow, balancer)

    def _send_denial(self, flow: bytes, balancer: tuple[str, int]) -> None:
        """Notify a balancer that the target does not hold a flow."""
        self.counts.denied += 1
        notice = DenialNotice(flow=flow, agent=self._limits.own_address)
        self._outputs.to_peer(encode_denial(notice), balancer)

    def _reset_dead_flow(self, packet: FlowPacket) -> None:
        self.counts.reset += 1
        self._send_to_caller(self._format.reset(packet), packet.flow)

    def _opening_envelope(self, record: FlowRecord, hops: int) -> Envelope:
        report = self._watch.report
        service = service_key(report.service) if report is not None else b"\0" * 8
        return Envelope(
            kind=Kind.OPEN,
            hops=hops,
            balancer=record.balancer,
            catalogue=self._state().catalogue.number,
            service=service,
        )

    def _send_to_caller(self, raw: bytes, flow: bytes) -> None:
        address = (self._format.caller_host(flow), self._limits.caller_port)
        self._outputs.to_endpoint(raw, address)

    # Periodic maintenance.

    def load(self, now: float) -> float:
        """Return the load of the target."""
        return self.meter.load(self._slots(), now)

    def send_load_notices(self, now: float) -> None:
        """Send the load to all balancers that have recently sent packets."""
        with self._lock:
            for address in [
                each
                for each, last_packet_at in self._balancers.items()
                if now - last_packet_at > LOAD_NOTICE_PERIOD_S
            ]:
                del self._balancers[address]
            addresses = list(self._balancers)
            load = self.load(now)
        datagram = encode_owner(OwnerNotice(load=load, flow=b"", owner=self._limits.own_address))
        for address in addresses:
            self._outputs.to_peer(datagram, address)

    def sweep(self, now: float) -> None:
        """Remove the records of flows that are closed or have been idle for too long."""
        idle_s = self._state().catalogue.flow_idle_s
        with self._lock:
            expired = [flow for flow, record in self._flows.items() if is_over(record, idle_s, now)]
            for flow in expired:
                self._remove_record(flow, now)
            self._denials.expire(now)

    def search_owners(self, now: float) -> None:
        """Ask other agents about the flows whose owners are being searched for."""
        with self._lock:
            self._searches.run_round(now)

    # Handover to and from other processes of this agent.

    def recall_flows(self, now: float) -> bool:
        """Ask for the flows of the process before; returns whether to call again soon."""
        with self._lock:
            self._handover.continue_recall(now)
            return self._handover.recalling(now)

    def hand_over(self, stopped_ms: int, now: float) -> None:
        """Take no more flows, and begin to hand those of the target over."""
        with self._lock:
            self._stopping = True
            current = self._watch.may_be_current
            flows = [flow for flow, each in self._flows.items() if current(each.target_run)]
            own_list = FlowList(
                owner=self._limits.own_address,
                stopped_ms=stopped_ms,
                target_run=self._known_run(),
                complete=not self.may_hold_unrecorded_flows(now),
                flows=tuple(flows),
            )
            self._handover.deliver(own_list, now)

    def continue_hand_over(self, now: float) -> bool:
        """Go on handing over; returns whether it is done."""
        with self._lock:
            return self._handover.continue_delivery(now)

    def _known_run(self) -> bytes:
        """Return the digest of the target's run, as far as this process or the one before knows."""
        if self._watch.run == 0 and self._recalled_from is not None:
            return self._recalled_from
        return self._watch.run_digest

    def on_new_run(self, now: float) -> None:
        """Forget the recalled flows if the target has started again since."""
        with self._lock:
            if self._recalled_from in (None, UNKNOWN_RUN, self._watch.run_digest):
                return
            ended = [flow for flow, each in self._flows.items() if each.recalled]
            for flow in ended:
                self._remove_record(flow, now)

    def _on_recalled(self, recalled: FlowList, now: float) -> None:
        self._recalled_from = recalled.target_run
        if self._watch.run and recalled.target_run not in (UNKNOWN_RUN, self._watch.run_digest):
            return
        for flow in recalled.flows:
            if flow not in self._flows:
                record = self._create_record(flow, FlowState.HELD, ("", 0), now)
                record.recalled = True

    def wait_for_search(self, timeout_s: float) -> bool:
        """Wait until a search waits for `search_owners`; returns whether one does."""
        return self._searches.waiting.wait(timeout=timeout_s)

    def _remove_record(self, flow: bytes, now: float) -> FlowRecord | None:
        record = self._flows.pop(flow, None)
        if record is not None and record.awaiting_answer:
            self.meter.change(-1, now)
        return record
