"""A process's copy of the replicated state, kept by a subscription to a controller.

The copy never steps back a version. A controller whose freshness is too old is left for
another, so that a controller cut off by a silent partition does not hold its subscribers.

A process that loses its controller tries an agent and another controller in turn. An agent
serves its own copy: state so spreads sideways to a process that no controller reaches.
"""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable, Mapping
from functools import singledispatchmethod
from typing import Final

from lentilcourse.errors import StreamError
from lentilcourse.kernel.lifecycle import Lifecycle
from lentilcourse.logs import get_logger
from lentilcourse.messages import (
    Announcement,
    Delta,
    Freshness,
    FullState,
    Report,
    ReportMessage,
    Subscribe,
)
from lentilcourse.model import State, StateDelta, apply_delta
from lentilcourse.options import Address
from lentilcourse.streams import Identity, Stream, connect_stream

REPORT_INTERVAL_S: Final = 0.4
MAX_FRESHNESS_S: Final = 2.0
RETRY_DELAY_S: Final = 0.1
RELAY_TURN_S: Final = 3.0
MS_PER_S: Final = 1000.0

_log = get_logger(__name__)


class StateCopy:
    """The state in force at this process.

    Attributes:
        current: the state; replaced whole, never changed in place.
        confirmed: monotonic time at which a quorum was last known to stand behind it.
    """

    def __init__(self) -> None:
        self.current = State()
        self.confirmed = float("-inf")
        self._changed = threading.Condition()
        self._listeners: list[Callable[[State, float], None]] = []

    def listen(self, listener: Callable[[State, float], None]) -> None:
        """Call `listener` with each new state and the present time."""
        self._listeners.append(listener)

    def offer(self, state: State, now: float) -> bool:
        """Put a state in force if it is newer than the current one."""
        with self._changed:
            if state.version <= self.current.version:
                return False
            self.current = state
            for listener in self._listeners:
                listener(state, now)
            self._changed.notify_all()
            return True

    def read_after(self, version: int) -> tuple[State, list[StateDelta] | None]:
        """Return the state; a copy holds no deltas."""
        return self.current, None

    def freshness_s(self, now: float) -> float:
        """Return how long ago a quorum was last known to stand behind the state."""
        return max(0.0, now - self.confirmed)

    def wait_after(self, version: int, timeout_s: float) -> None:
        """Wait until there is a version after `version`, at most `timeout_s`."""
        with self._changed:
            self._changed.wait_for(lambda: self.current.version > version, timeout=timeout_s)


class Subscription:
    """Keeps a `StateCopy` up to date and reports to the controller."""

    def __init__(
        self,
        *,
        controllers: Mapping[str, Address],
        identity: Identity,
        copy: StateCopy,
        lifecycle: Lifecycle,
        report: Callable[[], Report],
        announce: Callable[[], Announcement | None],
        rng: random.Random,
    ) -> None:
        names = sorted(controllers)
        start = sum(identity.name.encode()) % len(names)
        self._order = [controllers[name] for name in names[start:] + names[:start]]
        self._identity = identity
        self._copy = copy
        self._lifecycle = lifecycle
        self._report = report
        self._announce = announce
        self._rng = rng
        self._stream: Stream | None = None
        self._pool = lifecycle.pool(name="subscription", limit=2)
        self.moves = 0

    def start(self) -> None:
        """Start the reading and the reporting task."""
        self._pool.submit(self._run)
        self._pool.submit(self._run_reports)

    def send_report(self) -> None:
        """Report now, without waiting for the interval."""
        stream = self._stream
        if stream is None:
            return
        try:
            stream.send(ReportMessage(report=self._report(), announcement=self._announce()))
        except StreamError:
            return

    def _run(self) -> None:
        turn = 0
        while not self._lifecycle.stopped.is_set():
            self._try(self._order[turn % len(self._order)], float("inf"))
            turn += 1
            relays = self._relays()
            if relays:
                self._try(self._rng.choice(relays), time.monotonic() + RELAY_TURN_S)

    def _relays(self) -> list[Address]:
        """Return the agents that may serve their copy."""
        targets = self._copy.current.targets.values()
        return [
            target.stream_address
            for target in targets
            if not target.lost and target.name != self._identity.name
        ]

    def _try(self, address: Address, until: float) -> None:
        self.moves += 1
        try:
            self._follow(address, until)
        except StreamError:
            self._lifecycle.stopped.wait(timeout=RETRY_DELAY_S)

    def _follow(self, address: Address, until: float) -> None:
        stream = connect_stream(address, self._identity)
        try:
            stream.send(Subscribe(name=self._identity.name, version=self._copy.current.version))
            self._stream = stream
            self.send_report()
            while not self._lifecycle.stopped.is_set() and time.monotonic() < until:
                if not self._take(stream.receive()):
                    self._lifecycle.stopped.wait(timeout=RETRY_DELAY_S)
                    return
        finally:
            self._stream = None
            stream.close()

    @singledispatchmethod
    def _take(self, msg: object) -> bool:
        """Take one message; returns whether the controller is still worth following."""
        return True

    @_take.register
    def _take_full(self, msg: FullState) -> bool:
        self._copy.offer(msg.state, time.monotonic())
        return True

    @_take.register
    def _take_delta(self, msg: Delta) -> bool:
        current = self._copy.current
        if msg.delta.version <= current.version:
            return True
        if msg.delta.version != current.version + 1:
            return False
        self._copy.offer(apply_delta(current, msg.delta), time.monotonic())
        return True

    @_take.register
    def _take_freshness(self, msg: Freshness) -> bool:
        age_s = msg.age_ms / MS_PER_S
        self._copy.confirmed = max(self._copy.confirmed, time.monotonic() - age_s)
        return age_s <= MAX_FRESHNESS_S

    def _run_reports(self) -> None:
        while not self._lifecycle.stopped.wait(timeout=REPORT_INTERVAL_S):
            self.send_report()
