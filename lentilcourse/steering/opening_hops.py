"""Where an agent sends an opening packet that its own target does not take.

A packet that the agent declines goes to the next agent in the flow's order, first within the
domain. One that finds all slots taken goes round the domain for an idle target; if there is none,
the agent with the shortest expected wait accepts it.
"""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from lentilcourse.steering.candidates import MAX_BUSY_HOPS, next_candidate
from lentilcourse.steering.datagrams import BusyAgent
from lentilcourse.steering.peers import Peer


@attrs.frozen(kw_only=True)
class Opening:
    """An opening packet at an agent.

    Attributes:
        flow: key of the flow.
        hops: number of times that agents have sent the packet on.
        own_address: peer address of the agent.
        domain: failure domain of the agent.
        serving: agents of the flow's service that accept new flows.
    """

    flow: bytes
    hops: int
    own_address: tuple[str, int]
    domain: str
    serving: Sequence[Peer]

    def near(self) -> list[Peer]:
        """Return the serving agents of the domain."""
        return [peer for peer in self.serving if peer.domain == self.domain]


@attrs.frozen(kw_only=True)
class BusyHop:
    """Next hop of an opening packet that a busy agent passes on."""

    hops: int
    address: tuple[str, int]
    least_busy: BusyAgent


def next_when_declined(opening: Opening) -> Peer | None:
    """Return the agent that gets a declined packet next, None if there is no other.

    The packet leaves the domain once it has been at all agents there.
    """
    near = opening.near()
    hops = opening.hops + 1
    may_stay = hops < len(near) and hops <= MAX_BUSY_HOPS
    return next_candidate(opening.flow, opening.own_address, near if may_stay else opening.serving)


def next_when_busy(
    opening: Opening, own: BusyAgent, least_busy: BusyAgent | None
) -> BusyHop | None:
    """Return the next hop of a packet that finds all slots taken, None if the agent accepts it.

    `least_busy` is the least busy one of the agents that have passed the packet on before.
    """
    if opening.hops > MAX_BUSY_HOPS:
        return None
    if least_busy is None or own.wait_s < least_busy.wait_s:
        least_busy = own
    peer = _next_near(opening)
    if peer is not None:
        return BusyHop(hops=opening.hops + 1, address=peer.address, least_busy=least_busy)
    if least_busy is own:
        return None
    return BusyHop(hops=MAX_BUSY_HOPS + 1, address=least_busy.address, least_busy=least_busy)


def _next_near(opening: Opening) -> Peer | None:
    """Return the next candidate of the domain, None if all have been asked."""
    near = [peer for peer in opening.near() if peer.takes_passed]
    if opening.hops >= MAX_BUSY_HOPS or opening.hops + 1 >= len(near):
        return None
    return next_candidate(opening.flow, opening.own_address, near)
