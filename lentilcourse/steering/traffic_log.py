"""Logs how many packets a process handled in the last interval.

Counters on the metrics address are read every few seconds; these lines show within which second
lookups, or another kind of datagram, filled a link.
"""

from __future__ import annotations

import attrs
from attrs import AttrsInstance

from lentilcourse.logs import get_logger

_log = get_logger(__name__)


class TrafficLog:
    """Writes the increase of counters since the previous line, one line a call.

    `sources` are counters by the prefix that their fields get in the line; fields that did not
    change are left out, and so is a line without any.
    """

    def __init__(self, *, sources: dict[str, AttrsInstance]) -> None:
        self._sources = sources
        self._logged = self._read()

    def write(self) -> None:
        """Log what has changed since the previous call."""
        current = self._read()
        changed = {
            name: value - self._logged[name]
            for name, value in current.items()
            if value != self._logged[name]
        }
        self._logged = current
        if changed:
            _log.info("packet_totals", **changed)

    def _read(self) -> dict[str, int]:
        return {
            f"{prefix}{field.name}": int(getattr(counts, field.name))
            for prefix, counts in self._sources.items()
            for field in attrs.fields(type(counts))
        }
