"""Structured logging.

Counters carry what happens often (`metrics`); a line is written for each decision that changes
what the process believes, and for refused work. Lines are JSON objects on standard output, one
an event. Each kind of event has a bounded rate; a line says how many of its kind were left out
before it. Events are handed to a task that renders and writes them, so that a reader that does not
read never holds up work.

A process may put rendering off until it has started: small VMs pay for the import of the log
library, and for each line, with time in which callers wait. The time of an event is that of its
occurrence.
"""

from __future__ import annotations

import logging
import sys
import threading
import time
from collections import deque
from datetime import UTC, datetime
from typing import Any, Final, TextIO

import attrs

LINES_PER_S: Final = 20.0
"""Steady rate of lines of one kind of event."""
LINES_BURST: Final = 100.0
"""Lines of one kind that may be written at once."""
MAX_WAITING_LINES: Final = 2000
"""Lines that wait for a reader; later ones are dropped and counted."""
FLUSH_S: Final = 0.5
"""Time for which the end of the process waits for the last lines."""


@attrs.define(kw_only=True)
class _Output:
    """Where lines go, and what every line of this process carries."""

    process: str = ""
    role: str = ""
    level: int = logging.INFO
    stream: TextIO = attrs.field(factory=lambda: sys.stdout)
    configured: bool = False
    delay_s: float = 0.0


_output = _Output()


@attrs.define(kw_only=True)
class EventRate:
    """Token bucket of one kind of event.

    Attributes:
        tokens: lines that may be written now.
        filled: when the tokens were last filled (monotonic seconds).
        left_out: lines left out since the last one written.
    """

    tokens: float = LINES_BURST
    filled: float = 0.0
    left_out: int = 0

    def admit(self, now: float) -> int | None:
        """Return how many lines were left out before this one, None to leave it out too."""
        grown = self.tokens + (now - self.filled) * LINES_PER_S
        self.tokens = min(LINES_BURST, grown)
        self.filled = now
        if self.tokens < 1.0:
            self.left_out += 1
            return None
        self.tokens -= 1.0
        left_out, self.left_out = self.left_out, 0
        return left_out


@attrs.frozen(kw_only=True)
class LogEvent:
    """An event that waits to be rendered.

    Attributes:
        module: module that logged it.
        method: method of the structured logger, such as "info".
        event: name of the event.
        at_s: time of its occurrence, in seconds since 1970.
        fields: what the line tells.
    """

    module: str
    method: str
    event: str
    at_s: float
    fields: dict[str, Any]


class LineWriter:
    """Renders and writes events in a task of its own; a full queue drops events and counts them.

    Attributes:
        dropped: events dropped because nobody read.
    """

    def __init__(self, *, stream: TextIO, delay_s: float = 0.0) -> None:
        self.dropped = 0
        self._stream = stream
        self._delay_s = delay_s
        self._events: deque[LogEvent] = deque()
        self._waiting = threading.Event()
        self._flushing = threading.Event()
        self._idle = threading.Event()
        self._idle.set()
        self._thread = threading.Thread(target=self._run, name="log-writer", daemon=True)
        self._thread.start()

    def add(self, event: LogEvent) -> None:
        """Queue one event; never blocks."""
        if len(self._events) >= MAX_WAITING_LINES:
            self.dropped += 1
            return
        self._events.append(event)
        self._idle.clear()
        self._waiting.set()

    def flush(self, timeout_s: float) -> None:
        """Wait until all lines are written, at most `timeout_s`."""
        self._flushing.set()
        self._idle.wait(timeout=timeout_s)

    def _run(self) -> None:
        self._flushing.wait(timeout=self._delay_s)
        while True:
            self._waiting.wait()
            self._waiting.clear()
            while self._events:
                self._write(self._events.popleft())
            self._idle.set()

    def _write(self, event: LogEvent) -> None:
        try:
            print(render(event), file=self._stream, flush=True)
        except Exception:  # the writer must outlive any event, and has no place to report to
            self.dropped += 1


_rates: dict[str, EventRate] = {}
_writers: list[LineWriter] = []
_loggers: dict[str, Any] = {}


class Logger:
    """The logger of one module."""

    def __init__(self, *, module: str) -> None:
        self._module = module

    def debug(self, event: str, **fields: Any) -> None:
        """Write a line of level DEBUG."""
        self._write(logging.DEBUG, "debug", event, fields)

    def info(self, event: str, **fields: Any) -> None:
        """Write a line of level INFO."""
        self._write(logging.INFO, "info", event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Write a line of level WARNING."""
        self._write(logging.WARNING, "warning", event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """Write a line of level ERROR."""
        self._write(logging.ERROR, "error", event, fields)

    def exception(self, event: str, **fields: Any) -> None:
        """Write a line of level ERROR with the exception that is being handled."""
        self._write(logging.ERROR, "error", event, {**fields, "exc_info": sys.exc_info()})

    def _write(self, level: int, method: str, event: str, fields: dict[str, Any]) -> None:
        if level < _output.level:
            return
        left_out = _rates.setdefault(event, EventRate()).admit(time.monotonic())
        if left_out is None:
            return
        if left_out:
            fields = {**fields, "left_out": left_out}
        log_event = LogEvent(
            module=self._module, method=method, event=event, at_s=time.time(), fields=fields
        )
        _writer().add(log_event)


def configure_logging(*, process: str, role: str, level: str, delay_s: float = 0.0) -> None:
    """Set the fields that every line of this process carries, and the lowest level.

    Lines are rendered `delay_s` after the first event at the earliest, or at `flush_logs`.
    """
    _output.process = process
    _output.role = role
    set_log_level(level)
    _output.delay_s = delay_s
    _output.configured = False
    _loggers.clear()


def set_log_level(level: str) -> None:
    """Set the lowest level that is logged."""
    _output.level = getattr(logging, level)


def flush_logs() -> None:
    """Wait a little for the last lines, at the end of the process."""
    for writer in _writers:
        writer.flush(FLUSH_S)


def lines_dropped() -> int:
    """Return the lines that were dropped because nobody read."""
    return sum(writer.dropped for writer in _writers)


def get_logger(module: str) -> Logger:
    """Return the logger of one module."""
    return Logger(module=module)


def render(event: LogEvent) -> str:
    """Return the line of an event."""
    bound = _loggers.get(event.module)
    if bound is None:
        bound = _loggers[event.module] = _bind(event.module)
    at = datetime.fromtimestamp(event.at_s, UTC)
    fields = {**event.fields, "timestamp": at.isoformat().replace("+00:00", "Z")}
    line: str = getattr(bound, event.method)(event.event, **fields)
    return line


def _bind(module: str) -> Any:
    import structlog  # noqa: PLC0415 - see the module's docstring

    if not _output.configured:
        structlog.configure(
            processors=[
                structlog.processors.add_log_level,
                structlog.processors.format_exc_info,
                structlog.processors.EventRenamer("event"),
                _add_process_fields,
                structlog.processors.JSONRenderer(),
            ],
            wrapper_class=structlog.make_filtering_bound_logger(logging.NOTSET),
            logger_factory=structlog.ReturnLoggerFactory(),
        )
        _output.configured = True
    return structlog.get_logger(module=module)


def _writer() -> LineWriter:
    """Return the one writer of this process."""
    if not _writers:
        _writers.append(LineWriter(stream=_output.stream, delay_s=_output.delay_s))
    return _writers[0]


def _add_process_fields(logger: object, method: str, event: Any) -> Any:
    event["process"] = _output.process
    event["role"] = _output.role
    return event
