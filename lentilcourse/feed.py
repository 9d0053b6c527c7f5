"""Sends a subscriber every version of the state, the agents, and how fresh the source is.

Controllers feed from their replica, agents from their copy: a process that no controller
reaches can so follow the state through an agent that one does reach.
"""

from __future__ import annotations

import threading
import time
from typing import Final, Protocol

import attrs

from lentilcourse.clocks import MS_PER_S
from lentilcourse.directory import REFRESH_INTERVAL_S, AgentList, AgentNotice, Directory
from lentilcourse.messages.state import (
    MAX_FRESHNESS_MS,
    ControllerList,
    Delta,
    Freshness,
    FullState,
)
from lentilcourse.model import State, StateDelta
from lentilcourse.streams import Stream

FRESHNESS_INTERVAL_S: Final = 0.5
AGENTS_INTERVAL_S: Final = 0.05
"""Shortest pause between two messages about agents, so that many changes share one message."""


class StateSource(Protocol):
    """Where the versions come from."""

    def read_after(self, version: int) -> tuple[State, list[StateDelta] | None]:
        """Return the state, and the deltas after `version` if they are held."""

    def freshness_s(self, now: float) -> float:
        """Return how long ago a quorum last confirmed the state."""

    def wait_after(self, version: int, agents_version: int | None, timeout_s: float) -> None:
        """Wait until the state or the agents have a newer version, at most `timeout_s`.

        None for `agents_version` waits for the state only.
        """

    def agents(self) -> Directory | None:
        """Return the directory of agents, None where the source has none."""

    def controllers(self) -> ControllerList | None:
        """Return the addresses of the controllers, None where the source does not know them."""


@attrs.define(kw_only=True)
class Subscriber:
    """A subscriber and what it asked for.

    Attributes:
        stream: stream to it.
        version: state version that it has.
        digests: whether it understands `AgentDigest`.
        wants_agents: whether it needs the whole list of agents.
    """

    stream: Stream
    version: int
    digests: bool = False
    wants_agents: bool = True


def feed_subscriber(subscriber: Subscriber, source: StateSource, stopped: threading.Event) -> None:
    """Feed one subscriber until its stream or the process ends; raises `StreamError`."""
    stream = subscriber.stream
    sent_version = subscriber.version
    freshness_due = 0.0
    lists = _ListSender(subscriber=subscriber, source=source)
    while not stream.closed and not stopped.is_set():
        sent_version = _send_versions(stream, source, sent_version)
        now = time.monotonic()
        lists.send_due(now)
        if now >= freshness_due:
            age_ms = min(source.freshness_s(now) * MS_PER_S, MAX_FRESHNESS_MS)
            stream.send(Freshness(age_ms=int(age_ms)))
            freshness_due = now + FRESHNESS_INTERVAL_S
        if lists.waits(now):
            source.wait_after(sent_version, None, AGENTS_INTERVAL_S)
        else:
            source.wait_after(sent_version, lists.agents_version, FRESHNESS_INTERVAL_S)


class _ListSender:
    """Sends agents and controllers that have changed, and renews all agents from time to time.

    Attributes:
        agents_version: version of the directory that was sent last.
    """

    def __init__(self, *, subscriber: Subscriber, source: StateSource) -> None:
        self.agents_version = -1
        self._subscriber = subscriber
        self._source = source
        self._controllers: ControllerList | None = None
        self._refresh_due = 0.0
        self._next_at = 0.0

    def waits(self, now: float) -> bool:
        """Return whether changes must wait since others were sent a moment ago."""
        return now < self._next_at

    def send_due(self, now: float) -> None:
        """Send what is due; raises `StreamError`."""
        stream = self._subscriber.stream
        controllers = self._source.controllers()
        if controllers is not None and controllers != self._controllers:
            stream.send(controllers)
            self._controllers = controllers
        directory = self._source.agents()
        if directory is None or self.waits(now):
            return
        version = directory.version
        if self._subscriber.wants_agents:
            self._send_all(directory, now)
        elif version != self.agents_version:
            self._send_agents(directory.changes_after(self.agents_version, now), now)
        elif now >= self._refresh_due:
            self._renew(directory, now)
        self.agents_version = version

    def _send_all(self, directory: Directory, now: float) -> None:
        self._subscriber.wants_agents = False
        self._refresh_due = now + REFRESH_INTERVAL_S
        self._send_agents(directory.notices(now), now)

    def _send_agents(self, notices: tuple[AgentNotice, ...], now: float) -> None:
        self._next_at = now + AGENTS_INTERVAL_S
        if notices:
            self._subscriber.stream.send(AgentList(notices=notices))

    def _renew(self, directory: Directory, now: float) -> None:
        if not self._subscriber.digests:
            self._send_all(directory, now)
            return
        self._subscriber.stream.send(directory.summary(now))
        self._refresh_due = now + REFRESH_INTERVAL_S


def _send_versions(stream: Stream, source: StateSource, sent_version: int) -> int:
    """Send what is new; a process without a state gets the newest, not the history."""
    state, deltas = source.read_after(sent_version)
    if state.version <= sent_version:
        return sent_version
    if deltas is None or sent_version == 0:
        stream.send(FullState(state=state))
        return state.version
    for delta in deltas:
        stream.send(Delta(delta=delta))
    return deltas[-1].version
