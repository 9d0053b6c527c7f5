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
from collections.abc import Callable, Sequence
from functools import singledispatchmethod
from typing import Final

from lentilcourse.clocks import MS_PER_S
from lentilcourse.directory import AgentDigest, AgentList, AgentListRequest, AgentNotice, Directory
from lentilcourse.errors import SettingsError, StreamError
from lentilcourse.kernel.lifecycle import Lifecycle
from lentilcourse.logs import get_logger
from lentilcourse.messages.state import (
    MAX_FRESHNESS_MS,
    Announcement,
    ControllerList,
    Delta,
    Freshness,
    FullState,
    Report,
    ReportMessage,
    Subscribe,
)
from lentilcourse.model import State, StateDelta, apply_delta
from lentilcourse.options import Address, Settings, parse_address
from lentilcourse.settings_file import load_settings
from lentilcourse.streams import Identity, Stream, connect_stream

REPORT_INTERVAL_S: Final = 0.4
"""Interval of reports that renew a target's lease."""
NOTICE_INTERVAL_S: Final = 1.5
"""Interval of reports without a lease; a change of a directory record is reported at once."""
MAX_FRESHNESS_S: Final = 2.0
FIRST_LEADER_WAIT_S: Final = 1.0
"""Time for which a controller that has had no leader since its start is followed: it serves the
state as soon as it has one, and so do the others, which were started with it."""
SOURCE_CONNECT_TIMEOUT_S: Final = 0.15
"""Time for a connection to a controller to open: several round trips between regions. One that is
dark answers nothing, and may be back a moment later."""
RETRY_DELAY_S: Final = 0.03
"""Pause after the first failed attempt, doubled after each further one."""
MAX_RETRY_DELAY_S: Final = 0.2
RELAY_TURN_S: Final = 3.0
MAX_LOGGED_S: Final = 1e6

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

    def agents(self) -> Directory | None:
        """Return no directory: a copy passes the state on alone."""
        return None

    def controllers(self) -> ControllerList | None:
        """Return no controllers: a copy passes the state on alone."""
        return None

    def wait_after(self, version: int, agents_version: int | None, timeout_s: float) -> None:
        """Wait until there is a version after `version`, at most `timeout_s`."""
        with self._changed:
            self._changed.wait_for(lambda: self.current.version > version, timeout=timeout_s)


class ControllerBook:
    """Where controllers may be reached: a list given at the start, then what they say.

    Addresses that were given are kept, so that a process whose last known controllers are all
    gone falls back on them.
    """

    def __init__(self, *, given: Callable[[], Sequence[Address]]) -> None:
        self._given = given
        self._learnt: tuple[Address, ...] = ()

    def learn(self, addresses: Sequence[Address]) -> None:
        """Take the list of a controller in force."""
        self._learnt = tuple(addresses)

    def addresses(self) -> list[Address]:
        """Return every address, those of the last list first."""
        return list(dict.fromkeys((*self._learnt, *self._given())))


def named_controllers(settings: Settings) -> ControllerBook:
    """Return the controllers that the settings list by name."""
    listed = [settings.controllers[name] for name in sorted(settings.controllers)]
    return ControllerBook(given=lambda: listed)


def seeded_controllers(settings: Settings) -> ControllerBook:
    """Return the controllers that the settings' seeds lead to; the file is read anew each time."""
    assert settings.discovery is not None
    seeds = SeedReader(file=settings.file, first=settings.discovery.seeds)
    return ControllerBook(given=seeds.read)


class SeedReader:
    """Reads the seeds again from the settings file, which may change while the process runs."""

    def __init__(self, *, file: str, first: tuple[Address, ...]) -> None:
        self._file = file
        self._seeds = first

    def read(self) -> tuple[Address, ...]:
        """Return the seeds of the file now, the last readable ones if it can't be used."""
        try:
            discovery = load_settings(self._file).discovery
        except SettingsError as exc:
            _log.warning("settings_unreadable", error=str(exc))
            return self._seeds
        if discovery is not None and discovery.seeds != self._seeds:
            _log.info("seeds_changed", seeds=[str(seed) for seed in discovery.seeds])
            self._seeds = discovery.seeds
        return self._seeds


class RetryDelays:
    """Pauses between attempts to follow a controller, with exponential backoff and jitter.

    The first ones are short, since controllers and subscribers often start together.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._delay_s = RETRY_DELAY_S

    def next_delay_s(self) -> float:
        """Return the pause after another failed attempt."""
        delay_s, self._delay_s = self._delay_s, min(2 * self._delay_s, MAX_RETRY_DELAY_S)
        return delay_s * (0.5 + self._rng.random())

    def reset(self) -> None:
        """Begin anew after a success."""
        self._delay_s = RETRY_DELAY_S


class Subscription:
    """Keeps a `StateCopy` up to date and reports to the controller.

    Where a directory is given it is kept up to date too, and `notice` is sent with each report.
    """

    def __init__(
        self,
        *,
        controllers: ControllerBook,
        identity: Identity,
        copy: StateCopy,
        lifecycle: Lifecycle,
        report: Callable[[], Report],
        announce: Callable[[], Announcement | None],
        rng: random.Random,
        directory: Directory | None = None,
        notice: Callable[[], AgentNotice | None] = lambda: None,
    ) -> None:
        self._controllers = controllers
        self._first_turn = sum(identity.name.encode())
        self._directory = directory
        self._notice = notice
        self._followed_since = float("-inf")
        self._retries = RetryDelays(rng=rng)
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
        self._lifecycle.keep_running(self._pool, self._run)
        self._lifecycle.keep_running(self._pool, self._run_reports)

    def send_report(self) -> None:
        """Report now, without waiting for the interval."""
        stream = self._stream
        if stream is None:
            return
        try:
            stream.send(ReportMessage(report=self._report(), announcement=self._announce()))
            notice = self._notice()
            if notice is not None:
                stream.send(notice)
        except StreamError:
            return

    def _run(self) -> None:
        turn = self._first_turn
        while not self._lifecycle.stopped.is_set():
            order = self._controllers.addresses()
            self._try(order[turn % len(order)], float("inf"))
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
            self._lifecycle.stopped.wait(timeout=self._retries.next_delay_s())

    def _follow(self, address: Address, until: float) -> None:
        stream = connect_stream(address, self._identity, SOURCE_CONNECT_TIMEOUT_S)
        began = self._followed_since = time.monotonic()
        _log.info("source_connected", source=stream.peer, version=self._copy.current.version)
        try:
            version = self._copy.current.version
            stream.send(Subscribe(name=self._identity.name, version=version, digests=True))
            self._stream = stream
            self.send_report()
            while not self._lifecycle.stopped.is_set() and time.monotonic() < until:
                if not self._take(stream.receive()):
                    self._lifecycle.stopped.wait(timeout=self._retries.next_delay_s())
                    return
        finally:
            self._stream = None
            stream.close()
            now = time.monotonic()
            _log.info(
                "source_left",
                source=stream.peer,
                after_s=round(now - began, 3),
                freshness_s=min(round(self._copy.freshness_s(now), 3), MAX_LOGGED_S),
                version=self._copy.current.version,
            )

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
        now = time.monotonic()
        age_s = msg.age_ms / MS_PER_S
        self._copy.confirmed = max(self._copy.confirmed, now - age_s)
        if msg.age_ms >= MAX_FRESHNESS_MS:
            return now - self._followed_since <= FIRST_LEADER_WAIT_S
        if age_s > MAX_FRESHNESS_S:
            return False
        self._retries.reset()
        return True

    @_take.register
    def _take_agents(self, msg: AgentList) -> bool:
        if self._directory is not None:
            self._directory.offer(msg.notices, time.monotonic())
        return True

    @_take.register
    def _take_digest(self, msg: AgentDigest) -> bool:
        stream = self._stream
        if self._directory is None or stream is None:
            return True
        if not self._directory.renew(msg, time.monotonic()):
            _log.info("agents_differ", source=stream.peer)
            stream.send(AgentListRequest())
        return True

    @_take.register
    def _take_controllers(self, msg: ControllerList) -> bool:
        self._controllers.learn([parse_address(text) for text in msg.addresses])
        return True

    def _run_reports(self) -> None:
        interval_s = REPORT_INTERVAL_S if self._directory is None else NOTICE_INTERVAL_S
        while not self._lifecycle.stopped.wait(timeout=interval_s):
            self.send_report()
