"""Latency histograms that hot paths fill with an addition and a search.

`metrics` exports them; the buckets are fixed so that histograms of processes add up.
"""

from __future__ import annotations

from bisect import bisect_left
from typing import Final

LATENCY_BOUNDS_S: Final = (
    *(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05),
    *(0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0),
)


class LatencyHistogram:
    """Counts of latencies in seconds by bucket.

    Attributes:
        counts: observations in each bucket; the last one is unbounded.
        total_s: sum of all observations.
    """

    def __init__(self) -> None:
        self.counts = [0] * (len(LATENCY_BOUNDS_S) + 1)
        self.total_s = 0.0

    def observe(self, latency_s: float) -> None:
        """Count one latency."""
        self.counts[bisect_left(LATENCY_BOUNDS_S, latency_s)] += 1
        self.total_s += latency_s

    def cumulative(self) -> list[tuple[str, float]]:
        """Return upper bound (text) and count of all buckets, each with those below it."""
        result: list[tuple[str, float]] = []
        running = 0
        for bound, count in zip((*LATENCY_BOUNDS_S, float("inf")), self.counts, strict=True):
            running += count
            result.append(("+Inf" if bound == float("inf") else str(bound), running))
        return result
