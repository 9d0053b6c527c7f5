"""Tasks on `concurrent.futures`.

A process runs one task for each connection and each peer. A `TaskPool` bounds the tasks of
one kind: a full pool refuses with `PoolFullError` instead of queueing work silently.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor

from lentilcourse import error_texts
from lentilcourse.errors import LentilcourseError, PoolFullError
from lentilcourse.logs import get_logger

_log = get_logger(__name__)


class TaskPool:
    """A bounded pool of tasks of one kind.

    Attributes:
        name: kind of the tasks, used in thread names, logs and refusals.
        limit: the most tasks that may run at once.
        running: tasks that run now.
    """

    def __init__(self, *, name: str, limit: int) -> None:
        self.name = name
        self.limit = limit
        self.running = 0
        self._lock = threading.Lock()
        self._executor = ThreadPoolExecutor(max_workers=limit, thread_name_prefix=name)

    def submit(self, fn: Callable[[], None]) -> Future[None]:
        """Run `fn` in a thread of the pool; raises `PoolFullError` at the limit."""
        with self._lock:
            if self.running >= self.limit:
                text = error_texts.POOL_FULL.format(name=self.name, limit=self.limit)
                raise PoolFullError(text)
            self.running += 1
        try:
            return self._executor.submit(self._run, fn)
        except RuntimeError as exc:
            self._finished()
            raise PoolFullError(error_texts.POOL_CLOSED.format(name=self.name)) from exc

    def close(self) -> None:
        """Accept no more tasks; running tasks end by their own stop signal."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _run(self, fn: Callable[[], None]) -> None:
        try:
            fn()
        except LentilcourseError as exc:
            _log.warning("task_failed", task=self.name, error=str(exc))
        except Exception:
            _log.exception("task_crashed", task=self.name)
            raise
        finally:
            self._finished()

    def _finished(self) -> None:
        with self._lock:
            self.running -= 1
