"""Owner searches of an agent, for flows that none of their first candidates owns.

The agent asks all agents that may hold a flow. Questions about several flows share a datagram, and
there is at most one datagram to each agent in `ROUND_INTERVAL_S`, however many flows are searched
for: a search that many callers cause at once takes longer, but does not load the other agents
more. A flow is dead once every agent that may hold it has denied it.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import islice
from typing import Final

import attrs

from lentilcourse.logs import get_logger
from lentilcourse.steering.datagrams import (
    MAX_FLOWS_PER_QUERY,
    Envelope,
    FlowQuery,
    FlowReply,
    Kind,
    Possession,
    Send,
    encode_envelope,
    encode_query,
    flow_text,
)
from lentilcourse.steering.flow_records import AgentFlowCounts
from lentilcourse.steering.packet_format import FlowPacket
from lentilcourse.steering.peers import Peers
from lentilcourse.steering.routes import Routes

ROUND_INTERVAL_S: Final = 0.25
"""Minimum time between two rounds of queries."""
SEARCH_LIFE_S: Final = 1.0
"""Time after which a search is given up; a later packet of the flow starts a new one."""
MAX_SEARCHES: Final = 4 * MAX_FLOWS_PER_QUERY
"""Pending searches: as many as the rounds of `SEARCH_LIFE_S` can ask about."""

_log = get_logger(__name__)


@attrs.define(kw_only=True, slots=True)
class Search:
    """A pending search for the owner of a flow.

    Attributes:
        packet: a packet of the flow, delivered by its owner.
        balancer: peer address of the balancer that is notified by the owner.
        started_at: time at which the search began.
        denied: addresses of the agents whose targets do not hold the flow.
        tried: addresses of unsure agents that have been sent the packet.
    """

    packet: FlowPacket
    balancer: tuple[str, int]
    started_at: float
    denied: set[tuple[str, int]] = attrs.field(factory=set)
    tried: set[tuple[str, int]] = attrs.field(factory=set)


class OwnerSearches:
    """Pending searches of one agent; callers must hold the agent's lock."""

    def __init__(
        self,
        *,
        own_address: tuple[str, int],
        peers: Peers,
        routes: Routes,
        to_peer: Send,
        on_dead: Callable[[FlowPacket], None],
        counts: AgentFlowCounts,
    ) -> None:
        self._own_address = own_address
        self._peers = peers
        self._routes = routes
        self._to_peer = to_peer
        self._on_dead = on_dead
        self._counts = counts
        self._pending: dict[bytes, Search] = {}
        self._last_round_at = float("-inf")

    def start(self, packet: FlowPacket, balancer: tuple[str, int], now: float) -> None:
        """Search for the owner of a packet's flow unless a search for it is pending."""
        if packet.flow in self._pending or len(self._pending) >= MAX_SEARCHES:
            return
        self._pending[packet.flow] = Search(packet=packet, balancer=balancer, started_at=now)
        self._counts.sought += 1
        _log.info("flow_sought", flow=flow_text(packet.flow), balancer=balancer[0])
        if now - self._last_round_at >= ROUND_INTERVAL_S:
            self.run_round(now)

    def run_round(self, now: float) -> None:
        """Ask each agent about the oldest flows that it has neither claimed nor denied.

        Flows that all known agents have denied are checked again: the list of agents may have
        become complete since their last reply.
        """
        self._expire(now)
        for search in list(self._pending.values()):
            self._end_if_dead(search)
        if not self._pending:
            return
        self._last_round_at = now
        questions: dict[tuple[str, int], list[bytes]] = {}
        for flow, search in islice(self._pending.items(), MAX_FLOWS_PER_QUERY):
            for address in self._possible_holders(search.packet) - search.denied:
                questions.setdefault(address, []).append(flow)
        for address, flows in questions.items():
            self._counts.queries += 1
            query = FlowQuery(searcher=self._own_address, flows=tuple(flows))
            self._to_peer(encode_query(query), address)

    def on_reply(self, reply: FlowReply, now: float) -> None:
        """Handle the answers of an agent."""
        for flow, answer in reply.answers.items():
            search = self._pending.get(flow)
            if search is None:
                continue
            if answer is Possession.DENIES:
                search.denied.add(reply.agent)
                self._end_if_dead(search)
                continue
            if answer is Possession.HOLDS:
                del self._pending[flow]
            if reply.agent not in search.tried:
                search.tried.add(reply.agent)
                self._send_packet(search, reply.agent)

    def _end_if_dead(self, search: Search) -> None:
        """End a search once all agents that may hold the flow have denied it.

        The flow may live on an agent that is not known yet, so the list must be complete.
        """
        holders = self._possible_holders(search.packet)
        if holders and holders <= search.denied and self._peers.complete():
            del self._pending[search.packet.flow]
            _log.info(
                "flow_reset", flow=flow_text(search.packet.flow), denied_by=len(search.denied)
            )
            self._on_dead(search.packet)

    def _possible_holders(self, packet: FlowPacket) -> set[tuple[str, int]]:
        route = self._routes.find(packet.entry)
        if route is None:
            return set()
        return {peer.address for peer in self._peers.table().holders_of(route.holder_keys)}

    def _send_packet(self, search: Search, agent: tuple[str, int]) -> None:
        envelope = Envelope(kind=Kind.SEEK, hops=1, balancer=search.balancer)
        self._to_peer(encode_envelope(envelope, search.packet.raw), agent)

    def _expire(self, now: float) -> None:
        outdated = [
            search for search in self._pending.values() if now - search.started_at > SEARCH_LIFE_S
        ]
        for search in outdated:
            del self._pending[search.packet.flow]
            missing = self._possible_holders(search.packet) - search.denied
            _log.info(
                "flow_search_ended",
                flow=flow_text(search.packet.flow),
                denied_by=len(search.denied),
                unanswered=len(missing),
                agents_known=self._peers.complete(),
            )
