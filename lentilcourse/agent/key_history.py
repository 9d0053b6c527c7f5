"""Tracks whether the home of a key has the records of all keys used before it became home.

The home is the first candidate of the key's bucket. Each key is recorded at its home and, before
the request is delivered, at the next candidate (the backup). An agent that takes over a bucket
needs the records of one of its former holders. A former holder that cannot be reached is waited
for, since all connections may go silent at once while every agent lives. Only the records of an
agent that has ended, or stays out of reach for `HOLDER_GRACE_S`, count as lost; requests whose
keys may have been used before are then refused with "ran: unknown". A time-ordered key (UUID
version 7, RFC 9562) created after the loss is known to be new.

An agent that still waits for the records of a bucket runs no request with an unknown key of it.
Whoever takes the bucket over from that agent needs no records of it, but of the agents that it
waited for. These are its sources, which it names in its `KeysComplete` message.
"""

from __future__ import annotations

import enum
import uuid
from collections.abc import Iterable, Mapping
from typing import Final

import attrs

from lentilcourse.buckets import BUCKETS, EMPTY_TABLE, BucketTable
from lentilcourse.clocks import MS_PER_S
from lentilcourse.messages.requests import PartialBucket

KEY_LIFE_S: Final = 3600.0
"""Time after a loss for which a key without a time may have been used before it."""
CLOCK_MARGIN_MS: Final = 10_000
"""Largest difference between the clocks of a caller and an agent; clocks may jump by seconds."""
NEVER_LOST: Final = 0
HOLDER_GRACE_S: Final = 5.0
"""Time for which a former holder may be out of reach until its records count as lost. Streams that
go silent are replaced within 3 s."""


class KeyVerdict(enum.Enum):
    """How the home of a key must handle a key that has no record."""

    NEW = "new"
    WAIT = "wait"
    MAYBE_USED = "maybe-used"
    NOT_HOME = "not-home"


@attrs.frozen(kw_only=True)
class ServiceView:
    """The agents of a service at one version of the state.

    Attributes:
        version: the version.
        table: bucket table of the service.
        runs: run of each other agent, as NAME/RUN, by name.
        lost: names of the agents whose leases have expired; they may still run.
    """

    version: int
    table: BucketTable
    runs: Mapping[str, str]
    lost: frozenset[str] = frozenset()


@attrs.frozen(kw_only=True)
class Confirmation:
    """What a `KeysComplete` message says.

    Attributes:
        version: state version as of which the sender has sent its records.
        partial: buckets with missing or lost records; None if the sender does not tell buckets
            apart.
        lost_ms: latest loss of records in any bucket of the sender.
    """

    version: int
    partial: Mapping[int, PartialBucket] | None
    lost_ms: int

    def bucket(self, bucket: int) -> PartialBucket:
        """Return what is known about one bucket."""
        if self.partial is None:
            return PartialBucket(bucket=bucket, lost_ms=self.lost_ms)
        return self.partial.get(bucket) or PartialBucket(bucket=bucket)


@attrs.define(kw_only=True)
class BucketHistory:
    """Completeness of the key records of one bucket.

    Attributes:
        complete: whether this agent has all records from the time until it last held the bucket.
        awaited: runs of which one must confirm its records.
        settled: runs that need no longer be waited for.
        version: lowest state version at which an awaited run must confirm its records.
        own_sources: runs that were awaited when this agent last ceased to hold the bucket; None
            if it had all records then.
        loss_ms: wall-clock time of a loss that takes effect if no awaited run has the records.
        lost_ms: wall-clock time before which records may have been lost; `NEVER_LOST` if none.
        lost_at: monotonic time of that loss.
    """

    complete: bool = False
    awaited: set[str] = attrs.field(factory=set)
    settled: set[str] = attrs.field(factory=set)
    version: int = 0
    own_sources: frozenset[str] | None = frozenset()
    loss_ms: int = NEVER_LOST
    lost_ms: int = NEVER_LOST
    lost_at: float = float("-inf")

    def expect(self, sources: Iterable[str]) -> set[str]:
        """Wait for further runs; returns those that are new."""
        new = set(sources) - self.settled - self.awaited
        self.awaited |= new
        return new

    def known_loss_ms(self, now: float) -> int:
        """Return the latest loss that counts, also one that an awaited run may make up for."""
        lost_ms = self.lost_ms if now - self.lost_at <= KEY_LIFE_S else NEVER_LOST
        return lost_ms if self.complete else max(lost_ms, self.loss_ms)

    def settle(self, run: str, loss_ms: int) -> None:
        """Stop waiting for a run that does not have the records."""
        self.awaited.discard(run)
        self.settled.add(run)
        self.loss_ms = max(self.loss_ms, loss_ms)

    def finish(self, lost_ms: int, lost_at: float) -> None:
        """Stop waiting: all records are here, except those lost before `lost_ms`.

        The time of a loss that is known already stays.
        """
        self.awaited.clear()
        self.complete = True
        if lost_ms != self.lost_ms:
            self.lost_ms = lost_ms
            self.lost_at = lost_at


class KeyHistory:
    """Completeness of the key records of all buckets at one agent."""

    def __init__(self, *, name: str, run: str) -> None:
        self._name = name
        self._run = run
        self._view = ServiceView(version=0, table=EMPTY_TABLE, runs={})
        self._has_table = False
        self._buckets = [BucketHistory() for _ in range(BUCKETS)]
        self._confirmed: dict[str, Confirmation] = {}
        self._lost_since: dict[str, float] = {}

    def on_view(
        self,
        view: ServiceView,
        *,
        restarted: bool,
        versions_skipped: bool,
        now: float,
        wall_ms: int,
    ) -> None:
        """Apply a new version of the service's agents.

        Args:
            view: the agents and the bucket table.
            restarted: whether this agent was a member before and has lost its records.
            versions_skipped: whether state versions were skipped; a bucket may have moved away
                and back in between.
            now: current time (monotonic seconds).
            wall_ms: current wall-clock time.
        """
        old, self._view = self._view, view
        self._update_lost(now)
        for bucket, history in enumerate(self._buckets):
            held = self._name in old.table.candidates[bucket][:2]
            holds = self._name in view.table.candidates[bucket][:2]
            if holds and (versions_skipped or not held):
                runs = self._former_holders(bucket, old)
                loss_ms = wall_ms if restarted and not self._has_table else NEVER_LOST
                self._start_holding(history, runs, held, loss_ms, now)
            elif held and not holds:
                history.own_sources = None if history.complete else frozenset(history.awaited)
        self._has_table = True
        self._settle_all(now, wall_ms)

    def confirm(self, run: str, confirmation: Confirmation, now: float, wall_ms: int) -> None:
        """Record that a run has sent all its records as of a state version.

        The confirmation may arrive before this agent has that version.
        """
        self._confirmed[run] = confirmation
        self._settle_all(now, wall_ms)

    def revoke(self, peer: str) -> None:
        """Discard a peer's confirmations after its stream has ended."""
        for run in [each for each in self._confirmed if agent_of(each) == peer]:
            del self._confirmed[run]

    def lost_ms(self, now: float) -> int:
        """Return the time of the latest loss in any bucket that this agent holds."""
        held = (
            history.known_loss_ms(now)
            for bucket, history in enumerate(self._buckets)
            if self._holds(bucket)
        )
        return max(held, default=NEVER_LOST)

    def partial(self, now: float) -> tuple[PartialBucket, ...]:
        """Return the buckets of which this agent misses records, or has lost some."""
        return tuple(
            PartialBucket(
                bucket=bucket,
                sources=() if history.complete else tuple(sorted(history.awaited)),
                lost_ms=history.known_loss_ms(now),
                lost_age_s=max(0.0, now - max(history.lost_at, now - KEY_LIFE_S)),
            )
            for bucket, history in enumerate(self._buckets)
            if history.known_loss_ms(now) != NEVER_LOST
            or (history.awaited and not history.complete)
        )

    def judge(self, bucket: int, key: str, now: float, wall_ms: int) -> KeyVerdict:
        """Return how to handle a key that has no record."""
        if self._view.table.home(bucket) != self._name:
            return KeyVerdict.NOT_HOME
        history = self._buckets[bucket]
        self._settle(bucket, history, now, wall_ms)
        if history.awaited:
            return KeyVerdict.WAIT
        if history.lost_ms == NEVER_LOST or now - history.lost_at > KEY_LIFE_S:
            return KeyVerdict.NEW
        created_ms = key_time_ms(key)
        if created_ms is not None and created_ms > history.lost_ms + CLOCK_MARGIN_MS:
            return KeyVerdict.NEW
        return KeyVerdict.MAYBE_USED

    def may_run(self, run: str, now: float) -> bool:
        """Return whether a run of an agent may still go on, although it may be out of reach."""
        if run == self._run:
            return True
        is_member = self._view.runs.get(agent_of(run)) == run
        lost_since = self._lost_since.get(run)
        return is_member and (lost_since is None or now - lost_since <= HOLDER_GRACE_S)

    def _holds(self, bucket: int) -> bool:
        return self._name in self._view.table.candidates[bucket][:2]

    def _update_lost(self, now: float) -> None:
        lost = {self._view.runs[name] for name in self._view.lost if name in self._view.runs}
        for run in self._lost_since.keys() - lost:
            del self._lost_since[run]
        for run in lost:
            self._lost_since.setdefault(run, now)

    def _former_holders(self, bucket: int, old: ServiceView) -> set[str]:
        """Return the runs of the other targets that have held the keys of a bucket so far.

        Runs that have just ended are among them.
        """
        new = self._view.table.candidates[bucket]
        if self._has_table:
            names = [name for name in old.table.candidates[bucket][:2] if name != self._name]
        else:
            names = [name for name in new if name != self._name][:2]
        runs = {**self._view.runs, **old.runs}
        return {runs.get(name, run_name(name, "")) for name in names}

    def _start_holding(
        self, history: BucketHistory, runs: set[str], held: bool, loss_ms: int, now: float
    ) -> None:
        """Wait for one of the former holders; `held` says that only versions were skipped."""
        history.awaited = set()
        history.settled = set()
        history.version = self._view.version
        history.loss_ms = loss_ms
        history.complete = held and history.complete
        history.expect(runs)
        if not history.awaited:
            history.finish(max(history.lost_ms, loss_ms), now)

    def _settle_all(self, now: float, wall_ms: int) -> None:
        for bucket, history in enumerate(self._buckets):
            if history.awaited and self._holds(bucket):
                self._settle(bucket, history, now, wall_ms)

    def _settle(self, bucket: int, history: BucketHistory, now: float, wall_ms: int) -> None:
        """Evaluate what the awaited runs have confirmed, and which of them have ended."""
        if not history.awaited:
            return
        unseen = set(history.awaited)
        while unseen:
            run = unseen.pop()
            confirmation = self._valid_confirmation(run, history)
            if confirmation is not None:
                further = self._take(bucket, history, run, confirmation, now)
                if further is None:
                    return
                unseen |= further
            elif not self.may_run(run, now):
                history.settle(run, self._ended_ms(run, now, wall_ms))
        if not history.awaited:
            history.finish(max(history.lost_ms, history.loss_ms), now)

    def _valid_confirmation(self, run: str, history: BucketHistory) -> Confirmation | None:
        """Return a run's confirmation if it covers the bucket's move to this agent.

        One of a later version may leave out records that this agent does not hold any more then.
        """
        confirmation = self._confirmed.get(run)
        if confirmation is None:
            return None
        covers = history.version <= confirmation.version <= self._view.version
        return confirmation if covers else None

    def _take(
        self,
        bucket: int,
        history: BucketHistory,
        run: str,
        confirmation: Confirmation,
        now: float,
    ) -> set[str] | None:
        """Evaluate the confirmation of an awaited run.

        Returns further runs to wait for, or None if all records are here.
        """
        told = confirmation.bucket(bucket)
        if not told.sources:
            history.finish(told.lost_ms, now - told.lost_age_s)
            return None
        history.settle(run, told.lost_ms)
        if self._run not in told.sources:
            return history.expect(told.sources)
        if history.own_sources is None:
            history.finish(history.lost_ms, now)
            return None
        others = set(told.sources) - {self._run}
        return history.expect(others | history.own_sources)

    def _ended_ms(self, run: str, now: float, wall_ms: int) -> int:
        """Return the wall-clock time at which the records of an ended run count as lost."""
        since = self._lost_since.get(run)
        overdue_s = 0.0 if since is None else max(0.0, now - since - HOLDER_GRACE_S)
        return wall_ms - int(overdue_s * MS_PER_S)


def run_name(name: str, agent_run: str) -> str:
    """Return the identifier of one run (process lifetime) of an agent."""
    return f"{name}/{agent_run}"


def agent_of(run: str) -> str:
    """Return the name of the agent of a run."""
    return run.partition("/")[0]


def key_time_ms(key: str) -> int | None:
    """Return the timestamp of a UUID version 7 key, or None for any other key."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    return parsed.int >> 80 if parsed.version == 7 else None
