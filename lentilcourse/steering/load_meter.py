"""Measures the load of a target from the packets that pass through its agent."""

from __future__ import annotations

from typing import Final

SAMPLE_S: Final = 0.2
"""Interval over which requests in flight are averaged."""
SAMPLE_WEIGHT: Final = 0.35
"""Weight of the latest sample in the moving average: a time constant of about half a second."""

CURRENT_WEIGHT: Final = 0.5
"""Weight of the current number of requests in flight, which takes effect immediately. It is below 1
because a single additional request does not make a queue."""

SERVICE_WEIGHT: Final = 0.1
"""Weight of the latest request in the average service time."""


class LoadMeter:
    """Smoothed number of requests in flight per slot, and their service time.

    Attributes:
        in_flight: requests that are currently waiting for the target's answer.
        service_s: average time of requests that found a free slot; 1 before the first.
    """

    def __init__(self, *, now: float) -> None:
        self.in_flight = 0
        self.service_s = 1.0
        self._observed = False
        self._in_flight_seconds = 0.0
        self._updated_at = now
        self._sample_started_at = now
        self._average = 0.0

    def change(self, difference: int, now: float) -> None:
        """Adjust the number of requests in flight by `difference`."""
        self._advance(now)
        self.in_flight = max(0, self.in_flight + difference)

    def observe_service(self, seconds: float) -> None:
        """Record the time of a request that found a free slot."""
        weight = SERVICE_WEIGHT if self._observed else 1.0
        self.service_s += weight * (seconds - self.service_s)
        self._observed = True

    def load(self, slots: int, now: float) -> float:
        """Return the load in requests in flight per slot.

        This is the moving average or a weighted part of the current value, whichever is higher:
        the average alone does not show a queue that has just formed.
        """
        self._advance(now)
        return max(self._average, CURRENT_WEIGHT * self.in_flight) / max(1, slots)

    def _advance(self, now: float) -> None:
        self._in_flight_seconds += self.in_flight * (now - self._updated_at)
        self._updated_at = now
        elapsed_s = now - self._sample_started_at
        if elapsed_s >= SAMPLE_S:
            mean = self._in_flight_seconds / elapsed_s
            weight = min(1.0, SAMPLE_WEIGHT * elapsed_s / SAMPLE_S)
            self._average += weight * (mean - self._average)
            self._in_flight_seconds = 0.0
            self._sample_started_at = now
