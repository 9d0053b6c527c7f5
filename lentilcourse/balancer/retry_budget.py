"""Bounds the extra load that retries may add."""

from __future__ import annotations

import threading
from typing import Final

RETRY_SHARE: Final = 0.1
MAX_SAVED_RETRIES: Final = 20.0


class RetryBudget:
    """Each request earns a tenth of a retry; a retry costs one.

    Saved retries are bounded, so that a quiet time does not pay for a storm of retries.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._saved = MAX_SAVED_RETRIES

    def add_request(self) -> None:
        """Earn the share of one request."""
        with self._lock:
            self._saved = min(MAX_SAVED_RETRIES, self._saved + RETRY_SHARE)

    def take(self) -> bool:
        """Spend one retry; returns False if none is left."""
        with self._lock:
            if self._saved < 1.0:
                return False
            self._saved -= 1.0
            return True
