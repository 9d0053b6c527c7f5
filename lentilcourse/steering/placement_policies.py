"""Placement policies, which select the agent that is offered a new flow.

`two-choices` selects the cheaper of the flow's first two candidates (power of two choices) in the
balancer's own failure domain, unless both are loaded and another domain's are not. Their order is
a hash of the flow's key, so they are as good as random ones, and a process that does not know the
owner of a flow finds it among them. `random` and `rendezvous` ignore load; they are the baselines
for measuring placement.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final, TypeAlias

import attrs

from lentilcourse.kernel.registry import Registry
from lentilcourse.steering.candidates import (
    PLACEMENT_CANDIDATES,
    flow_candidates,
    split_by_domain,
)
from lentilcourse.steering.peers import Peer
from lentilcourse.steering.placement import AgentLoads

SPILL_LOAD: Final = 1.0
"""Cost of an agent of the own domain above which agents of other domains are considered."""


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
    """Return the agent with the lowest cost out of the flow's first two candidates of a domain.

    Agents of other domains are considered only if both near ones have more than one request for
    each slot, or if there are none.
    """
    near, far = split_by_domain(offer.peers, offer.domain)
    best = _cheapest(offer, near or far, now)
    is_loaded = offer.loads.cost(best, offer.domain, now) > SPILL_LOAD
    return _cheapest(offer, [best, *far], now) if is_loaded and near and far else best


def _cheapest(offer: Offer, peers: list[Peer], now: float) -> Peer:
    near, far = split_by_domain(peers, offer.domain)
    pair = flow_candidates(offer.flow, near, PLACEMENT_CANDIDATES)
    pair += flow_candidates(offer.flow, far, PLACEMENT_CANDIDATES)
    return min(pair, key=lambda peer: offer.loads.cost(peer, offer.domain, now))


@PLACEMENT_POLICIES.register("random")
def choose_randomly(offer: Offer, now: float) -> Peer:
    """Return a random agent."""
    return offer.rng.choice(offer.peers)


@PLACEMENT_POLICIES.register("rendezvous")
def choose_by_hash(offer: Offer, now: float) -> Peer:
    """Return the flow's first candidate (rendezvous hashing)."""
    return flow_candidates(offer.flow, offer.peers, 1)[0]
