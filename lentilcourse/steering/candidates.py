"""The order in which the agents of a service are candidates for a flow.

Every process derives the same order from the flow's key and the agents' addresses (rendezvous
hashing). An agent that joins or leaves moves each other agent by one place at most and changes
nothing between the others. A new flow is placed at one of its first candidates, so a process that
does not know the owner of a flow asks these few agents, however many there are.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from lentilcourse.steering.peers import Peer, hash_key


def flow_candidates(flow: bytes, peers: Iterable[Peer], count: int) -> list[Peer]:
    """Return the first `count` candidates for a flow, in order."""
    return heapq.nsmallest(count, peers, key=lambda peer: xxh3_64_intdigest(flow + peer.hash_key))


def next_candidate(
    flow: bytes, own_address: tuple[str, int], peers: tuple[Peer, ...]
) -> Peer | None:
    """Return the candidate for a flow after `own_address`, the first one after the last."""
    order = flow_candidates(flow, peers, len(peers))
    others = [peer for peer in order if peer.address != own_address]
    if not others:
        return None
    own_score = xxh3_64_intdigest(flow + hash_key(own_address))
    after = (peer for peer in others if xxh3_64_intdigest(flow + peer.hash_key) > own_score)
    return next(after, others[0])
