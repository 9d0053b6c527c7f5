"""Owner lookups of a balancer: packets of flows whose owner it does not know.

The first packet goes to the flow's first candidate, which delivers it if it owns the flow, and
searches for the owner otherwise: agents have faster links and processors than balancers. Later
packets are buffered. If no owner is known when a packet arrives after a while, the next candidate
gets it. So an unknown flow costs a balancer one datagram, however many agents there are.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

import attrs

from lentilcourse.clocks import MS_PER_S
from lentilcourse.histograms import LatencyHistogram
from lentilcourse.logs import get_logger
from lentilcourse.steering.candidates import lookup_candidates
from lentilcourse.steering.datagrams import (
    Envelope,
    FlowSend,
    Kind,
    encode_envelope,
    flow_text,
)
from lentilcourse.steering.flow_records import BalancerFlowCounts, remove_outdated
from lentilcourse.steering.packet_format import FlowPacket
from lentilcourse.steering.peers import Peer, Peers
from lentilcourse.steering.routes import Routes

LOOKUP_RETRY_S: Final = 0.15
"""Interval between the first and second attempt, doubled after each further one. It spans many
round trips but is shorter than a caller's first retransmission timeout."""
MAX_LOOKUP_RETRY_S: Final = 1.2
"""Longest interval between two attempts; callers retransmit after at most 1.6 s."""
LOOKUP_LIFE_S: Final = 5.0
"""Time after the last attempt after which a lookup is discarded."""
MAX_BUFFERED_PACKETS: Final = 16
"""Packets of a flow that are buffered: as many as an endpoint has in flight."""

_log = get_logger(__name__)


@attrs.define(kw_only=True, slots=True)
class Lookup:
    """A pending lookup of a flow's owner.

    Attributes:
        packet: the packet that was sent with the last attempt.
        started_at: time of the flow's first packet without a known owner.
        last_sent_at: time of the last attempt.
        retry_interval_s: minimum time until the next attempt.
        searches: number of candidates that have been asked.
        buffered: packets that arrived since the last attempt, in order.
    """

    packet: FlowPacket
    started_at: float
    last_sent_at: float
    retry_interval_s: float = LOOKUP_RETRY_S
    searches: int = 0
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
            self._start(packet, now)
        elif now - lookup.last_sent_at < lookup.retry_interval_s:
            if len(lookup.buffered) < MAX_BUFFERED_PACKETS:
                lookup.buffered.append(packet.raw)
        else:
            lookup.packet = packet
            lookup.buffered.clear()
            lookup.retry_interval_s = min(2 * lookup.retry_interval_s, MAX_LOOKUP_RETRY_S)
            self._ask_next(lookup, now)

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

    def _start(self, packet: FlowPacket, now: float) -> None:
        lookup = Lookup(packet=packet, started_at=now, last_sent_at=now)
        self._pending[packet.flow] = lookup
        self._counts.sought += 1
        self._ask_next(lookup, now)

    def _ask_next(self, lookup: Lookup, now: float) -> None:
        """Ask the next candidate, so that an agent that is down delays one attempt only."""
        packet = lookup.packet
        lookup.last_sent_at = now
        candidates = lookup_candidates(packet.flow, self._holders(packet), self._domain)
        if not candidates:
            return
        searcher = candidates[lookup.searches % len(candidates)]
        lookup.searches += 1
        self._counts.searches += 1
        _log.info(
            "flow_sought",
            flow=flow_text(packet.flow),
            searcher=searcher.name,
            searches=lookup.searches,
        )
        datagram = self._search_header + packet.raw
        self._counts.lookup_bytes += len(datagram)
        self._to_peer(packet.flow, datagram, searcher.address)

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


def _header(kind: Kind, own_address: tuple[str, int]) -> bytes:
    return encode_envelope(Envelope(kind=kind, hops=0, balancer=own_address), b"")
