"""Placement policies: which agent is offered a new flow.

`two-choices` compares two random agents by their cost. `random` and `rendezvous` know nothing of
load; they are the baselines that placement is measured against.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final, TypeAlias

import attrs
from xxhash import xxh3_64_intdigest

from lentilcourse.kernel.registry import Registry
from lentilcourse.steering.peers import Peer
from lentilcourse.steering.placement import AgentLoads


@attrs.frozen(kw_only=True)
class Offer:
    """A new flow and the agents that may be offered it.

    Attributes:
        flow: bytes that identify the flow.
        peers: the agents; never empty.
        loads: what is known of their load.
        domain: failure domain of the balancer.
        rng: source of random choices.
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
    """Return the cheaper one of two random agents."""
    pair = offer.rng.sample(offer.peers, min(2, len(offer.peers)))
    return min(pair, key=lambda peer: offer.loads.cost(peer, offer.domain, now))


@PLACEMENT_POLICIES.register("random")
def choose_randomly(offer: Offer, now: float) -> Peer:
    """Return any agent."""
    return offer.rng.choice(offer.peers)


@PLACEMENT_POLICIES.register("rendezvous")
def choose_by_hash(offer: Offer, now: float) -> Peer:
    """Return the agent with the highest hash of flow and name."""
    return max(offer.peers, key=lambda peer: xxh3_64_intdigest(offer.flow + peer.name.encode()))
