"""Flows at a balancer: which agent gets a caller's packet.

A balancer keeps hints, nothing that it could not lose. A packet whose owner it does not know is
sent to all agents at once; the owner takes it and says so.
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

RESEND_AFTER_S: Final = 0.15
"""Time without an owner's notice after which a copy of an opening packet goes elsewhere;
callers send the first copy after 0.2 s."""
DENIALS_LIFE_S: Final = 1.0
"""Time within which all agents must have denied a flow; a search takes a few milliseconds."""
SEARCH_PAUSE_S: Final = 0.15
"""Pause after the first search for a flow: many round trips, less than a caller's first resend;
doubled after each further search."""
MAX_SEARCH_PAUSE_S: Final = 1.2
"""Longest pause between two searches for a flow; callers resend after 1.6 s at most."""
MAX_DENIALS_AT_ONCE: Final = 20
"""Agents up to which a first search asks for denials: the answers fit a few milliseconds of a
slow link."""
SEARCH_LIFE_S: Final = 5.0
"""Time without a packet of a flow after which its search is forgotten."""
MAX_KEPT_PACKETS: Final = 16
"""Packets of a flow that are kept during a search: as many as an end has in flight."""
HINT_SLACK_S: Final = 5.0
"""Time for which a hint is kept beyond the idle time of flows."""

T = TypeVar("T")

_log = get_logger(__name__)


@attrs.define(kw_only=True, slots=True)
class Hint:
    """Who is thought to own a flow.

    Attributes:
        owner: peer address of the agent.
        told: whether the owner said so itself.
        placed: when the opening packet was last sent to it (monotonic seconds).
        seen: when the last packet of the flow passed.
    """

    owner: tuple[str, int]
    told: bool
    placed: float
    seen: float


@attrs.define(kw_only=True, slots=True)
class Denials:
    """Agents whose targets do not hold a flow, and when the first said so."""

    began: float
    agents: set[tuple[str, int]] = attrs.field(factory=set)


@attrs.define(kw_only=True, slots=True)
class Search:
    """A search for the owner of a flow.

    Attributes:
        began: when it began.
        sent: when a packet was last sent to all agents.
        pause_s: time for which no other is sent.
        packets: packets that came since, in order.
    """

    began: float
    sent: float
    pause_s: float = SEARCH_PAUSE_S
    packets: list[bytes] = attrs.field(factory=list)


@attrs.define(kw_only=True)
class BalancerFlowCounts:
    """What the balancer has done with packets since its start."""

    received: int = 0
    opened: int = 0
    carried: int = 0
    sought: int = 0
    replaced: int = 0
    unknown_entry: int = 0
    no_target: int = 0
    notices: int = 0
    reset: int = 0


class BalancerFlows:
    """All flows of one balancer; methods may be called from any task.

    Attributes:
        counts: what was done with packets.
        loads: what is known of the agents' load.
        lookups: times from the first packet of a flow without a known owner to the owner's notice.
    """

    def __init__(
        self,
        *,
        packet_format: PacketFormat,
        placement: PlacementPolicy,
        peers: Peers,
        state: Callable[[], State],
        own: tuple[str, int],
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
        self._own = own
        self._domain = domain
        self._to_peer = to_peer
        self._to_caller = to_caller
        self._caller_port = caller_port
        self._rng = rng
        self._carry_head = encode_envelope(Envelope(kind=Kind.CARRY, hops=0, balancer=own), b"")
        seek_all = Envelope(kind=Kind.SEEK_ALL, hops=0, balancer=own)
        self._seek_all_head = encode_envelope(seek_all, b"")
        self._seek_head = encode_envelope(Envelope(kind=Kind.SEEK, hops=0, balancer=own), b"")
        self._hints: dict[bytes, Hint] = {}
        self._denials: dict[bytes, Denials] = {}
        self._searches: dict[bytes, Search] = {}
        self._lock = threading.Lock()

    @property
    def known_flows(self) -> int:
        """Flows for which there is a hint."""
        return len(self._hints)

    def on_caller(self, raw: bytes, now: float) -> None:
        """Take one packet of a caller; raises `PacketError` for one that can't be read."""
        packet = self._format.read_caller(raw)
        self.counts.received += 1
        with self._lock:
            hint = self._hints.get(packet.flow)
            if packet.opening:
                self._on_opening(packet, hint, now)
            elif hint is not None:
                hint.seen = now
                self.counts.carried += 1
                self._to_peer(self._carry_head + packet.raw, hint.owner)
            else:
                self._search(packet, now)

    def on_notice(self, datagram: bytes, now: float) -> None:
        """Take a notice of an agent; raises `PacketError`."""
        self.counts.notices += 1
        if decode_kind(datagram) is Kind.DENIAL:
            with self._lock:
                self._on_denial(decode_denial(datagram), now)
            return
        notice = decode_owner(datagram)
        with self._lock:
            self.loads.hear(notice.owner, notice.load, now)
            if notice.flow:
                self._learn(notice, now)

    def sweep(self, now: float) -> None:
        """Forget flows that have been idle for too long, and what was sought too long ago."""
        life_s = self._state().catalogue.flow_idle_s + HINT_SLACK_S
        with self._lock:
            _drop(self._hints, lambda hint: now - hint.seen > life_s)
            _drop(self._denials, lambda denials: now - denials.began > DENIALS_LIFE_S)
            _drop(self._searches, lambda search: now - search.sent > SEARCH_LIFE_S)

    def _on_opening(self, packet: FlowPacket, hint: Hint | None, now: float) -> None:
        route = self._routes.find(packet.entry)
        if route is None:
            self.counts.unknown_entry += 1
            self._refuse(packet, "unknown-entry", self._state().catalogue.number > 0)
            return
        if hint is not None and (hint.told or now - hint.placed < RESEND_AFTER_S):
            hint.seen = now
            self._open(packet, route, hint.owner)
            return
        if hint is not None:
            self.counts.replaced += 1
            _log.info(
                "flow_offer_unanswered",
                flow=flow_text(packet.flow),
                agent=hint.owner[0],
                waited_ms=int((now - hint.placed) * MS_PER_S),
            )
            self.loads.unanswered(hint.owner, now)
        self._place(packet, route, now)

    def _place(self, packet: FlowPacket, route: Route, now: float) -> None:
        peers = self._peers.table().serving.get(route.service_for(packet.flow), ())
        if not peers:
            self.counts.no_target += 1
            self._refuse(packet, "no-target", self._peers.complete())
            return
        peer = self._choose(packet.flow, peers, now)
        self.counts.opened += 1
        self._log_placed(packet, route, peer, len(peers), now)
        self.loads.place(peer.address, now)
        self._hints[packet.flow] = Hint(owner=peer.address, told=False, placed=now, seen=now)
        self._open(packet, route, peer.address)

    def _choose(self, flow: bytes, peers: tuple[Peer, ...], now: float) -> Peer:
        offer = Offer(
            flow=flow,
            peers=usable_peers(peers, self.loads, now),
            loads=self.loads,
            domain=self._domain,
            rng=self._rng,
        )
        return self._placement(offer, now)

    def _open(self, packet: FlowPacket, route: Route, owner: tuple[str, int]) -> None:
        envelope = Envelope(
            kind=Kind.OPEN,
            hops=0,
            balancer=self._own,
            catalogue=self._state().catalogue.number,
            service=route.service_for(packet.flow),
        )
        self._to_peer(encode_envelope(envelope, packet.raw), owner)

    def _search(self, packet: FlowPacket, now: float) -> None:
        """Send one packet of a flow to all agents; keep the next ones until the owner is known.

        Searches are paced, so that a lost answer does not turn every packet into a search. Where
        many agents would have to deny a flow, only a repeated search asks them to.
        """
        search = self._searches.get(packet.flow)
        if search is not None and now - search.sent < search.pause_s:
            if len(search.packets) < MAX_KEPT_PACKETS:
                search.packets.append(packet.raw)
            return
        peers = self._peers.table().everyone
        ask_all = search is not None or len(peers) <= MAX_DENIALS_AT_ONCE
        if search is None:
            search = self._searches[packet.flow] = Search(began=now, sent=now)
        else:
            search.pause_s = min(2 * search.pause_s, MAX_SEARCH_PAUSE_S)
        search.sent = now
        self.counts.sought += 1
        _log.info("flow_sought", flow=flow_text(packet.flow), asked=len(peers), all=ask_all)
        datagram = (self._seek_all_head if ask_all else self._seek_head) + packet.raw
        for peer in peers:
            self._to_peer(datagram, peer.address)

    def _end_search(self, flow: bytes, owner: tuple[str, int], now: float) -> None:
        """Hand the kept packets of a flow to its owner, unless they are too old to matter."""
        search = self._searches.pop(flow, None)
        if search is None:
            return
        self.lookups.observe(now - search.began)
        _log.info(
            "flow_found",
            flow=flow_text(flow),
            owner=owner[0],
            waited_ms=int((now - search.began) * MS_PER_S),
            kept=len(search.packets),
        )
        if now - search.sent > SEARCH_PAUSE_S:
            return
        for raw in search.packets:
            self._to_peer(self._carry_head + raw, owner)

    def _learn(self, notice: OwnerNotice, now: float) -> None:
        self._denials.pop(notice.flow, None)
        self._end_search(notice.flow, notice.owner, now)
        hint = self._hints.get(notice.flow)
        if hint is None:
            self._hints[notice.flow] = Hint(owner=notice.owner, told=True, placed=now, seen=now)
            return
        if hint.owner != notice.owner:
            _log.info("flow_owner_moved", flow=flow_text(notice.flow), owner=notice.owner[0])
        hint.owner = notice.owner
        hint.told = True

    def _on_denial(self, notice: DenialNotice, now: float) -> None:
        """End a flow at its caller once every agent that may hold it has denied it."""
        denials = self._denials.get(notice.flow)
        if denials is None or now - denials.began > DENIALS_LIFE_S:
            denials = self._denials[notice.flow] = Denials(began=now)
        denials.agents.add(notice.agent)
        holders = self._peers.table().holders
        if not holders <= denials.agents or not self._peers.complete():
            return
        del self._denials[notice.flow]
        self._searches.pop(notice.flow, None)
        self._hints.pop(notice.flow, None)
        self.counts.reset += 1
        _log.info("flow_reset", flow=flow_text(notice.flow), denied_by=len(denials.agents))
        host = self._format.caller_host(notice.flow)
        self._to_caller(notice.reset, (host, self._caller_port))

    def _refuse(self, packet: FlowPacket, reason: str, certain: bool) -> None:
        """Refuse a new flow; silently while what is known may be incomplete."""
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
        known = self.loads.of(peer.address)
        heard = known.heard > float("-inf")
        _log.info(
            "flow_placed",
            flow=flow_text(packet.flow),
            entry=route.entry.name,
            agent=peer.name,
            candidates=candidates,
            load=round(known.load, 3),
            load_age_ms=int((now - known.heard) * MS_PER_S) if heard else -1,
            placed_since=known.placed,
            attempt=packet.attempt,
            catalogue=self._state().catalogue.number,
        )


def _drop(records: dict[bytes, T], outdated: Callable[[T], bool]) -> None:
    """Remove the records of flows that are outdated."""
    for flow in [flow for flow, record in records.items() if outdated(record)]:
        del records[flow]
