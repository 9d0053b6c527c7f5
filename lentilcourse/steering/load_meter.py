"""Measures how busy a target is from the packets that pass its agent."""

from __future__ import annotations

from typing import Final

SAMPLE_S: Final = 0.2
"""Interval over which requests in flight are averaged, in seconds."""
SMOOTHING: Final = 0.35
"""Part of the newest sample in the smoothed load: about half a second of memory."""

NOW_PART: Final = 0.5
"""Part of the requests in flight now that counts at once: one more or less is no queue."""


class LoadMeter:
    """Requests in flight for each slot, smoothed.

    Attributes:
        in_flight: requests that wait for the target's answer now.
    """

    def __init__(self, *, now: float) -> None:
        self.in_flight = 0
        self._area = 0.0
        self._last = now
        self._sampled = now
        self._smoothed = 0.0

    def change(self, difference: int, now: float) -> None:
        """Add requests that began (positive) or ended (negative)."""
        self._advance(now)
        self.in_flight = max(0, self.in_flight + difference)

    def load(self, slots: int, now: float) -> float:
        """Return the smoothed requests in flight for each slot, or part of those now if more.

        The smoothed figure alone is blind to a queue that has just formed.
        """
        self._advance(now)
        return max(self._smoothed, NOW_PART * self.in_flight) / max(1, slots)

    def _advance(self, now: float) -> None:
        self._area += self.in_flight * (now - self._last)
        self._last = now
        span = now - self._sampled
        if span >= SAMPLE_S:
            mean = self._area / span
            part = min(1.0, SMOOTHING * span / SAMPLE_S)
            self._smoothed += part * (mean - self._smoothed)
            self._area = 0.0
            self._sampled = now
