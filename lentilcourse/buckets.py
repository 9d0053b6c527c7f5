"""Bucket tables: which targets serve which part of a service's flows.

A service has a fixed number of buckets, whatever its number of targets. Every process derives
the same table from the same state with `build_table` (rendezvous hashing): a membership
change moves only the buckets of the targets that it concerns. The first candidate of a bucket
is its home.
"""

from __future__ import annotations

from functools import lru_cache
from typing import Final

import attrs
from xxhash import xxh3_64_intdigest

from lentilcourse.model import State, Target, TargetState

BUCKETS: Final = 256
BUCKET_MASK: Final = BUCKETS - 1


@attrs.frozen(kw_only=True)
class BucketTable:
    """Ordered candidates of each bucket of one service; names of targets."""

    candidates: tuple[tuple[str, ...], ...]

    def home(self, bucket: int) -> str | None:
        """Return the home of a bucket, None where the service has no target."""
        ordered = self.candidates[bucket]
        return ordered[0] if ordered else None


EMPTY_TABLE: Final = BucketTable(candidates=((),) * BUCKETS)


def bucket_of(key: bytes) -> int:
    """Return the bucket of a flow key or an idempotency key."""
    return xxh3_64_intdigest(key) & BUCKET_MASK


def eligible_targets(state: State, service: str) -> list[Target]:
    """Return the targets that may be homes, in the best group that is not empty.

    Active targets come first. Where there are none, draining ones stay homes of the flows
    that exist, and after those, targets whose lease has expired. Targets of a failure domain
    that is out are never homes.
    """
    members = [
        target for target in state.service_targets(service) if not state.domain_out(target.domain)
    ]
    active = [each for each in members if takes_new_work(each)]
    draining = [each for each in members if not each.lost]
    return active or draining or members


def takes_new_work(target: Target) -> bool:
    """Return whether a target may get new flows and requests."""
    return target.state is TargetState.ACTIVE and not target.lost


def build_table(state: State, service: str) -> BucketTable:
    """Return the bucket table of a service at a state."""
    names = tuple(target.name for target in eligible_targets(state, service))
    return rendezvous_table(service, names)


@lru_cache(maxsize=4096)
def rendezvous_table(service: str, names: tuple[str, ...]) -> BucketTable:
    """Return the table of a service whose eligible targets have the given names."""
    if not names:
        return EMPTY_TABLE
    return BucketTable(
        candidates=tuple(_ordered(service, bucket, names) for bucket in range(BUCKETS))
    )


def _ordered(service: str, bucket: int, names: tuple[str, ...]) -> tuple[str, ...]:
    def score(name: str) -> int:
        return xxh3_64_intdigest(f"{service}/{bucket}/{name}".encode())

    return tuple(sorted(names, key=score, reverse=True))
