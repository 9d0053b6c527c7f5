"""Counts events of the last second, by entry."""

from __future__ import annotations

from collections import deque
from typing import Final

WINDOW_S: Final = 1.0


class RateWindow:
    """Times of events within the last second, so that a rate is never exceeded in any second."""

    def __init__(self) -> None:
        self._times: dict[int, deque[float]] = {}

    def add(self, entry_id: int, now: float) -> None:
        """Count one event."""
        self._times.setdefault(entry_id, deque()).append(now)

    def count(self, entry_id: int, now: float) -> int:
        """Return the events of the last second."""
        times = self._times.get(entry_id)
        if times is None:
            return 0
        while times and now - times[0] > WINDOW_S:
            times.popleft()
        return len(times)
