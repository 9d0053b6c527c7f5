"""Owner lookups of a balancer: packets of flows whose owner it does not know.

The flow's first candidates are asked by a small datagram whether they own it, while its packets are
buffered. If none of them does, or none has answered when a later packet arrives, one agent gets the
packet and searches for the owner, because agents have faster links than balancers. What a balancer
sends for an unknown flow thus does not grow with the number of agents, and hardly with its packets.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

import attrs

from lentilcourse.clocks import MS_PER_S
from lentilcourse.histograms import LatencyHistogram
from lentilcourse.logs import get_logger
from lentilcourse.steering.candidates import (
    FAR_LOOKUPS,
    NEAR_LOOKUPS,
    flow_candidates,
    lookup_candidates,
)
from lentilcourse.steering.datagrams import (
    Envelope,
    FlowQuery,
    FlowSend,
    Kind,
    encode_envelope,
    encode_query,
    flow_text,
)
from lentilcourse.steering.flow_records import BalancerFlowCounts, remove_outdated
from lentilcourse.steering.packet_format import FlowPacket
from lentilcourse.steering.peers import Peer, Peers
from lentilcourse.steering.routes import Routes

LOOKUP_CANDIDATES: Final = NEAR_LOOKUPS + FAR_LOOKUPS
"""Candidates that are asked first."""
LOOKUP_RETRY_S: Final = 0.15
"""Interval between the first and second attempt, doubled after each further one. It spans many
round trips but is shorter than a caller's first retransmission timeout."""
MAX_LOOKUP_RETRY_S: Final = 1.2
"""Longest interval between two attempts; callers retransmit after at most 1.6 s."""
LOOKUP_LIFE_S: Final = 5.0
"""Time after the last attempt after which a lookup is discarded."""
MAX_BUFFERED_PACKETS: Final = 16
"""Packets that are buffered after the first one: as many as an endpoint has in flight."""

_log = get_logger(__name__)


@attrs.define(kw_only=True, slots=True)
class Lookup:
    """A pending lookup of a flow's owner.

    Attributes:
        packet: the packet that was sent with the last attempt.
        started_at: time of the flow's first packet without a known owner.
        last_sent_at: time of the last attempt.
        retry_interval_s: minimum time until the next attempt.
        searches: number of agents that were asked to search.
        asked: addresses of the candidates that were asked.
        answered: addresses of the agents that have said that they do not know to own the flow.
        buffered: packets that no agent has got yet, in order of arrival.
    """

    packet: FlowPacket
    started_at: float
    last_sent_at: float
    retry_interval_s: float = LOOKUP_RETRY_S
    searches: int = 0
    asked: frozenset[tuple[str, int]] = frozenset()
    answered: set[tuple[str, int]] = attrs.field(factory=set)
    buffered: list[bytes] = attrs.field(factory=list)


class OwnerLookups:
    """Pending lookups of one balancer; callers must hold the balancer's lock.

    Attributes:
        latency: time from the first packet of a flow without a known owner to the owner notice.
    """

    def __init__(
        self,
        *,
        own_address: tuple[str, int],
        domain: str,
        peers: Peers,
        routes: Routes,
        to_peer: FlowSend,
        counts: BalancerFlowCounts,
    ) -> None:
        self.latency = LatencyHistogram()
        self._own_address = own_address
        self._domain = domain
        self._peers = peers
        self._routes = routes
        self._to_peer = to_peer
        self._counts = counts
        self._carry_header = _header(Kind.CARRY, own_address)
        self._search_header = _header(Kind.SEARCH, own_address)
        self._pending: dict[bytes, Lookup] = {}

    def on_packet(self, packet: FlowPacket, now: float) -> None:
        """Look up the owner of a packet's flow, or buffer the packet while a lookup is pending."""
        lookup = self._pending.get(packet.flow)
        if lookup is None:
            self._ask_candidates(packet, now)
        elif now - lookup.last_sent_at < lookup.retry_interval_s:
            if len(lookup.buffered) <= MAX_BUFFERED_PACKETS:
                lookup.buffered.append(packet.raw)
        else:
            lookup.packet = packet
            lookup.buffered.clear()
            lookup.retry_interval_s = min(2 * lookup.retry_interval_s, MAX_LOOKUP_RETRY_S)
            self._search(lookup, now)

    def on_denial(self, flow: bytes, agent: tuple[str, int], now: float) -> None:
        """Ask for a search once no asked candidate knows to own a flow."""
        lookup = self._pending.get(flow)
        if lookup is None or lookup.searches:
            return
        lookup.answered.add(agent)
        if lookup.asked <= lookup.answered:
            self._send_search(lookup, agent, now)

    def finish(self, flow: bytes, owner: tuple[str, int], now: float) -> None:
        """Complete a lookup and send the buffered packets to the owner unless they are too old."""
        lookup = self._pending.pop(flow, None)
        if lookup is None:
            return
        self.latency.observe(now - lookup.started_at)
        _log.info(
            "flow_found",
            flow=flow_text(flow),
            owner=owner[0],
            waited_ms=int((now - lookup.started_at) * MS_PER_S),
            searches=lookup.searches,
            kept=len(lookup.buffered),
        )
        if now - lookup.last_sent_at > LOOKUP_RETRY_S:
            return
        for raw in lookup.buffered:
            self._to_peer(flow, self._carry_header + raw, owner)

    def expire(self, now: float) -> None:
        """Discard the lookups of flows that have sent no packet for a while."""
        remove_outdated(self._pending, lambda lookup: now - lookup.last_sent_at > LOOKUP_LIFE_S)

    def _ask_candidates(self, packet: FlowPacket, now: float) -> None:
        candidates = lookup_candidates(packet.flow, self._holders(packet), self._domain)
        self._pending[packet.flow] = Lookup(
            packet=packet,
            started_at=now,
            last_sent_at=now,
            asked=frozenset(peer.address for peer in candidates),
            buffered=[packet.raw],
        )
        self._counts.sought += 1
        _log.info(
            "flow_sought", flow=flow_text(packet.flow), asked=[peer.name for peer in candidates]
        )
        query = encode_query(FlowQuery(searcher=self._own_address, flows=(packet.flow,)))
        for peer in candidates:
            self._send(packet.flow, query, peer.address)

    def _search(self, lookup: Lookup, now: float) -> None:
        """Ask the next candidate for a search, so that an agent that is down delays only one."""
        flow, holders = lookup.packet.flow, self._holders(lookup.packet)
        candidates = flow_candidates(flow, holders, lookup.searches + 1)
        if not candidates:
            lookup.last_sent_at = now
            return
        self._send_search(lookup, candidates[-1].address, now)

    def _send_search(self, lookup: Lookup, searcher: tuple[str, int], now: float) -> None:
        lookup.searches += 1
        lookup.last_sent_at = now
        self._counts.searches += 1
        _log.info(
            "flow_search_asked",
            flow=flow_text(lookup.packet.flow),
            searcher=searcher[0],
            denied_by=len(lookup.answered),
            searches=lookup.searches,
        )
        packet = lookup.packet
        if packet.raw in lookup.buffered:
            lookup.buffered.remove(packet.raw)
        self._send(packet.flow, self._search_header + packet.raw, searcher)

    def _holders(self, packet: FlowPacket) -> Sequence[Peer]:
        """Return the agents that are asked about a flow.

        These are the agents of the service that new flows go to, or without any those of the
        entry's other services.
        """
        route = self._routes.find(packet.entry)
        if route is None:
            return ()
        table = self._peers.table()
        holders = table.holders.get(route.service_for(packet.flow), ())
        return holders or table.holders_of(route.holder_keys)

    def _send(self, flow: bytes, datagram: bytes, address: tuple[str, int]) -> None:
        self._counts.lookup_copies += 1
        self._counts.lookup_bytes += len(datagram)
        self._to_peer(flow, datagram, address)


def _header(kind: Kind, own_address: tuple[str, int]) -> bytes:
    return encode_envelope(Envelope(kind=kind, hops=0, balancer=own_address), b"")
