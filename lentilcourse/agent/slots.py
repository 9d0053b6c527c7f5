"""Slots of the target and the queue before them.

A request runs in a slot. Where none is free it waits, for a bounded time, in a bounded queue:
a higher class goes first, and a higher class displaces the newest waiter of the lowest class
from a full queue. The limit follows the cold start of the target and the health of its
answers, never the load that the target reports.
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
    """One request in the queue.

    Attributes:
        rank: rank of its class; 0 goes first.
        sequence: order of arrival.
        granted: whether it holds a slot.
        displaced: whether a higher class took its place in the queue.
    """

    rank: int
    sequence: int
    granted: bool = False
    displaced: bool = False


class SlotQueue:
    """Grants slots in order of class and arrival.

    Attributes:
        limit: slots that may be used now.
        in_use: slots that are used.
    """

    def __init__(self, *, limit: int) -> None:
        self.limit = limit
        self.in_use = 0
        self._changed = threading.Condition()
        self._waiters: list[Waiter] = []
        self._sequence = 0

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return len(self._waiters)

    def set_limit(self, limit: int) -> None:
        """Change how many slots may be used."""
        with self._changed:
            if limit != self.limit:
                self.limit = limit
                self._grant()

    def acquire(self, rank: int, deadline: float, cancelled: Callable[[], bool]) -> Cause | None:
        """Wait for a slot; returns None with a slot held, or why there is none."""
        with self._changed:
            waiter = Waiter(rank=rank, sequence=self._sequence)
            self._sequence += 1
            if not self._enqueue(waiter):
                return Cause.TARGET_FULL
            self._grant()
            wait_until = min(deadline, time.monotonic() + QUEUE_WAIT_S)
            while not waiter.granted:
                cause = _end_of_wait(waiter, deadline, wait_until, cancelled, time.monotonic())
                if cause is not None:
                    self._leave(waiter)
                    return cause
                left = wait_until - time.monotonic()
                self._changed.wait(timeout=max(0.0, min(WAIT_POLL_S, left)))
            return None

    def release(self) -> None:
        """Give a slot back."""
        with self._changed:
            self.in_use -= 1
            self._grant()

    def _enqueue(self, waiter: Waiter) -> bool:
        room = max(1, self.limit) * QUEUE_PER_SLOT
        if len(self._waiters) >= room and self.in_use >= self.limit:
            lowest = max(self._waiters, key=lambda each: (each.rank, each.sequence))
            if lowest.rank <= waiter.rank:
                return False
            lowest.displaced = True
            self._waiters.remove(lowest)
            self._changed.notify_all()
        self._waiters.append(waiter)
        return True

    def _grant(self) -> None:
        granted = False
        while self._waiters and self.in_use < self.limit:
            first = min(self._waiters, key=lambda each: (each.rank, each.sequence))
            self._waiters.remove(first)
            first.granted = True
            self.in_use += 1
            granted = True
        if granted:
            self._changed.notify_all()

    def _leave(self, waiter: Waiter) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)


def _end_of_wait(
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
