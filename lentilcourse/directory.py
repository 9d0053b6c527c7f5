"""Which agents there are, as they last said so themselves.

Agents announce themselves to a controller; controllers relay what they heard directly to each
other and to subscribers. Nothing of it enters the log: a record is a hint with an age, and an
agent decides by itself what its target takes. Ages travel with the records, so that no clock
is compared between processes.

A subscriber gets the whole list once, then the records that change. From time to time a checksum
over all records renews those that it holds. If its own checksum differs, it asks for the whole
list.
"""

from __future__ import annotations

import threading
from collections import OrderedDict
from collections.abc import Callable
from itertools import takewhile
from typing import Final

import attrs
from xxhash import xxh3_64_intdigest

from lentilcourse.clocks import MS_PER_S
from lentilcourse.messages.base import message
from lentilcourse.options import Address

RECORD_LIFE_S: Final = 12.0
"""Time without a word from an agent after which its record is dropped: three refreshes."""
REFRESH_INTERVAL_S: Final = 4.0
"""Longest pause between two renewals of all records at one subscriber."""

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
        takes_passed: whether the agent understands opening packets that busy agents pass on; not
            so in earlier builds.
        vacant: whether its target has left as planned, so that no flow is held there.
    """

    name: str
    address: Address
    service: str
    domain: str
    state: str
    slots: int
    takes_passed: bool = False
    vacant: bool = False


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


@message
@attrs.frozen(kw_only=True)
class AgentDigest:
    """Renews the records that a subscriber holds, if these have the same checksum.

    Attributes:
        digest: checksum of all records of the sender, see `Directory.digest`.
        age_ms: age of the oldest record that is not in `aged`.
        aged: records older than `REFRESH_INTERVAL_S`.
    """

    digest: int
    age_ms: int
    aged: tuple[AgentNotice, ...]


@message
@attrs.frozen(kw_only=True)
class AgentListRequest:
    """A subscriber whose records have another checksum asks for all of them."""


@attrs.define(kw_only=True)
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
        self._changed: OrderedDict[str, int] = OrderedDict()
        self._digest = 0

    @property
    def digest(self) -> int:
        """Checksum of all records, whatever their order and ages."""
        return self._digest

    def offer(self, notices: tuple[AgentNotice, ...], now: float) -> None:
        """Take records that are newer than the ones held."""
        with self._lock:
            changed = [notice.record.name for notice in notices if self._take(notice, now)]
            dropped = self._expire(now)
            visible = bool(changed or dropped)
            if visible:
                self.version += 1
            for name in changed:
                self._changed[name] = self.version
                self._changed.move_to_end(name)
        if visible:
            self._on_change()

    def expire(self, now: float) -> None:
        """Drop the records that are too old."""
        self.offer((), now)

    def renew(self, digest: AgentDigest, now: float) -> bool:
        """Renew all records as of a digest; returns False if the checksums differ."""
        self.offer(digest.aged, now)
        aged = {notice.record.name for notice in digest.aged}
        heard = now - digest.age_ms / MS_PER_S
        with self._lock:
            if digest.digest != self._digest:
                return False
            for name, held in self._held.items():
                if name not in aged:
                    held.heard = max(held.heard, heard)
            return True

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
        return tuple(_notice(each, now) for each in held)

    def changes_after(self, version: int, now: float) -> tuple[AgentNotice, ...]:
        """Return the records that have changed after a version, the latest first."""
        with self._lock:
            newest = reversed(self._changed.items())
            names = [name for name, _ in takewhile(lambda item: item[1] > version, newest)]
            return tuple(_notice(self._held[name], now) for name in names)

    def summary(self, now: float) -> AgentDigest:
        """Return the digest that renews all records at a subscriber."""
        notices = self.notices(now)
        limit_ms = REFRESH_INTERVAL_S * MS_PER_S
        aged = tuple(notice for notice in notices if notice.age_ms > limit_ms)
        ages_ms = [notice.age_ms for notice in notices if notice.age_ms <= limit_ms]
        return AgentDigest(digest=self._digest, age_ms=max(ages_ms, default=0), aged=aged)

    def _take(self, notice: AgentNotice, now: float) -> bool:
        heard = now - notice.age_ms / MS_PER_S
        held = self._held.get(notice.record.name)
        if held is not None and held.heard >= heard:
            return False
        self._held[notice.record.name] = _Held(record=notice.record, heard=heard)
        if held is not None and held.record == notice.record:
            return False
        self._digest ^= _checksum(notice.record) ^ (_checksum(held.record) if held else 0)
        return True

    def _expire(self, now: float) -> bool:
        outdated = [name for name, held in self._held.items() if now - held.heard > RECORD_LIFE_S]
        for name in outdated:
            self._digest ^= _checksum(self._held.pop(name).record)
            self._changed.pop(name, None)
        return bool(outdated)


def _notice(held: _Held, now: float) -> AgentNotice:
    return AgentNotice(record=held.record, age_ms=int((now - held.heard) * MS_PER_S))


def _checksum(record: AgentRecord) -> int:
    """Return the checksum of a record; all builds must compute the same."""
    values = (
        record.name,
        str(record.address),
        record.service,
        record.domain,
        record.state,
        str(record.slots),
        str(record.takes_passed),
        str(record.vacant),
    )
    return xxh3_64_intdigest("\0".join(values).encode())
