"""How well the target answers, from what the agent itself has measured.

A target may turn cold without warning while its load endpoint says that all is well. A failed
or shed answer, or answers that take several times as long as when the target was warm, count
as cold: admission then starts again from its cold limit. Reports of the target take no part.

The warm answer time is kept over cold starts, so that admission does not grow before the
answers are as fast again. A target that stays slow is taken as warm at its new speed after
`RELEARN_S`.
"""

from __future__ import annotations

import threading
from typing import Final

FAST_SMOOTHING: Final = 0.3
SLOW_SMOOTHING: Final = 0.02
COLD_RATIO: Final = 3.0
STEADY_RATIO: Final = 1.5
MIN_SAMPLES: Final = 20
MIN_RECENT_SAMPLES: Final = 4
RELEARN_S: Final = 60.0
MIN_COLD_S: Final = 0.02


class TargetPulse:
    """Answer times and failures of one target; may be used by any task.

    Attributes:
        cold_since: time at which the target last counted as cold (monotonic seconds).
        fast_s: smoothed time of recent answers in seconds.
        turned_cold: how often the target turned cold without saying so.
    """

    def __init__(self) -> None:
        self.cold_since = float("-inf")
        self.fast_s = 0.0
        self.turned_cold = 0
        self._warm_s = 0.0
        self._warm_samples = 0
        self._recent_samples = 0
        self._slow_since: float | None = None
        self._lock = threading.Lock()

    def start_cold(self, now: float) -> None:
        """Note that the target has started, or that its failure domain came back."""
        with self._lock:
            self.cold_since = now
            self._recent_samples = 0

    def observe_answer(self, seconds: float, now: float) -> None:
        """Note a whole answer."""
        with self._lock:
            if self._recent_samples == 0:
                self.fast_s = seconds
            if self._warm_samples == 0:
                self._warm_s = seconds
            self._recent_samples += 1
            self.fast_s += FAST_SMOOTHING * (seconds - self.fast_s)
            if self._recent_samples < MIN_RECENT_SAMPLES:
                return
            if answers_turned_slow(self.fast_s, self._warm_s, self._warm_samples):
                self._on_slow(now)
            else:
                self._learn(seconds)

    def observe_failure(self, now: float) -> None:
        """Note an answer that failed or was shed."""
        with self._lock:
            self._turn_cold(now)

    def _on_slow(self, now: float) -> None:
        if self._slow_since is None:
            self._slow_since = now
        if now - self._slow_since > RELEARN_S:
            self._warm_samples = 0
            self._slow_since = None
        else:
            self._turn_cold(now)

    def _learn(self, seconds: float) -> None:
        self._slow_since = None
        if self.fast_s <= STEADY_RATIO * self._warm_s or self._warm_samples < MIN_SAMPLES:
            self._warm_samples += 1
            self._warm_s += SLOW_SMOOTHING * (seconds - self._warm_s)

    def _turn_cold(self, now: float) -> None:
        self.cold_since = now
        self.turned_cold += 1
        self._recent_samples = 0


def answers_turned_slow(fast_s: float, warm_s: float, warm_samples: int) -> bool:
    """Return whether recent answers take several times as long as when the target was warm."""
    return warm_samples >= MIN_SAMPLES and fast_s > MIN_COLD_S and fast_s > COLD_RATIO * warm_s
