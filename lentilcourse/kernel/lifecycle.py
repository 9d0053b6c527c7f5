"""Start and graceful stop of one process.

A role adds what must be closed, in the order in which it was opened. On SIGTERM or SIGINT
the process first runs the drain steps (finish or hand over work), then closes the rest in
reverse order.

`keep_running` guards the loops that a role cannot do without. A process in which one of them has
ended looks alive to its peers and does nothing, so such a loop is started again, and if that does
not help the process ends, for its supervisor to start it afresh.
"""

from __future__ import annotations

import os
import signal
import threading
import time
from collections import deque
from collections.abc import Callable
from types import FrameType
from typing import Final

from lentilcourse.kernel.tasks import TaskPool
from lentilcourse.logs import get_logger

STOP: Final = b"s"
RELOAD: Final = b"r"
RESTART_DELAY_S: Final = 0.1
"""Time between the end of a guarded loop and its next start."""
MAX_RESTARTS: Final = 5
RESTART_WINDOW_S: Final = 10.0
"""A guarded loop that ends more than `MAX_RESTARTS` times within this time ends the process."""

_log = get_logger(__name__)


class Lifecycle:
    """Stop signal, drain steps and closers of one process.

    Attributes:
        stopping: set once the process was asked to stop; no new work is taken then.
        stopped: set once the drain steps are done; tasks leave their loops then.
        failed: whether the process stops because a guarded loop kept failing.
    """

    def __init__(self) -> None:
        self.stopping = threading.Event()
        self.stopped = threading.Event()
        self.failed = False
        self._drain_steps: list[Callable[[], None]] = []
        self._closers: list[Callable[[], None]] = []
        self._reload_steps: list[Callable[[], None]] = []
        self._signals: tuple[int, int] = (-1, -1)

    def pool(self, *, name: str, limit: int) -> TaskPool:
        """Create a task pool that closes with the process."""
        pool = TaskPool(name=name, limit=limit)
        self.on_close(pool.close)
        return pool

    def keep_running(
        self, pool: TaskPool, loop: Callable[[], None], on_failure: Callable[[], None] | None = None
    ) -> None:
        """Run a loop in `pool` until the process has stopped, and again if it ends earlier.

        `on_failure` is called each time, before the loop is started again.
        """
        pool.submit(lambda: self._keep_running(pool.name, loop, on_failure))

    def _keep_running(
        self, name: str, loop: Callable[[], None], on_failure: Callable[[], None] | None
    ) -> None:
        ended_at: deque[float] = deque(maxlen=MAX_RESTARTS)
        while not self.stopped.is_set():
            try:
                loop()
            except Exception:
                _log.exception("task_crashed", task=name)
            else:
                if self.stopping.is_set():
                    return
            if self.stopped.is_set():
                return
            if on_failure is not None:
                _run_step(on_failure)
            now = time.monotonic()
            if len(ended_at) == MAX_RESTARTS and now - ended_at[0] < RESTART_WINDOW_S:
                self._fail(name)
                return
            ended_at.append(now)
            _log.warning("task_restarted", task=name)
            self.stopped.wait(timeout=RESTART_DELAY_S)

    def _fail(self, task: str) -> None:
        """Stop the process, since a task that it needs does not stay alive."""
        _log.error("task_given_up", task=task)
        self.failed = True
        if self._signals[1] < 0:
            self.stopping.set()
            self.stopped.set()
            return
        os.write(self._signals[1], STOP)

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
