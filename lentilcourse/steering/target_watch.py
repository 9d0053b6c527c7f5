"""What an agent believes of the target beside it.

The target announces itself again and again. Announcements of several runs may cross: the run
that started last is the one believed, and within a run the highest sequence. A target that has
been silent for `life_s` is not believed to be there any more, since its address may have been
given to a target of another service.
"""

from __future__ import annotations

import enum
from collections import deque
from typing import Final

import attrs

from lentilcourse.clocks import MS_PER_S
from lentilcourse.options import Address

COLD_WINDOW_S: Final = 1.0
FIRST_SEQUENCE: Final = 1


@attrs.frozen(kw_only=True)
class TargetReport:
    """One announcement of a target.

    Attributes:
        target_id: identity chosen by the target; may be used again after a restart.
        born_ms: start of the run, in ms since 1970 by the target's clock; 0 where not said.
        sequence: raised by the target with each announcement of a run.
        service: service that it serves.
        address: where it takes packets.
        slots: requests that it runs at once.
        draining: whether it takes no new work.
        cold_s: how much longer it stays cold.
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
    """What an announcement did."""

    NEW_RUN = "new-run"
    RENEWED = "renewed"
    OUTDATED = "outdated"
    FOREIGN = "foreign"


class TargetWatch:
    """The current run of the target.

    Attributes:
        report: its last announcement; None before the first and after it has left.
        run: number of the run since the start of the agent, 0 before the first.
        whole_run: whether this process has seen the run from its start, so that it knows of
            every flow that the target holds.
    """

    def __init__(self, *, address: Address, life_s: float) -> None:
        self.report: TargetReport | None = None
        self.run = 0
        self.whole_run = False
        self._address = address
        self._life_s = life_s
        self._heard = float("-inf")
        self._cold_until = float("-inf")
        self._cold_until_heard = False
        self._left: set[tuple[str, int]] = set()
        self._openings: deque[float] = deque()

    def offer(self, report: TargetReport, now: float) -> Verdict:
        """Take an announcement."""
        if report.address != self._address:
            return Verdict.FOREIGN
        if self._is_outdated(report):
            return Verdict.OUTDATED
        current = self.report
        same = current is not None and _run_of(current) == _run_of(report)
        if not same:
            self.run += 1
            self.whole_run = self.run > 1 or report.sequence <= FIRST_SEQUENCE
        self.report = report
        self._heard = now
        self._cold_until = now + report.cold_s
        self._cold_until_heard = False
        return Verdict.RENEWED if same else Verdict.NEW_RUN

    def leave(self, target_id: str) -> bool:
        """Forget a target that says it is gone; returns whether it was the current one."""
        current = self.report
        if current is None or current.target_id != target_id:
            return False
        self._left.add(_run_of(current))
        self.report = None
        return True

    def domain_returned(self) -> None:
        """Take the target for cold until it says otherwise: it may have turned cold meanwhile."""
        self._cold_until_heard = True

    def present(self, now: float) -> bool:
        """Return whether the target was heard lately."""
        return self.report is not None and now - self._heard <= self._life_s

    def age_ms(self, now: float) -> int:
        """Return how long ago the target announced itself; -1 before the first time."""
        return int((now - self._heard) * MS_PER_S) if self.run else -1

    def takes_new(self, now: float) -> bool:
        """Return whether the target takes new flows, its coldness aside."""
        return self.present(now) and self.report is not None and not self.report.draining

    def cold(self, now: float) -> bool:
        """Return whether the target is cold."""
        return self._cold_until_heard or now < self._cold_until

    def take_opening(self, cold_limit: int | None, now: float) -> bool:
        """Count one opening; returns False when a cold target can't bear it.

        `cold_limit` is how many it bears in one second while cold, None for any number.
        """
        while self._openings and now - self._openings[0] > COLD_WINDOW_S:
            self._openings.popleft()
        limited = cold_limit is not None and len(self._openings) >= cold_limit
        if limited and self.cold(now):
            return False
        self._openings.append(now)
        return True

    def _is_outdated(self, report: TargetReport) -> bool:
        if _run_of(report) in self._left:
            return True
        current = self.report
        if current is None:
            return False
        if _run_of(current) == _run_of(report):
            return report.sequence <= current.sequence
        return report.born_ms < current.born_ms


def _run_of(report: TargetReport) -> tuple[str, int]:
    return (report.target_id, report.born_ms)
