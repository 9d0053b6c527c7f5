"""Placement policies, which select the agent that is offered a new flow.

`two-choices` selects the cheaper of the flow's first two candidates (power of two choices). Their
order is a hash of the flow's key, so they are as good as random ones, and a process that does not
know the owner of a flow finds it among them. `random` and `rendezvous` ignore load; they are the
baselines for measuring placement.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final, TypeAlias

import attrs

from lentilcourse.kernel.registry import Registry
from lentilcourse.steering.candidates import flow_candidates
from lentilcourse.steering.peers import Peer
from lentilcourse.steering.placement import AgentLoads


@attrs.frozen(kw_only=True)
class Offer:
    """A new flow and the agents to choose from.

    Attributes:
        flow: key of the flow.
        peers: candidate agents; never empty.
        loads: known loads of the agents.
        domain: failure domain of the balancer.
        rng: random number generator.
    """

    flow: bytes
    peers: tuple[Peer, ...]
    loads: AgentLoads
    domain: str
    rng: random.Random


PlacementPolicy: TypeAlias = Callable[[Offer, float], Peer]

PLACEMENT_POLICIES: Final[Registry[PlacementPolicy]] = Registry(kind="placement policy")


@PLACEMENT_POLICIES.register("two-choices")
def choose_of_two(offer: Offer, now: float) -> Peer:
    """Return the agent with the lower cost out of the flow's first two candidates."""
    pair = flow_candidates(offer.flow, offer.peers, 2)
    return min(pair, key=lambda peer: offer.loads.cost(peer, offer.domain, now))


@PLACEMENT_POLICIES.register("random")
def choose_randomly(offer: Offer, now: float) -> Peer:
    """Return a random agent."""
    return offer.rng.choice(offer.peers)


@PLACEMENT_POLICIES.register("rendezvous")
def choose_by_hash(offer: Offer, now: float) -> Peer:
    """Return the flow's first candidate (rendezvous hashing)."""
    return flow_candidates(offer.flow, offer.peers, 1)[0]
