"""Start and graceful stop of one process.

A role adds what must be closed, in the order in which it was opened. On SIGTERM or SIGINT
the process first runs the drain steps (finish or hand over work), then closes the rest in
reverse order.
"""

from __future__ import annotations

import os
import signal
import threading
from collections.abc import Callable
from types import FrameType
from typing import Final

from lentilcourse.kernel.tasks import TaskPool
from lentilcourse.logs import get_logger

STOP: Final = b"s"
RELOAD: Final = b"r"

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
        self._reload_steps: list[Callable[[], None]] = []
        self._signals: tuple[int, int] = (-1, -1)

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
        """Stop gracefully on SIGTERM and SIGINT, reload on SIGHUP."""
        self._signals = os.pipe()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, self._on_signal)

    def on_reload(self, step: Callable[[], None]) -> None:
        """Add a step that takes changed settings in force."""
        self._reload_steps.append(step)

    def run_until_stopped(self) -> None:
        """Block until a stop is asked for, then drain and close."""
        _log.info("process_started")
        while os.read(self._signals[0], 1) == RELOAD:
            self._reload()
        self.stopping.set()
        _log.info("process_stopping")
        for step in self._drain_steps:
            _run_step(step)
        self.stopped.set()
        for closer in reversed(self._closers):
            _run_step(closer)
        _log.info("process_stopped")

    def _reload(self) -> None:
        _log.info("process_reloading")
        for step in self._reload_steps:
            _run_step(step)

    def _on_signal(self, signum: int, frame: FrameType | None) -> None:
        """Pass a signal on to the main task; a handler may not take locks."""
        os.write(self._signals[1], RELOAD if signum == signal.SIGHUP else STOP)


def _run_step(step: Callable[[], None]) -> None:
    try:
        step()
    except Exception:
        _log.exception("stop_step_failed", step=getattr(step, "__qualname__", str(step)))
