"""Which agents there are, as they last said so themselves.

Agents announce themselves to a controller; controllers relay what they heard directly to each
other and to subscribers. Nothing of it enters the log: a record is a hint with an age, and an
agent decides by itself what its target takes. Ages travel with the records, so that no clock
is compared between processes.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Final

import attrs

from lentilcourse.clocks import MS_PER_S
from lentilcourse.messages.base import message
from lentilcourse.options import Address

RECORD_LIFE_S: Final = 12.0
"""Time without a word from an agent after which its record is dropped: three refreshes."""
REFRESH_INTERVAL_S: Final = 4.0
"""Longest pause between two whole lists to one subscriber."""

STATE_SERVING: Final = "serving"
STATE_DRAINING: Final = "draining"
STATE_IDLE: Final = "idle"
STATE_GONE: Final = "gone"


@attrs.frozen(kw_only=True)
class AgentRecord:
    """What an agent says of itself and its target.

    Attributes:
        name: process name of the agent.
        address: UDP address that takes packets of balancers and agents.
        service: service of its target, "" while it has none.
        domain: failure domain of its VM.
        state: whether its target takes new flows (serving), keeps old ones (draining), or there
            is none (idle). A gone agent has ended as planned; its record is dropped.
        slots: requests that the target runs at once.
    """

    name: str
    address: Address
    service: str
    domain: str
    state: str
    slots: int


@message
@attrs.frozen(kw_only=True)
class AgentNotice:
    """One record and how long ago the agent itself sent it."""

    record: AgentRecord
    age_ms: int = 0


@message
@attrs.frozen(kw_only=True)
class AgentList:
    """Records from a controller to a subscriber or to another controller."""

    notices: tuple[AgentNotice, ...]


@attrs.frozen(kw_only=True)
class _Held:
    record: AgentRecord
    heard: float


class Directory:
    """Records of agents by name; may be used by any task.

    Attributes:
        version: raised with each change that a reader can see.
    """

    def __init__(self, *, on_change: Callable[[], None] = lambda: None) -> None:
        self.version = 0
        self._on_change = on_change
        self._lock = threading.Lock()
        self._held: dict[str, _Held] = {}

    def offer(self, notices: tuple[AgentNotice, ...], now: float) -> None:
        """Take records that are newer than the ones held."""
        with self._lock:
            changed = [self._take(notice, now) for notice in notices]
            changed.append(self._expire(now))
            visible = any(changed)
            if visible:
                self.version += 1
        if visible:
            self._on_change()

    def expire(self, now: float) -> None:
        """Drop the records that are too old."""
        self.offer((), now)

    def records(self) -> tuple[AgentRecord, ...]:
        """Return the records of agents that are not gone, ordered by name."""
        with self._lock:
            held = [self._held[name].record for name in sorted(self._held)]
        return tuple(record for record in held if record.state != STATE_GONE)

    def gone(self) -> frozenset[str]:
        """Return the names of agents that have ended as planned."""
        with self._lock:
            held = self._held.items()
            return frozenset(name for name, each in held if each.record.state == STATE_GONE)

    def notices(self, now: float) -> tuple[AgentNotice, ...]:
        """Return the records with their ages, ordered by name."""
        with self._lock:
            held = [self._held[name] for name in sorted(self._held)]
        return tuple(
            AgentNotice(record=each.record, age_ms=int((now - each.heard) * MS_PER_S))
            for each in held
        )

    def _take(self, notice: AgentNotice, now: float) -> bool:
        heard = now - notice.age_ms / MS_PER_S
        held = self._held.get(notice.record.name)
        if held is not None and held.heard >= heard:
            return False
        self._held[notice.record.name] = _Held(record=notice.record, heard=heard)
        return held is None or held.record != notice.record

    def _expire(self, now: float) -> bool:
        outdated = [name for name, held in self._held.items() if now - held.heard > RECORD_LIFE_S]
        for name in outdated:
            del self._held[name]
        return bool(outdated)
