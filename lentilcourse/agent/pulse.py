"""How well the target answers, from what the agent itself has measured.

A target may turn cold without warning while its load endpoint says that all is well. A failed
or shed answer, or answers that suddenly take several times as long as before, count as cold:
admission then starts again from its cold limit. Reports of the target take no part.
"""

from __future__ import annotations

import threading
from typing import Final

FAST_SMOOTHING: Final = 0.3
SLOW_SMOOTHING: Final = 0.02
COLD_RATIO: Final = 3.0
MIN_SAMPLES: Final = 20
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
        self._slow_s = 0.0
        self._samples = 0
        self._lock = threading.Lock()

    def start_cold(self, now: float) -> None:
        """Note that the target has started, or that its failure domain came back."""
        with self._lock:
            self.cold_since = now
            self._samples = 0

    def observe_answer(self, seconds: float, now: float) -> None:
        """Note a whole answer."""
        with self._lock:
            if self._samples == 0:
                self.fast_s = self._slow_s = seconds
            self._samples += 1
            self.fast_s += FAST_SMOOTHING * (seconds - self.fast_s)
            if answers_turned_slow(self.fast_s, self._slow_s, self._samples):
                self._turn_cold(now)
            else:
                self._slow_s += SLOW_SMOOTHING * (seconds - self._slow_s)

    def observe_failure(self, now: float) -> None:
        """Note an answer that failed or was shed."""
        with self._lock:
            self._turn_cold(now)

    def _turn_cold(self, now: float) -> None:
        self.cold_since = now
        self.turned_cold += 1
        self._samples = 0


def answers_turned_slow(fast_s: float, slow_s: float, samples: int) -> bool:
    """Return whether recent answers take several times as long as those before."""
    return samples >= MIN_SAMPLES and fast_s > MIN_COLD_S and fast_s > COLD_RATIO * slow_s
