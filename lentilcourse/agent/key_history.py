"""Whether the home of a key knows every key that was used before it became home.

Each key is recorded at its home and, before the request is delivered, at the next candidate of
its bucket (the backup). A bucket that moves is handed over by its former home, or taken over by
the backup. Where both are lost, keys that may have been used before are answered "unknown":
a time-ordered key (RFC 9562, version 7) that is younger than the loss is known to be new.
"""

from __future__ import annotations

import enum
import uuid
from typing import Final

import attrs

from lentilcourse.buckets import BUCKETS, EMPTY_TABLE, BucketTable

KEY_LIFE_MS: Final = 3_600_000
CLOCK_MARGIN_MS: Final = 2_000
NEVER_LOST: Final = 0


class KeyVerdict(enum.Enum):
    """What a home may do with a key of which it has no record."""

    NEW = "new"
    WAIT = "wait"
    MAYBE_USED = "maybe-used"
    NOT_HOME = "not-home"


@attrs.define(kw_only=True)
class BucketHistory:
    """What is known of the keys of one bucket.

    Attributes:
        waits_for: peer whose records are still to come; empty for none.
        waits_version: state version that the peer must have handed over at.
        lost_ms: wall-clock time before which keys may have been lost; `NEVER_LOST` for none.
    """

    waits_for: str = ""
    waits_version: int = 0
    lost_ms: int = NEVER_LOST


class KeyHistory:
    """The history of all buckets at one agent."""

    def __init__(self, *, name: str) -> None:
        self._name = name
        self._table = EMPTY_TABLE
        self._joined = False
        self._buckets = [BucketHistory() for _ in range(BUCKETS)]
        self._confirmed: dict[str, tuple[int, int]] = {}

    def on_table(
        self,
        table: BucketTable,
        live: frozenset[str],
        *,
        version: int,
        restarted: bool,
        jumped: bool,
        wall_ms: int,
    ) -> None:
        """Put a new table in force.

        `live` names the other targets whose agents can hand records over; `restarted` says
        that this agent was a member before and has lost its memory; `jumped` that versions
        were passed by, over which a bucket may have been elsewhere for a time.
        """
        old, self._table = self._table, table
        for bucket, history in enumerate(self._buckets):
            held = self._name in old.candidates[bucket][:2]
            holds = self._name in table.candidates[bucket][:2]
            if holds and (jumped or not held):
                holders = self._holders(old.candidates[bucket], table.candidates[bucket])
                history.waits_version = version
                self._take_over(history, holders, live, restarted, wall_ms)
            if history.waits_for and history.waits_for not in live:
                history.waits_for = ""
                history.lost_ms = wall_ms
        self._joined = True
        self._resolve()

    def confirm(self, peer: str, version: int, lost_ms: int) -> None:
        """Note that a peer has handed over all its records as of a version.

        `lost_ms` says what it had lost itself. It may come before the version is known here.
        """
        self._confirmed[peer] = (version, lost_ms)
        self._resolve()

    def revoke(self, peer: str) -> None:
        """Forget a peer's confirmation, because its stream has ended."""
        self._confirmed.pop(peer, None)

    def _resolve(self) -> None:
        for history in self._buckets:
            version, lost_ms = self._confirmed.get(history.waits_for, (-1, NEVER_LOST))
            if history.waits_for and version >= history.waits_version:
                history.waits_for = ""
                history.lost_ms = max(history.lost_ms, lost_ms)

    def lost_ms(self) -> int:
        """Return the latest loss in any bucket that this agent holds."""
        held = [
            history.lost_ms
            for bucket, history in enumerate(self._buckets)
            if self._name in self._table.candidates[bucket][:2]
        ]
        return max(held, default=NEVER_LOST)

    def judge(self, bucket: int, key: str, wall_ms: int) -> KeyVerdict:
        """Return what may be done with a key of which there is no record."""
        if self._table.home(bucket) != self._name:
            return KeyVerdict.NOT_HOME
        history = self._buckets[bucket]
        if history.waits_for:
            return KeyVerdict.WAIT
        if history.lost_ms == NEVER_LOST or wall_ms - history.lost_ms > KEY_LIFE_MS:
            return KeyVerdict.NEW
        created_ms = key_time_ms(key)
        if created_ms is not None and created_ms > history.lost_ms + CLOCK_MARGIN_MS:
            return KeyVerdict.NEW
        return KeyVerdict.MAYBE_USED

    def _holders(self, old: tuple[str, ...], new: tuple[str, ...]) -> list[str]:
        """Return the other targets that have held the keys of a bucket until now."""
        if self._joined:
            return [name for name in old[:2] if name != self._name]
        return [name for name in new if name != self._name][:2]

    def _take_over(
        self,
        history: BucketHistory,
        holders: list[str],
        live: frozenset[str],
        restarted: bool,
        wall_ms: int,
    ) -> None:
        alive = [name for name in holders if name in live]
        if alive:
            history.waits_for = alive[0]
            history.lost_ms = NEVER_LOST
        elif holders or restarted:
            history.lost_ms = wall_ms


def key_time_ms(key: str) -> int | None:
    """Return the time in a version 7 key, None for any other key."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    return parsed.int >> 80 if parsed.version == 7 else None
