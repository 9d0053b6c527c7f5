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
from lentilcourse.directory import AgentNotice, Directory
from lentilcourse.errors import StreamError
from lentilcourse.feed import feed_subscriber
from lentilcourse.kernel.lifecycle import Lifecycle
from lentilcourse.messages.state import (
    Announcement,
    ControllerList,
    Report,
    ReportMessage,
    Subscribe,
)
from lentilcourse.model import State, StateDelta
from lentilcourse.streams import Stream

MAX_SUBSCRIBERS: Final = 1024
REPORT_LIFE_S: Final = 10.0


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
        on_notice: Callable[[AgentNotice, float], None],
        directory: Directory,
        announce_members: bool,
    ) -> None:
        self._on_notice = on_notice
        self._source = ReplicaSource(
            replica=replica, directory=directory, announce_members=announce_members
        )
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
            elif isinstance(msg, AgentNotice):
                self._on_notice(msg, time.monotonic())

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
        try:
            feed_subscriber(stream, self._source, version, self._lifecycle.stopped)
        except StreamError:
            return
        finally:
            stream.close()


@attrs.frozen(kw_only=True)
class ReplicaSource:
    """Versions as a replica has applied them."""

    replica: Replica
    directory: Directory
    announce_members: bool

    def read_after(self, version: int) -> tuple[State, list[StateDelta] | None]:
        """Return the applied state, and the deltas after `version` if they are held."""
        with self.replica.changed:
            machine = self.replica.machine
            return machine.state, machine.deltas_after(version)

    def freshness_s(self, now: float) -> float:
        """Return how long ago a quorum last confirmed the state."""
        return self.replica.freshness_s(now)

    def agents(self) -> Directory | None:
        """Return the directory of this controller."""
        return self.directory

    def controllers(self) -> ControllerList | None:
        """Return the members of the group, None where they are listed in settings."""
        if not self.announce_members:
            return None
        members = self.replica.membership().members
        return ControllerList(addresses=tuple(sorted(member.address for member in members)))

    def wait_after(self, version: int, agents_version: int, timeout_s: float) -> None:
        """Wait until the state or the directory has a newer version, at most `timeout_s`."""
        machine = self.replica.machine
        with self.replica.changed:
            self.replica.changed.wait_for(
                lambda: machine.state.version > version or self.directory.version != agents_version,
                timeout=timeout_s,
            )
