"""Owner searches of an agent, for flows whose owner a balancer does not know.

The agent first asks the flow's first candidates, one of which owns it in most cases, then all
agents that may hold the flow. Questions about several flows share a datagram, and there is at most
one datagram to each agent in an interval, however many flows are searched for: a search that many
callers cause at once takes longer, but does not load the other agents more. A flow is dead once
every agent that may hold it has denied it.

An agent that does not know asks its target by giving it the packet. That is wrong wherever the flow
is not held, so such agents get the packet only if none has claimed the flow in the first round.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Collection
from itertools import islice
from typing import Final

import attrs

from lentilcourse.logs import get_logger
from lentilcourse.steering.candidates import lookup_candidates
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
from lentilcourse.steering.peers import Peer, Peers
from lentilcourse.steering.routes import Routes

FIRST_ROUND_INTERVAL_S: Final = 0.02
"""Minimum time between two rounds that ask the first candidates of flows."""
ROUND_INTERVAL_S: Final = 0.25
"""Minimum time between two rounds that ask all agents."""
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
        unsure: addresses of agents that do not know whether their targets hold the flow.
        tried: addresses of agents that have been sent the packet.
        asked: addresses of the first candidates; empty until they are asked.
    """

    packet: FlowPacket
    balancer: tuple[str, int]
    started_at: float
    denied: set[tuple[str, int]] = attrs.field(factory=set)
    unsure: set[tuple[str, int]] = attrs.field(factory=set)
    tried: set[tuple[str, int]] = attrs.field(factory=set)
    asked: frozenset[tuple[str, int]] = frozenset()


class OwnerSearches:
    """Pending searches of one agent; callers must hold the agent's lock.

    Attributes:
        waiting: set while a search waits for the next round that asks first candidates.
    """

    def __init__(
        self,
        *,
        own_address: tuple[str, int],
        domain: str,
        peers: Peers,
        routes: Routes,
        to_peer: Send,
        on_dead: Callable[[FlowPacket], None],
        counts: AgentFlowCounts,
    ) -> None:
        self.waiting = threading.Event()
        self._own_address = own_address
        self._domain = domain
        self._peers = peers
        self._routes = routes
        self._to_peer = to_peer
        self._on_dead = on_dead
        self._counts = counts
        self._pending: dict[bytes, Search] = {}
        self._first_round_at = float("-inf")
        self._full_round_at = float("-inf")

    def start(self, packet: FlowPacket, balancer: tuple[str, int], now: float) -> None:
        """Search for the owner of a packet's flow unless a search for it is pending."""
        pending = self._pending.get(packet.flow)
        if pending is not None and now - pending.started_at <= SEARCH_LIFE_S:
            return
        if pending is None and len(self._pending) >= MAX_SEARCHES:
            return
        self._pending[packet.flow] = Search(packet=packet, balancer=balancer, started_at=now)
        self._counts.sought += 1
        _log.info("flow_sought", flow=flow_text(packet.flow), balancer=balancer[0])
        if now - self._first_round_at >= FIRST_ROUND_INTERVAL_S:
            self.run_round(now)
        else:
            self.waiting.set()

    def run_round(self, now: float) -> None:
        """Ask each agent about the oldest flows that it has neither claimed nor denied.

        Flows that all known agents have denied are checked again: the list of agents may have
        become complete since their last reply.
        """
        self.waiting.clear()
        self._expire(now)
        for search in list(self._pending.values()):
            self._end_if_dead(search)
            if now - search.started_at >= FIRST_ROUND_INTERVAL_S:
                for agent in search.unsure - search.denied:
                    self._try_at(search, agent)
        if not self._pending:
            return
        full = now - self._full_round_at >= ROUND_INTERVAL_S
        questions: dict[tuple[str, int], list[bytes]] = {}
        for flow, search in islice(self._pending.items(), MAX_FLOWS_PER_QUERY):
            for address in self._addresses_to_ask(search, full, now):
                questions.setdefault(address, []).append(flow)
        for address, flows in questions.items():
            self._counts.queries += 1
            query = FlowQuery(searcher=self._own_address, flows=tuple(flows))
            self._to_peer(encode_query(query), address)

    def _addresses_to_ask(
        self, search: Search, full: bool, now: float
    ) -> Collection[tuple[str, int]]:
        """Return the agents to ask now: first candidates, then all if a full round is due."""
        if not search.asked:
            self._first_round_at = now
            holders = self._possible_holders(search.packet)
            first = lookup_candidates(search.packet.flow, holders, self._domain)
            search.asked = frozenset(peer.address for peer in first)
            return search.asked
        if not full:
            return ()
        self._full_round_at = now
        return self._holder_addresses(search.packet) - search.denied

    def on_reply(self, reply: FlowReply, now: float) -> None:
        """Handle the answers of an agent."""
        for flow, answer in reply.answers.items():
            search = self._pending.get(flow)
            if search is None:
                continue
            if answer is Possession.DENIES:
                search.denied.add(reply.agent)
                self._end_if_dead(search)
                self._continue(search, now)
                continue
            if answer is Possession.HOLDS:
                del self._pending[flow]
                self._try_at(search, reply.agent)
            else:
                search.unsure.add(reply.agent)
                self.waiting.set()

    def _continue(self, search: Search, now: float) -> None:
        """Ask all agents once the first candidates have denied a flow, if a round is due."""
        is_pending = self._pending.get(search.packet.flow) is search
        is_due = now - self._full_round_at >= ROUND_INTERVAL_S
        if is_pending and is_due and search.asked <= search.denied:
            self.run_round(now)

    def _end_if_dead(self, search: Search) -> None:
        """End a search once all agents that may hold the flow have denied it.

        The flow may live on an agent that is not known yet, so the list must be complete.
        """
        holders = self._holder_addresses(search.packet)
        if holders and holders <= search.denied and self._peers.complete():
            del self._pending[search.packet.flow]
            _log.info(
                "flow_reset", flow=flow_text(search.packet.flow), denied_by=len(search.denied)
            )
            self._on_dead(search.packet)

    def _possible_holders(self, packet: FlowPacket) -> tuple[Peer, ...]:
        route = self._routes.find(packet.entry)
        if route is None:
            return ()
        return self._peers.table().holders_of(route.holder_keys)

    def _holder_addresses(self, packet: FlowPacket) -> set[tuple[str, int]]:
        return {peer.address for peer in self._possible_holders(packet)}

    def _try_at(self, search: Search, agent: tuple[str, int]) -> None:
        """Send the packet to an agent, unless it has had it."""
        if agent in search.tried:
            return
        search.tried.add(agent)
        envelope = Envelope(kind=Kind.SEEK, hops=1, balancer=search.balancer)
        self._to_peer(encode_envelope(envelope, search.packet.raw), agent)

    def _expire(self, now: float) -> None:
        outdated = [
            search for search in self._pending.values() if now - search.started_at > SEARCH_LIFE_S
        ]
        for search in outdated:
            del self._pending[search.packet.flow]
            missing = self._holder_addresses(search.packet) - search.denied
            _log.info(
                "flow_search_ended",
                flow=flow_text(search.packet.flow),
                denied_by=len(search.denied),
                unanswered=len(missing),
                agents_known=self._peers.complete(),
            )
