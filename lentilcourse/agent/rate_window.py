"""Sliding-window event counter for rate limits, by entry."""

from __future__ import annotations

from collections import deque
from typing import Final

WINDOW_S: Final = 1.0


class RateWindow:
    """Event times within a sliding window, so that no one-second interval exceeds a rate."""

    def __init__(self) -> None:
        self._times: dict[int, deque[float]] = {}

    def add(self, entry_id: int, now: float) -> None:
        """Record an event of an entry at time `now`."""
        self._times.setdefault(entry_id, deque()).append(now)

    def count(self, entry_id: int, now: float) -> int:
        """Return the number of events of an entry within the last `WINDOW_S`."""
        times = self._times.get(entry_id)
        if times is None:
            return 0
        while times and now - times[0] > WINDOW_S:
            times.popleft()
        return len(times)
