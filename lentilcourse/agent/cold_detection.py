"""Detects that a target has become cold, from response times and failures measured by the agent.

A target may become cold without notice while its load endpoint still reports it as healthy. A
failed or shed request, or response times several times the baseline of the warm target, mark it
as cold, and admission restarts from the cold-start limit. Load reports of the target are not used.

The baseline is kept across cold starts, so that the admission limit does not grow until responses
are as fast as before. If a target stays slow for `RELEARN_S`, the baseline is learned anew.
"""

from __future__ import annotations

import threading
from typing import Final

RECENT_SMOOTHING: Final = 0.3
BASELINE_SMOOTHING: Final = 0.02
COLD_RATIO: Final = 3.0
STEADY_RATIO: Final = 1.5
MIN_SAMPLES: Final = 20
MIN_RECENT_SAMPLES: Final = 4
RELEARN_S: Final = 60.0
MIN_COLD_S: Final = 0.02


class ColdDetector:
    """Response times and failures of one target; thread-safe.

    Attributes:
        cold_since: when the target was last found cold (monotonic seconds).
        fast_s: moving average of recent response times in seconds.
        turned_cold: how often the target was found cold without having announced a restart.
    """

    def __init__(self) -> None:
        self.cold_since = float("-inf")
        self.fast_s = 0.0
        self.turned_cold = 0
        self._baseline_s = 0.0
        self._baseline_samples = 0
        self._recent_samples = 0
        self._slow_since: float | None = None
        self._lock = threading.Lock()

    def start_cold(self, now: float) -> None:
        """Mark the target as cold after it starts or its failure domain recovers."""
        with self._lock:
            self.cold_since = now
            self._recent_samples = 0

    def observe_answer(self, seconds: float, now: float) -> None:
        """Record the response time of a request."""
        with self._lock:
            if self._recent_samples == 0:
                self.fast_s = seconds
            if self._baseline_samples == 0:
                self._baseline_s = seconds
            self._recent_samples += 1
            self.fast_s += RECENT_SMOOTHING * (seconds - self.fast_s)
            if self._recent_samples < MIN_RECENT_SAMPLES:
                return
            if responses_turned_slow(self.fast_s, self._baseline_s, self._baseline_samples):
                self._handle_slow_responses(now)
            else:
                self._update_baseline(seconds)

    def observe_failure(self, now: float) -> None:
        """Record a failed or shed request."""
        with self._lock:
            self._mark_cold(now)

    def _handle_slow_responses(self, now: float) -> None:
        if self._slow_since is None:
            self._slow_since = now
        if now - self._slow_since > RELEARN_S:
            self._baseline_samples = 0
            self._slow_since = None
        else:
            self._mark_cold(now)

    def _update_baseline(self, seconds: float) -> None:
        self._slow_since = None
        if self.fast_s <= STEADY_RATIO * self._baseline_s or self._baseline_samples < MIN_SAMPLES:
            self._baseline_samples += 1
            self._baseline_s += BASELINE_SMOOTHING * (seconds - self._baseline_s)

    def _mark_cold(self, now: float) -> None:
        self.cold_since = now
        self.turned_cold += 1
        self._recent_samples = 0


def responses_turned_slow(fast_s: float, warm_s: float, warm_samples: int) -> bool:
    """Return whether recent response times are several times the baseline of the warm target."""
    return warm_samples >= MIN_SAMPLES and fast_s > MIN_COLD_S and fast_s > COLD_RATIO * warm_s
