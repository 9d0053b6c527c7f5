"""Units of time, and wall-clock time for records that people read and keys that carry a time."""

from __future__ import annotations

import time
from typing import Final

NS_PER_MS: Final = 1_000_000
MS_PER_S: Final = 1000.0


def wall_clock_ms() -> int:
    """Return the wall-clock time in ms since 1970."""
    return time.time_ns() // NS_PER_MS
