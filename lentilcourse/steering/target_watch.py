"""Tracks the state of an agent's target from its announcements.

The target announces itself periodically. Announcements of several runs (process lifetimes of the
target) may arrive out of order: the run that started last takes precedence, and within a run the
highest sequence number. A target that has been silent for `announcement_life_s` is considered
absent, since its address may have been reassigned to a target of another service.
"""

from __future__ import annotations

import enum
from collections import deque
from typing import Final

import attrs

from lentilcourse.clocks import MS_PER_S
from lentilcourse.options import Address
from lentilcourse.steering.flow_lists import UNKNOWN_RUN, run_digest

COLD_WINDOW_S: Final = 1.0
FIRST_SEQUENCE: Final = 1


@attrs.frozen(kw_only=True)
class TargetReport:
    """An announcement of a target.

    Attributes:
        target_id: ID chosen by the target; may be reused after a restart.
        born_ms: start time of the run, in ms since 1970 by the target's clock; 0 if unknown.
        sequence: sequence number, increased by the target with each announcement of a run.
        service: service of the target.
        address: address at which the target receives packets.
        slots: number of requests that the target processes concurrently.
        draining: whether the target accepts no new work.
        cold_s: remaining time for which the target is cold.
    """

    target_id: str
    born_ms: int
    sequence: int
    service: str
    address: Address
    slots: int
    draining: bool
    cold_s: float


class Verdict(enum.Enum):
    """Result of processing an announcement.

    NEW_RUN: it started a new run. RENEWED: it renewed the current run. OUTDATED: it belongs to
    an older or departed run, or a newer announcement has been received. FOREIGN: it contains the
    address of another target.
    """

    NEW_RUN = "new-run"
    RENEWED = "renewed"
    OUTDATED = "outdated"
    FOREIGN = "foreign"


class TargetWatch:
    """State of the target's current run.

    Attributes:
        report: latest announcement; None before the first and after the target has left.
        run: number of runs seen since the start of the agent; 0 before the first.
        seen_from_start: whether this process has observed the run from its start, so that it has a
            record of every flow that the target holds.
    """

    def __init__(self, *, address: Address, announcement_life_s: float) -> None:
        self.report: TargetReport | None = None
        self.run = 0
        self.seen_from_start = False
        self._address = address
        self._announcement_life_s = announcement_life_s
        self._announced_at = float("-inf")
        self._run_known_since = float("-inf")
        self._cold_until = float("-inf")
        self._cold_until_announced = False
        self._departed_runs: set[tuple[str, int]] = set()
        self._recent_openings: deque[float] = deque()

    def record_announcement(self, report: TargetReport, now: float) -> Verdict:
        """Process an announcement."""
        if report.address != self._address:
            return Verdict.FOREIGN
        if self._is_outdated(report):
            return Verdict.OUTDATED
        current = self.report
        same_run = current is not None and _run_key(current) == _run_key(report)
        if not same_run:
            self.run += 1
            self._run_known_since = now
            self.seen_from_start = self.run > 1 or report.sequence <= FIRST_SEQUENCE
        self.report = report
        self._announced_at = now
        self._cold_until = now + report.cold_s
        self._cold_until_announced = False
        return Verdict.RENEWED if same_run else Verdict.NEW_RUN

    def may_be_current(self, run: int) -> bool:
        """Return whether something observed in a run may belong to the current one.

        What was observed before the first announcement belongs to the run that then announced
        itself, unless the target has started again in that short time.
        """
        return run == self.run or (run == 0 and self.run == 1)

    def remove(self, target_id: str, sent_after: float = float("inf")) -> bool:
        """Handle the departure of a target; returns whether it was the current one.

        A target may start again under its ID. So a notice that may have been sent before the
        current run was first announced, as one that a frozen agent reads late, is not taken for
        this run if an earlier one was known.
        """
        current = self.report
        if current is None or current.target_id != target_id:
            return False
        if self.run > 1 and sent_after < self._run_known_since:
            return False
        self._departed_runs.add(_run_key(current))
        self.report = None
        return True

    @property
    def run_digest(self) -> bytes:
        """Identifies the current run to other processes; zeros while none is known."""
        if self.report is None:
            return UNKNOWN_RUN
        return run_digest(self.report.target_id, self.report.born_ms)

    @property
    def has_left(self) -> bool:
        """Whether the last target has departed as planned, with all its flows."""
        return self.report is None and self.run > 0

    def on_domain_returned(self) -> None:
        """Treat the target as cold until its next announcement.

        It may have become cold while its failure domain was out.
        """
        self._cold_until_announced = True

    def is_present(self, now: float) -> bool:
        """Return whether the last announcement is recent enough."""
        return self.report is not None and now - self._announced_at <= self._announcement_life_s

    def age_ms(self, now: float) -> int:
        """Return the age of the last announcement, or -1 if there has been none."""
        return int((now - self._announced_at) * MS_PER_S) if self.run else -1

    def accepts_flows(self, now: float) -> bool:
        """Return whether the target accepts new flows, regardless of whether it is cold."""
        return self.is_present(now) and self.report is not None and not self.report.draining

    def is_cold(self, now: float) -> bool:
        """Return whether the target is cold."""
        return self._cold_until_announced or now < self._cold_until

    def admit_opening(self, cold_limit: int | None, now: float) -> bool:
        """Count a flow opening; returns False if it exceeds the rate limit of a cold target.

        `cold_limit` is the number of openings per second allowed while cold; None for no limit.
        """
        while self._recent_openings and now - self._recent_openings[0] > COLD_WINDOW_S:
            self._recent_openings.popleft()
        limited = cold_limit is not None and len(self._recent_openings) >= cold_limit
        if limited and self.is_cold(now):
            return False
        self._recent_openings.append(now)
        return True

    def _is_outdated(self, report: TargetReport) -> bool:
        if _run_key(report) in self._departed_runs:
            return True
        current = self.report
        if current is None:
            return False
        if _run_key(current) == _run_key(report):
            return report.sequence <= current.sequence
        return report.born_ms < current.born_ms


def _run_key(report: TargetReport) -> tuple[str, int]:
    return (report.target_id, report.born_ms)
