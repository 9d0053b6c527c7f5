"""Units of time, and the clocks that are not `time.monotonic`.

Wall-clock time is for records that people read and keys that carry a time. Boot time is for what
must not outlive a caller or a term: unlike monotonic time it goes on while the VM is suspended.
"""

from __future__ import annotations

import time
from typing import Final

NS_PER_MS: Final = 1_000_000
MS_PER_S: Final = 1000.0


def boot_time_s() -> float:
    """Return the seconds since the VM was started, suspension included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_clock_ms() -> int:
    """Return the wall-clock time in ms since 1970."""
    return time.time_ns() // NS_PER_MS
