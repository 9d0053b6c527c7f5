"""The order in which the agents of a service are candidates for a flow.

Every process derives the same order from the flow's key and the agents' addresses (rendezvous
hashing). An agent that joins or leaves moves each other agent by one place at most and changes
nothing between the others. A new flow is placed at one of its first candidates, so a process that
does not know the owner of a flow asks these few agents, however many there are.

Agents of the balancer's own failure domain come first, because bytes between domains are slow and
dear. A caller's packets enter through the balancers of one domain, so these derive the same order.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from typing import Final

from xxhash import xxh3_64_intdigest

from lentilcourse.steering.peers import Peer, hash_key

PLACEMENT_CANDIDATES: Final = 2
"""Agents of a domain of which a balancer chooses one (power of two choices)."""
MAX_BUSY_HOPS: Final = 5
"""Times that busy agents pass an opening packet on, each to the next candidate of its domain."""
NEAR_LOOKUPS: Final = PLACEMENT_CANDIDATES + MAX_BUSY_HOPS + 1
"""Candidates of the own domain that a lookup asks: all at which a flow may have been placed, and
one for an agent that has joined since."""
FAR_LOOKUPS: Final = 2
"""Candidates of other domains that a lookup asks."""


def flow_candidates(flow: bytes, peers: Iterable[Peer], count: int) -> list[Peer]:
    """Return the first `count` candidates for a flow, in order."""
    return heapq.nsmallest(count, peers, key=lambda peer: xxh3_64_intdigest(flow + peer.hash_key))


def split_by_domain(peers: Iterable[Peer], domain: str) -> tuple[list[Peer], list[Peer]]:
    """Return the agents of a failure domain, and the others."""
    near: list[Peer] = []
    far: list[Peer] = []
    for peer in peers:
        (near if peer.domain == domain else far).append(peer)
    return near, far


def lookup_candidates(flow: bytes, peers: Iterable[Peer], domain: str) -> list[Peer]:
    """Return the agents that are asked for a flow first, those of `domain` before the others.

    Without agents in the domain, as many others are asked.
    """
    near, far = split_by_domain(peers, domain)
    asked = flow_candidates(flow, near, NEAR_LOOKUPS)
    missing = NEAR_LOOKUPS - len(asked)
    return asked + flow_candidates(flow, far, FAR_LOOKUPS + missing)


def next_candidate(flow: bytes, own_address: tuple[str, int], peers: Iterable[Peer]) -> Peer | None:
    """Return the candidate for a flow after `own_address`, the first one after the last."""

    def score(key: bytes) -> int:
        return xxh3_64_intdigest(flow + key)

    others = [(score(peer.hash_key), peer) for peer in peers if peer.address != own_address]
    if not others:
        return None
    own_score = score(hash_key(own_address))
    after = [each for each in others if each[0] > own_score]
    return min(after or others, key=lambda each: each[0])[1]
