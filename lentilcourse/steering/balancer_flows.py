"""Flow handling in a balancer: selects the agent that receives a caller's packet.

A balancer keeps only soft state: hints about the owners of flows, which can be rebuilt. A packet
of a flow without a known owner starts an owner lookup, see `owner_lookups`.
"""

from __future__ import annotations

import random
import threading
from collections import deque
from collections.abc import Callable
from typing import Final

import attrs

from lentilcourse.clocks import MS_PER_S
from lentilcourse.logs import get_logger
from lentilcourse.model import State
from lentilcourse.steering.datagrams import (
    Envelope,
    FlowSend,
    Kind,
    OwnerNotice,
    Send,
    decode_denial,
    decode_kind,
    decode_owner,
    encode_envelope,
    flow_text,
)
from lentilcourse.steering.flow_records import BalancerFlowCounts, remove_outdated
from lentilcourse.steering.owner_lookups import OwnerLookups
from lentilcourse.steering.packet_format import FlowPacket, PacketFormat
from lentilcourse.steering.peers import Peer, Peers
from lentilcourse.steering.placement import AgentLoads, usable_peers
from lentilcourse.steering.placement_policies import Offer, PlacementPolicy
from lentilcourse.steering.routes import Route, Routes

OFFER_TIMEOUT_S: Final = 0.15
"""Time without an owner notice after which a retransmitted opening packet is offered to another
agent; callers retransmit for the first time after 0.2 s."""
HINT_EXTRA_LIFE_S: Final = 5.0
"""Time for which a hint is kept beyond the idle timeout of flows."""

EARLY_LIFE_S: Final = 1.0
"""Time for which a packet waits for its entry or an agent; callers send it again meanwhile."""
MAX_EARLY_PACKETS: Final = 512
"""Packets that wait at once; the oldest are dropped first."""

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


@attrs.frozen(kw_only=True)
class EarlyPacket:
    """A packet and the time of its arrival; it may wait for what the balancer does not know yet."""

    packet: FlowPacket
    arrived_at: float


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
        to_peer: FlowSend,
        to_caller: Send,
        caller_port: int,
        rng: random.Random,
    ) -> None:
        self.counts = BalancerFlowCounts()
        self.loads = AgentLoads()
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
        self._hints: dict[bytes, OwnerHint] = {}
        self._early: deque[EarlyPacket] = deque(maxlen=MAX_EARLY_PACKETS)
        self._lookups = OwnerLookups(
            own_address=own_address,
            domain=domain,
            peers=peers,
            routes=self._routes,
            to_peer=to_peer,
            counts=self.counts,
        )
        self.lookups = self._lookups.latency
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
            self._on_packet(EarlyPacket(packet=packet, arrived_at=now), now)

    def on_view_changed(self, now: float) -> None:
        """Handle the packets that waited until their entry and an agent of it are known."""
        with self._lock:
            waiting = list(self._early)
            self._early.clear()
            for early in waiting:
                if now - early.arrived_at <= EARLY_LIFE_S:
                    self._on_packet(early, now)

    def on_notice(self, datagram: bytes, now: float) -> None:
        """Handle a notice from an agent; raises `PacketError` if it is malformed."""
        self.counts.notices += 1
        if decode_kind(datagram) is Kind.DENIAL:
            denial = decode_denial(datagram)
            with self._lock:
                self._on_denial(denial.flow, denial.agent)
        else:
            notice = decode_owner(datagram)
            with self._lock:
                self._on_owner(notice, now)

    def sweep(self, now: float) -> None:
        """Remove the hints of idle flows and abandoned lookups."""
        life_s = self._state().catalogue.flow_idle_s + HINT_EXTRA_LIFE_S
        with self._lock:
            remove_outdated(self._hints, lambda hint: now - hint.last_packet_at > life_s)
            self._lookups.expire(now)

    def _on_packet(self, early: EarlyPacket, now: float) -> None:
        packet = early.packet
        hint = self._hints.get(packet.flow)
        if packet.opening:
            self._on_opening(early, hint, now)
        elif hint is not None:
            hint.last_packet_at = now
            self.counts.carried += 1
            self._to_peer(packet.flow, self._carry_header + packet.raw, hint.owner)
        elif self._knows_agents():
            self._lookups.on_packet(packet, now)
        else:
            self._early.append(early)

    def _knows_agents(self) -> bool:
        return self._state().catalogue.number > 0 and bool(self._peers.table().names)

    def _on_opening(self, early: EarlyPacket, hint: OwnerHint | None, now: float) -> None:
        packet = early.packet
        route = self._routes.find(packet.entry)
        if route is None:
            self.counts.unknown_entry += 1
            self._refuse(early, "unknown-entry", self._state().catalogue.number > 0)
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
        self._place(early, route, now)

    def _place(self, early: EarlyPacket, route: Route, now: float) -> None:
        packet = early.packet
        peers = self._peers.table().serving.get(route.service_for(packet.flow), ())
        if not peers:
            self.counts.no_target += 1
            self._refuse(early, "no-target", self._peers.complete())
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
        self._to_peer(packet.flow, encode_envelope(envelope, packet.raw), owner)

    def _on_owner(self, notice: OwnerNotice, now: float) -> None:
        self.loads.record_report(notice.owner, notice.load, now)
        if notice.flow:
            self._record_owner(notice.flow, notice.owner, now)

    def _record_owner(self, flow: bytes, owner: tuple[str, int], now: float) -> None:
        self._lookups.finish(flow, owner, now)
        hint = self._hints.get(flow)
        if hint is None:
            self._hints[flow] = OwnerHint(
                owner=owner, confirmed=True, offered_at=now, last_packet_at=now
            )
            return
        if hint.owner != owner:
            _log.info("flow_owner_moved", flow=flow_text(flow), owner=owner[0])
        hint.owner = owner
        hint.confirmed = True

    def _on_denial(self, flow: bytes, agent: tuple[str, int]) -> None:
        """Forget a hint whose agent denies the flow; that agent searches for the owner."""
        hint = self._hints.get(flow)
        if hint is not None and hint.owner == agent:
            del self._hints[flow]

    def _refuse(self, early: EarlyPacket, reason: str, certain: bool) -> None:
        """Refuse a new flow, or keep its packet for a while if the refusal is not certain.

        The balancer's knowledge may still be incomplete.
        """
        packet = early.packet
        _log.info(
            "flow_refused" if certain else "flow_waits",
            flow=flow_text(packet.flow),
            reason=reason,
            catalogue=self._state().catalogue.number,
            version=self._state().version,
        )
        if certain:
            host = self._format.caller_host(packet.flow)
            self._to_caller(self._format.reset(packet), (host, self._caller_port))
        else:
            self._early.append(early)

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
