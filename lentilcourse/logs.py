"""Structured logging.

Counters carry what happens often (`metrics`); a log line is written only when a state
changes. Lines are JSON objects on standard error, one an event.
"""

from __future__ import annotations

import logging
import sys
from typing import cast

import structlog
from structlog.typing import FilteringBoundLogger


def configure_logging(*, process: str, role: str, level: str) -> None:
    """Set the format and the fields that every line of this process carries."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.EventRenamer("event"),
            _process_fields(process, role),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level)),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )


def get_logger(module: str) -> FilteringBoundLogger:
    """Return the logger of one module."""
    return cast(FilteringBoundLogger, structlog.get_logger(module=module))


def _process_fields(process: str, role: str) -> structlog.typing.Processor:
    def add_fields(
        logger: object, method: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        event["process"] = process
        event["role"] = role
        return event

    return add_fields
