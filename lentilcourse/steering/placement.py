"""What a balancer knows of the agents that it may offer a new flow.

The cost of an agent follows from what it said of its load and from what this balancer has sent
it since. An agent that leaves offers unanswered is avoided until it is heard again.
"""

from __future__ import annotations

from typing import Final

import attrs

from lentilcourse.steering.peers import Peer

FLOW_LOAD: Final = 0.25
"""Load that a new flow is taken to add until its agent has said more."""
OTHER_DOMAIN_LOAD: Final = 0.05
"""Load that a target in another failure domain must be below one here to be preferred."""
LOAD_LIFE_S: Final = 2.0
"""Age at which an agent's word on its load no longer counts."""
SILENT_AFTER_S: Final = 0.4
"""Time for which an offer may stay unanswered before its agent is avoided."""
AVOIDED_FOR_S: Final = 2.0
"""Time for which a silent agent is avoided; then one offer tries it again."""


@attrs.define(kw_only=True, slots=True)
class AgentLoad:
    """What a balancer knows of an agent's load.

    Attributes:
        load: requests in flight for each slot, as the agent said.
        heard: when it said so.
        placed: flows that were offered to it since.
        waiting_since: when the first unanswered offer was made; infinite without one.
        avoided_until: end of the time for which it gets no offers.
    """

    load: float = 0.0
    heard: float = float("-inf")
    placed: int = 0
    waiting_since: float = float("inf")
    avoided_until: float = float("-inf")


class AgentLoads:
    """Loads of all agents by peer address."""

    def __init__(self) -> None:
        self._loads: dict[tuple[str, int], AgentLoad] = {}

    def hear(self, address: tuple[str, int], load: float, now: float) -> None:
        """Take an agent's word."""
        known = self.of(address)
        known.load = load
        known.heard = now
        known.placed = 0
        known.waiting_since = float("inf")
        known.avoided_until = float("-inf")

    def place(self, address: tuple[str, int], now: float) -> None:
        """Count an offer."""
        known = self.of(address)
        known.placed += 1
        known.waiting_since = min(known.waiting_since, now)

    def unanswered(self, address: tuple[str, int], now: float) -> None:
        """Avoid an agent that did not answer an offer."""
        known = self.of(address)
        if known.heard <= known.waiting_since:
            known.avoided_until = now + AVOIDED_FOR_S

    def avoided(self, address: tuple[str, int], now: float) -> bool:
        """Return whether an agent is to be avoided now."""
        known = self.of(address)
        if now - known.waiting_since > SILENT_AFTER_S:
            known.avoided_until = now + AVOIDED_FOR_S
            known.waiting_since = float("inf")
        return now < known.avoided_until

    def cost(self, peer: Peer, domain: str, now: float) -> float:
        """Return what a new flow at an agent is taken to cost; lower is better."""
        known = self.of(peer.address)
        load = known.load if now - known.heard <= LOAD_LIFE_S else 0.0
        distance = 0.0 if peer.domain == domain else OTHER_DOMAIN_LOAD
        return load + known.placed * FLOW_LOAD / max(1, peer.slots) + distance

    def of(self, address: tuple[str, int]) -> AgentLoad:
        """Return what is known of an agent."""
        known = self._loads.get(address)
        if known is None:
            known = self._loads[address] = AgentLoad()
        return known


def usable_peers(peers: tuple[Peer, ...], loads: AgentLoads, now: float) -> tuple[Peer, ...]:
    """Return the agents that are not avoided now, or all where every one is."""
    return tuple(peer for peer in peers if not loads.avoided(peer.address, now)) or peers
