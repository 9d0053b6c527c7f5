"""Concurrency slots of the target and the priority queue of requests waiting for one.

Each running request holds a slot. If none is free, the request waits for a bounded time in a
bounded queue. Higher traffic classes are served first; if the queue is full, a request of a higher
class displaces the newest waiting request of the lowest class. The slot limit depends on the cold
start of the target and on its measured response times and failures, never on the load that the
target reports.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from typing import Final

import attrs

from lentilcourse.refusals import Cause

QUEUE_PER_SLOT: Final = 4
QUEUE_WAIT_S: Final = 2.0
WAIT_POLL_S: Final = 0.1


@attrs.define(kw_only=True, eq=False)
class Waiter:
    """One request that waits for a slot.

    Attributes:
        rank: rank of its traffic class; 0 is served first.
        sequence: order of arrival.
        granted: whether it has been given a slot.
        displaced: whether a request of a higher class has displaced it from the queue.
    """

    rank: int
    sequence: int
    granted: bool = False
    displaced: bool = False


class SlotQueue:
    """Grants slots by traffic class, then by order of arrival.

    Attributes:
        limit: number of slots that may be in use now.
        in_use: number of slots in use.
    """

    def __init__(self, *, limit: int) -> None:
        self.limit = limit
        self.in_use = 0
        self._condition = threading.Condition()
        self._waiters: list[Waiter] = []
        self._sequence = 0

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return len(self._waiters)

    def set_limit(self, limit: int) -> None:
        """Set the number of slots that may be in use."""
        with self._condition:
            if limit != self.limit:
                self.limit = limit
                self._grant_free_slots()

    def acquire(self, rank: int, deadline: float, cancelled: Callable[[], bool]) -> Cause | None:
        """Wait for a slot; returns None once it is acquired, otherwise the cause of the refusal."""
        with self._condition:
            waiter = Waiter(rank=rank, sequence=self._sequence)
            self._sequence += 1
            if not self._enqueue(waiter):
                return Cause.TARGET_FULL
            self._grant_free_slots()
            wait_until = min(deadline, time.monotonic() + QUEUE_WAIT_S)
            while not waiter.granted:
                cause = _wait_failure(waiter, deadline, wait_until, cancelled, time.monotonic())
                if cause is not None:
                    self._remove(waiter)
                    return cause
                left = wait_until - time.monotonic()
                self._condition.wait(timeout=max(0.0, min(WAIT_POLL_S, left)))
            return None

    def release(self) -> None:
        """Release a slot."""
        with self._condition:
            self.in_use -= 1
            self._grant_free_slots()

    def _enqueue(self, waiter: Waiter) -> bool:
        max_waiters = max(1, self.limit) * QUEUE_PER_SLOT
        if len(self._waiters) >= max_waiters and self.in_use >= self.limit:
            lowest = max(self._waiters, key=lambda each: (each.rank, each.sequence))
            if lowest.rank <= waiter.rank:
                return False
            lowest.displaced = True
            self._waiters.remove(lowest)
            self._condition.notify_all()
        self._waiters.append(waiter)
        return True

    def _grant_free_slots(self) -> None:
        granted = False
        while self._waiters and self.in_use < self.limit:
            first = min(self._waiters, key=lambda each: (each.rank, each.sequence))
            self._waiters.remove(first)
            first.granted = True
            self.in_use += 1
            granted = True
        if granted:
            self._condition.notify_all()

    def _remove(self, waiter: Waiter) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)


def _wait_failure(
    waiter: Waiter,
    deadline: float,
    wait_until: float,
    cancelled: Callable[[], bool],
    now: float,
) -> Cause | None:
    if waiter.displaced:
        return Cause.DISPLACED
    if cancelled():
        return Cause.CANCELLED
    if now >= deadline:
        return Cause.DEADLINE
    if now >= wait_until:
        return Cause.QUEUE_TIME
    return None
