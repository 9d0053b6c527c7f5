"""Start and graceful stop of one process.

A role adds what must be closed, in the order in which it was opened. On SIGTERM or SIGINT
the process first runs the drain steps (finish or hand over work), then closes the rest in
reverse order.
"""

from __future__ import annotations

import signal
import threading
from collections.abc import Callable
from types import FrameType

from lentilcourse.kernel.tasks import TaskPool
from lentilcourse.logs import get_logger

_log = get_logger(__name__)


class Lifecycle:
    """Stop signal, drain steps and closers of one process.

    Attributes:
        stopping: set once the process was asked to stop; no new work is taken then.
        stopped: set once the drain steps are done; tasks leave their loops then.
    """

    def __init__(self) -> None:
        self.stopping = threading.Event()
        self.stopped = threading.Event()
        self._drain_steps: list[Callable[[], None]] = []
        self._closers: list[Callable[[], None]] = []

    def pool(self, *, name: str, limit: int) -> TaskPool:
        """Create a task pool that closes with the process."""
        pool = TaskPool(name=name, limit=limit)
        self.on_close(pool.close)
        return pool

    def on_drain(self, step: Callable[[], None]) -> None:
        """Add a step that finishes or hands over work before the process closes."""
        self._drain_steps.append(step)

    def on_close(self, closer: Callable[[], None]) -> None:
        """Add a closer; closers run in reverse order of addition."""
        self._closers.append(closer)

    def install_signal_handlers(self) -> None:
        """Stop gracefully on SIGTERM and SIGINT."""
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_signal)

    def run_until_stopped(self) -> None:
        """Block until a stop is asked for, then drain and close."""
        while not self.stopping.wait(timeout=0.5):
            pass
        _log.info("process_stopping")
        for step in self._drain_steps:
            _run_step(step)
        self.stopped.set()
        for closer in reversed(self._closers):
            _run_step(closer)
        _log.info("process_stopped")

    def _on_signal(self, signum: int, frame: FrameType | None) -> None:
        self.stopping.set()


def _run_step(step: Callable[[], None]) -> None:
    try:
        step()
    except Exception:
        _log.exception("stop_step_failed", step=getattr(step, "__qualname__", str(step)))
