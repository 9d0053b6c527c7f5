"""What an agent remembers of flows that it cannot tell about without asking its target.

An agent that has started after its target has no record of flows that were opened before. It gives
the target a packet of such a flow; the target returns it if it does not hold the flow. The memory
keeps that answer for later queries, and who is to be told once it arrives.
"""

from __future__ import annotations

from typing import Final

from lentilcourse.steering.flow_records import remove_outdated

DENIAL_LIFE_S: Final = 5.0
"""Time for which an answer of the target, or the address to be told, is kept."""


class DenialMemory:
    """Denied flows and the agents that wait for an answer, by flow key."""

    def __init__(self) -> None:
        self._denied_at: dict[bytes, float] = {}
        self._asked_by: dict[bytes, tuple[tuple[str, int], float]] = {}

    def is_denied(self, flow: bytes, now: float) -> bool:
        """Return whether the target has recently returned a packet of a flow."""
        return now - self._denied_at.get(flow, float("-inf")) < DENIAL_LIFE_S

    def note_question(self, flow: bytes, searcher: tuple[str, int], now: float) -> None:
        """Remember the agent that searches for a flow."""
        self._asked_by[flow] = searcher, now

    def deny(self, flow: bytes, now: float) -> tuple[str, int] | None:
        """Remember that the target does not hold a flow; returns the agent that searches for it."""
        self._denied_at[flow] = now
        searcher, _ = self._asked_by.pop(flow, (None, now))
        return searcher

    def expire(self, now: float) -> None:
        """Forget what is too old."""
        remove_outdated(self._denied_at, lambda denied_at: now - denied_at > DENIAL_LIFE_S)
        remove_outdated(self._asked_by, lambda asked: now - asked[1] > DENIAL_LIFE_S)
