"""Serves subscribers: every version in order, and how fresh the source is.

A subscriber's stream has a task that reads its reports and one that writes deltas. A
subscriber too far behind for deltas gets the whole state.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from typing import Final

import attrs

from lentilcourse.controller.replica import Replica
from lentilcourse.errors import StreamError
from lentilcourse.kernel.lifecycle import Lifecycle
from lentilcourse.messages import (
    Announcement,
    Delta,
    Freshness,
    FullState,
    Report,
    ReportMessage,
    Subscribe,
)
from lentilcourse.streams import Stream

FRESHNESS_INTERVAL_S: Final = 0.5
MAX_SUBSCRIBERS: Final = 1024
REPORT_LIFE_S: Final = 10.0
MAX_FRESHNESS_MS: Final = 1_000_000_000


@attrs.frozen(kw_only=True)
class HeldReport:
    """A report and when it came (monotonic seconds)."""

    report: Report
    received: float


class Subscriptions:
    """All subscribers of one controller."""

    def __init__(
        self,
        *,
        replica: Replica,
        lifecycle: Lifecycle,
        on_announcement: Callable[[str, Announcement], None],
    ) -> None:
        self._replica = replica
        self._lifecycle = lifecycle
        self._on_announcement = on_announcement
        self._pool = lifecycle.pool(name="subscriber-writer", limit=MAX_SUBSCRIBERS)
        self._reports: dict[str, HeldReport] = {}
        self._lock = threading.Lock()

    def serve(self, stream: Stream, req: Subscribe) -> None:
        """Serve one subscriber until its stream ends."""
        self._pool.submit(lambda: self._write(stream, req.version))
        while not self._lifecycle.stopped.is_set():
            msg = stream.receive()
            if isinstance(msg, ReportMessage):
                self._take_report(stream.peer, msg, time.monotonic())

    def reports(self, now: float) -> tuple[Report, ...]:
        """Return the reports that are not outdated, ordered by process."""
        with self._lock:
            held = [each for each in self._reports.values() if now - each.received < REPORT_LIFE_S]
        aged = [
            attrs.evolve(each.report, age_ms=int((now - each.received) * 1000)) for each in held
        ]
        return tuple(sorted(aged, key=lambda report: report.name))

    def _take_report(self, name: str, msg: ReportMessage, now: float) -> None:
        with self._lock:
            self._reports[name] = HeldReport(report=msg.report, received=now)
        if msg.announcement is not None:
            self._on_announcement(name, msg.announcement)

    def _write(self, stream: Stream, version: int) -> None:
        sent_version = version
        freshness_due = 0.0
        try:
            while not stream.closed and not self._lifecycle.stopped.is_set():
                sent_version = self._send_versions(stream, sent_version)
                now = time.monotonic()
                if now >= freshness_due:
                    age_ms = min(self._replica.freshness_s(now) * 1000, MAX_FRESHNESS_MS)
                    stream.send(Freshness(age_ms=int(age_ms)))
                    freshness_due = now + FRESHNESS_INTERVAL_S
                self._wait_for_version(sent_version)
        except StreamError:
            return
        finally:
            stream.close()

    def _send_versions(self, stream: Stream, sent_version: int) -> int:
        with self._replica.changed:
            state = self._replica.machine.state
            deltas = self._replica.machine.deltas_after(sent_version)
        if state.version <= sent_version:
            return sent_version
        if deltas is None:
            stream.send(FullState(state=state))
            return state.version
        for delta in deltas:
            stream.send(Delta(delta=delta))
        return deltas[-1].version

    def _wait_for_version(self, sent_version: int) -> None:
        deadline = time.monotonic() + FRESHNESS_INTERVAL_S
        with self._replica.changed:
            while self._replica.machine.state.version <= sent_version:
                left = deadline - time.monotonic()
                if left <= 0:
                    return
                self._replica.changed.wait(timeout=left)
