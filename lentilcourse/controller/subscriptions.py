"""Serves subscribers with every state version in order and the freshness of the source.

Each subscriber's stream has one task that reads its reports and one that writes deltas. A
subscriber too far behind for deltas receives the full state.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Final

import attrs

from lentilcourse.clocks import boot_time_s
from lentilcourse.controller.replica import Replica
from lentilcourse.directory import AgentListRequest, AgentNotice, Directory
from lentilcourse.errors import StreamError
from lentilcourse.feed import Subscriber, feed_subscriber
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
REPORT_MAX_AGE_S: Final = 10.0


@attrs.frozen(kw_only=True)
class ReceivedReport:
    """A report and its arrival time (boot time)."""

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
        self._reports: dict[str, ReceivedReport] = {}
        self._lock = threading.Lock()

    def serve(self, stream: Stream, req: Subscribe) -> None:
        """Serve one subscriber until its stream closes."""
        subscriber = Subscriber(stream=stream, version=req.version, digests=req.digests)
        self._pool.submit(lambda: self._feed(subscriber))
        while not self._lifecycle.stopped.is_set():
            msg = stream.receive()
            if isinstance(msg, ReportMessage):
                self._handle_report(stream.peer, msg, boot_time_s())
            elif isinstance(msg, AgentNotice):
                self._on_notice(msg, boot_time_s())
            elif isinstance(msg, AgentListRequest):
                subscriber.wants_agents = True

    def reports(self, now: float) -> tuple[Report, ...]:
        """Return the reports younger than `REPORT_MAX_AGE_S`, sorted by process name."""
        with self._lock:
            current = [
                stored
                for stored in self._reports.values()
                if now - stored.received < REPORT_MAX_AGE_S
            ]
        reports = [
            attrs.evolve(stored.report, age_ms=int((now - stored.received) * 1000))
            for stored in current
        ]
        return tuple(sorted(reports, key=lambda report: report.name))

    def _handle_report(self, name: str, msg: ReportMessage, now: float) -> None:
        with self._lock:
            self._reports[name] = ReceivedReport(report=msg.report, received=now)
        if msg.announcement is not None:
            self._on_announcement(name, msg.announcement)

    def _feed(self, subscriber: Subscriber) -> None:
        try:
            feed_subscriber(subscriber, self._source, self._lifecycle.stopped)
        except StreamError:
            return
        finally:
            subscriber.stream.close()


@attrs.frozen(kw_only=True)
class ReplicaSource:
    """State versions applied by the local replica, with the agents and controllers it knows."""

    replica: Replica
    directory: Directory
    announce_members: bool

    def read_after(self, version: int) -> tuple[State, list[StateDelta] | None]:
        """Return the applied state, and the deltas after `version` if still available."""
        with self.replica.changed:
            machine = self.replica.machine
            return machine.state, machine.deltas_after(version)

    def freshness_s(self, now: float) -> float:
        """Return how long ago a quorum last confirmed the state."""
        return self.replica.freshness_s(boot_time_s())

    def agents(self) -> Directory | None:
        """Return the directory of this controller."""
        return self.directory

    def controllers(self) -> ControllerList | None:
        """Return the members of the group, or None if they are listed in the settings."""
        if not self.announce_members:
            return None
        members = self.replica.membership().members
        return ControllerList(addresses=tuple(sorted(member.address for member in members)))

    def wait_after(self, version: int, agents_version: int | None, timeout_s: float) -> None:
        """Wait until the state or the directory has a newer version, at most `timeout_s`."""
        machine, directory = self.replica.machine, self.directory

        def changed() -> bool:
            agents_changed = agents_version not in (None, directory.version)
            return machine.state.version > version or agents_changed

        with self.replica.changed:
            self.replica.changed.wait_for(changed, timeout=timeout_s)
