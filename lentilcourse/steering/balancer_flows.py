"""Flow handling in a balancer: selects the agent that receives a caller's packet.

A balancer keeps only soft state: hints about the owners of flows, which can be rebuilt. A packet
of a flow without a known owner is broadcast to all agents; the owner delivers it and notifies the
balancer.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Callable
from typing import Final, TypeVar

import attrs

from lentilcourse.clocks import MS_PER_S
from lentilcourse.histograms import LatencyHistogram
from lentilcourse.logs import get_logger
from lentilcourse.model import State
from lentilcourse.steering.datagrams import (
    DenialNotice,
    Envelope,
    Kind,
    OwnerNotice,
    Send,
    decode_denial,
    decode_kind,
    decode_owner,
    encode_envelope,
    flow_text,
)
from lentilcourse.steering.packet_format import FlowPacket, PacketFormat
from lentilcourse.steering.peers import Peer, Peers
from lentilcourse.steering.placement import AgentLoads, usable_peers
from lentilcourse.steering.placement_policies import Offer, PlacementPolicy
from lentilcourse.steering.routes import Route, Routes

OFFER_TIMEOUT_S: Final = 0.15
"""Time without an owner notice after which a retransmitted opening packet is offered to another
agent; callers retransmit for the first time after 0.2 s."""
DENIAL_WINDOW_S: Final = 1.0
"""Time within which all agents must deny a flow; a lookup takes a few milliseconds."""
LOOKUP_RETRY_S: Final = 0.15
"""Interval between the first and second lookup of a flow, doubled after each further lookup. It
spans many round trips but is shorter than a caller's first retransmission timeout."""
MAX_LOOKUP_RETRY_S: Final = 1.2
"""Longest interval between two lookups of a flow; callers retransmit after at most 1.6 s."""
MAX_FIRST_LOOKUP_DENIALS: Final = 20
"""Largest number of agents that the first lookup of a flow asks for denials: their replies take
only a few milliseconds of a slow link."""
LOOKUP_LIFE_S: Final = 5.0
"""Time after the last lookup packet of a flow after which its lookup is discarded."""
MAX_BUFFERED_PACKETS: Final = 16
"""Packets of a flow that are buffered during a lookup: as many as an endpoint has in flight."""
HINT_EXTRA_LIFE_S: Final = 5.0
"""Time for which a hint is kept beyond the idle timeout of flows."""

T = TypeVar("T")

_log = get_logger(__name__)


@attrs.define(kw_only=True, slots=True)
class OwnerHint:
    """The presumed owner of a flow.

    Attributes:
        owner: peer address of the agent.
        confirmed: whether the owner has confirmed its ownership.
        offered_at: time at which the flow was offered to the agent (monotonic seconds).
        last_packet_at: time of the flow's last packet.
    """

    owner: tuple[str, int]
    confirmed: bool
    offered_at: float
    last_packet_at: float


@attrs.define(kw_only=True, slots=True)
class Denials:
    """Denials of a flow.

    Attributes:
        first_at: time of the first denial.
        agents: peer addresses of the agents whose targets do not hold the flow.
    """

    first_at: float
    agents: set[tuple[str, int]] = attrs.field(factory=set)


@attrs.define(kw_only=True, slots=True)
class Lookup:
    """A pending lookup of a flow's owner.

    Attributes:
        started_at: time of the flow's first packet without a known owner.
        last_sent_at: time at which a packet was last broadcast to all agents.
        retry_interval_s: minimum time until the next broadcast.
        buffered: packets buffered since the first broadcast, in order of arrival.
    """

    started_at: float
    last_sent_at: float
    retry_interval_s: float = LOOKUP_RETRY_S
    buffered: list[bytes] = attrs.field(factory=list)


@attrs.define(kw_only=True)
class BalancerFlowCounts:
    """Packet counters of a balancer since its start.

    `lookup_copies` and `lookup_bytes` count the datagrams that owner lookups sent.
    """

    received: int = 0
    opened: int = 0
    carried: int = 0
    sought: int = 0
    lookup_copies: int = 0
    lookup_bytes: int = 0
    replaced: int = 0
    unknown_entry: int = 0
    no_target: int = 0
    notices: int = 0
    reset: int = 0


class BalancerFlows:
    """All flows of one balancer; thread-safe.

    Attributes:
        counts: packet counters.
        loads: known loads of the agents.
        lookups: latency from the first packet of a flow without a known owner to the owner notice.
    """

    def __init__(
        self,
        *,
        packet_format: PacketFormat,
        placement: PlacementPolicy,
        peers: Peers,
        state: Callable[[], State],
        own_address: tuple[str, int],
        domain: str,
        to_peer: Send,
        to_caller: Send,
        caller_port: int,
        rng: random.Random,
    ) -> None:
        self.counts = BalancerFlowCounts()
        self.loads = AgentLoads()
        self.lookups = LatencyHistogram()
        self._format = packet_format
        self._placement = placement
        self._peers = peers
        self._state = state
        self._routes = Routes(catalogue=lambda: state().catalogue)
        self._own_address = own_address
        self._domain = domain
        self._to_peer = to_peer
        self._to_caller = to_caller
        self._caller_port = caller_port
        self._rng = rng
        self._carry_header = encode_envelope(
            Envelope(kind=Kind.CARRY, hops=0, balancer=own_address), b""
        )
        seek_all = Envelope(kind=Kind.SEEK_ALL, hops=0, balancer=own_address)
        self._seek_all_header = encode_envelope(seek_all, b"")
        self._seek_header = encode_envelope(
            Envelope(kind=Kind.SEEK, hops=0, balancer=own_address), b""
        )
        self._hints: dict[bytes, OwnerHint] = {}
        self._denials: dict[bytes, Denials] = {}
        self._pending_lookups: dict[bytes, Lookup] = {}
        self._lock = threading.Lock()

    @property
    def known_flows(self) -> int:
        """Number of flows with a hint."""
        return len(self._hints)

    def on_caller(self, raw: bytes, now: float) -> None:
        """Handle a packet from a caller; raises `PacketError` if it is malformed."""
        packet = self._format.read_caller(raw)
        self.counts.received += 1
        with self._lock:
            hint = self._hints.get(packet.flow)
            if packet.opening:
                self._on_opening(packet, hint, now)
            elif hint is not None:
                hint.last_packet_at = now
                self.counts.carried += 1
                self._to_peer(self._carry_header + packet.raw, hint.owner)
            else:
                self._look_up_owner(packet, now)

    def on_notice(self, datagram: bytes, now: float) -> None:
        """Handle a notice from an agent; raises `PacketError` if it is malformed."""
        self.counts.notices += 1
        if decode_kind(datagram) is Kind.DENIAL:
            with self._lock:
                self._on_denial(decode_denial(datagram), now)
            return
        notice = decode_owner(datagram)
        with self._lock:
            self.loads.record_report(notice.owner, notice.load, now)
            if notice.flow:
                self._record_owner(notice, now)

    def sweep(self, now: float) -> None:
        """Remove the hints of idle flows and expired denials and lookups."""
        life_s = self._state().catalogue.flow_idle_s + HINT_EXTRA_LIFE_S
        with self._lock:
            _remove_outdated(self._hints, lambda hint: now - hint.last_packet_at > life_s)
            _remove_outdated(
                self._denials, lambda denials: now - denials.first_at > DENIAL_WINDOW_S
            )
            _remove_outdated(
                self._pending_lookups, lambda lookup: now - lookup.last_sent_at > LOOKUP_LIFE_S
            )

    def _on_opening(self, packet: FlowPacket, hint: OwnerHint | None, now: float) -> None:
        route = self._routes.find(packet.entry)
        if route is None:
            self.counts.unknown_entry += 1
            self._refuse(packet, "unknown-entry", self._state().catalogue.number > 0)
            return
        if hint is not None and (hint.confirmed or now - hint.offered_at < OFFER_TIMEOUT_S):
            hint.last_packet_at = now
            self._send_opening(packet, route, hint.owner)
            return
        if hint is not None:
            self.counts.replaced += 1
            _log.info(
                "flow_offer_unanswered",
                flow=flow_text(packet.flow),
                agent=hint.owner[0],
                waited_ms=int((now - hint.offered_at) * MS_PER_S),
            )
            self.loads.record_unanswered_offer(hint.owner, now)
        self._place(packet, route, now)

    def _place(self, packet: FlowPacket, route: Route, now: float) -> None:
        peers = self._peers.table().serving.get(route.service_for(packet.flow), ())
        if not peers:
            self.counts.no_target += 1
            self._refuse(packet, "no-target", self._peers.complete())
            return
        peer = self._choose_agent(packet.flow, peers, now)
        self.counts.opened += 1
        self._log_placed(packet, route, peer, len(peers), now)
        self.loads.record_offer(peer.address, now)
        self._hints[packet.flow] = OwnerHint(
            owner=peer.address, confirmed=False, offered_at=now, last_packet_at=now
        )
        self._send_opening(packet, route, peer.address)

    def _choose_agent(self, flow: bytes, peers: tuple[Peer, ...], now: float) -> Peer:
        offer = Offer(
            flow=flow,
            peers=usable_peers(peers, self.loads, now),
            loads=self.loads,
            domain=self._domain,
            rng=self._rng,
        )
        return self._placement(offer, now)

    def _send_opening(self, packet: FlowPacket, route: Route, owner: tuple[str, int]) -> None:
        envelope = Envelope(
            kind=Kind.OPEN,
            hops=0,
            balancer=self._own_address,
            catalogue=self._state().catalogue.number,
            service=route.service_for(packet.flow),
        )
        self._to_peer(encode_envelope(envelope, packet.raw), owner)

    def _look_up_owner(self, packet: FlowPacket, now: float) -> None:
        """Broadcast a packet of a flow to all agents, or buffer it while a lookup is pending.

        Lookups are rate-limited, so that a lost reply does not cause a broadcast for every
        packet. If many agents would have to deny the flow, only repeated lookups ask for denials.
        """
        lookup = self._pending_lookups.get(packet.flow)
        if lookup is not None and now - lookup.last_sent_at < lookup.retry_interval_s:
            if len(lookup.buffered) < MAX_BUFFERED_PACKETS:
                lookup.buffered.append(packet.raw)
            return
        peers = self._peers.table().all_agents
        request_denials = lookup is not None or len(peers) <= MAX_FIRST_LOOKUP_DENIALS
        if lookup is None:
            lookup = self._pending_lookups[packet.flow] = Lookup(started_at=now, last_sent_at=now)
        else:
            lookup.retry_interval_s = min(2 * lookup.retry_interval_s, MAX_LOOKUP_RETRY_S)
        lookup.last_sent_at = now
        self.counts.sought += 1
        _log.info("flow_sought", flow=flow_text(packet.flow), asked=len(peers), all=request_denials)
        datagram = (self._seek_all_header if request_denials else self._seek_header) + packet.raw
        self.counts.lookup_copies += len(peers)
        self.counts.lookup_bytes += len(peers) * len(datagram)
        for peer in peers:
            self._to_peer(datagram, peer.address)

    def _finish_lookup(self, flow: bytes, owner: tuple[str, int], now: float) -> None:
        """Complete a lookup and send the buffered packets to the owner unless they are too old."""
        lookup = self._pending_lookups.pop(flow, None)
        if lookup is None:
            return
        self.lookups.observe(now - lookup.started_at)
        _log.info(
            "flow_found",
            flow=flow_text(flow),
            owner=owner[0],
            waited_ms=int((now - lookup.started_at) * MS_PER_S),
            kept=len(lookup.buffered),
        )
        if now - lookup.last_sent_at > LOOKUP_RETRY_S:
            return
        for raw in lookup.buffered:
            self._to_peer(self._carry_header + raw, owner)

    def _record_owner(self, notice: OwnerNotice, now: float) -> None:
        self._denials.pop(notice.flow, None)
        self._finish_lookup(notice.flow, notice.owner, now)
        hint = self._hints.get(notice.flow)
        if hint is None:
            self._hints[notice.flow] = OwnerHint(
                owner=notice.owner, confirmed=True, offered_at=now, last_packet_at=now
            )
            return
        if hint.owner != notice.owner:
            _log.info("flow_owner_moved", flow=flow_text(notice.flow), owner=notice.owner[0])
        hint.owner = notice.owner
        hint.confirmed = True

    def _on_denial(self, notice: DenialNotice, now: float) -> None:
        """Reset a flow at its caller once every agent that may hold it has denied it."""
        denials = self._denials.get(notice.flow)
        if denials is None or now - denials.first_at > DENIAL_WINDOW_S:
            denials = self._denials[notice.flow] = Denials(first_at=now)
        denials.agents.add(notice.agent)
        holders = self._peers.table().holders
        if not holders <= denials.agents or not self._peers.complete():
            return
        del self._denials[notice.flow]
        self._pending_lookups.pop(notice.flow, None)
        self._hints.pop(notice.flow, None)
        self.counts.reset += 1
        _log.info("flow_reset", flow=flow_text(notice.flow), denied_by=len(denials.agents))
        host = self._format.caller_host(notice.flow)
        self._to_caller(notice.reset, (host, self._caller_port))

    def _refuse(self, packet: FlowPacket, reason: str, certain: bool) -> None:
        """Refuse a new flow.

        Unless the refusal is certain, the packet is dropped without a reset: the balancer's
        knowledge may still be incomplete.
        """
        _log.info(
            "flow_refused" if certain else "flow_dropped",
            flow=flow_text(packet.flow),
            reason=reason,
            catalogue=self._state().catalogue.number,
            version=self._state().version,
        )
        if certain:
            host = self._format.caller_host(packet.flow)
            self._to_caller(self._format.reset(packet), (host, self._caller_port))

    def _log_placed(
        self, packet: FlowPacket, route: Route, peer: Peer, candidates: int, now: float
    ) -> None:
        agent_load = self.loads.get(peer.address)
        has_report = agent_load.reported_at > float("-inf")
        _log.info(
            "flow_placed",
            flow=flow_text(packet.flow),
            entry=route.entry.name,
            agent=peer.name,
            candidates=candidates,
            load=round(agent_load.load, 3),
            load_age_ms=int((now - agent_load.reported_at) * MS_PER_S) if has_report else -1,
            placed_since=agent_load.offers_since_report,
            attempt=packet.attempt,
            catalogue=self._state().catalogue.number,
        )


def _remove_outdated(records: dict[bytes, T], outdated: Callable[[T], bool]) -> None:
    """Remove all records for which `outdated` returns True."""
    for flow in [flow for flow, record in records.items() if outdated(record)]:
        del records[flow]
