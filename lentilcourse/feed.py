"""Sends a subscriber every version of the state, the agents, and how fresh the source is.

Controllers feed from their replica, agents from their copy: a process that no controller
reaches can so follow the state through an agent that one does reach.
"""

from __future__ import annotations

import threading
import time
from typing import Final, Protocol

from lentilcourse.clocks import MS_PER_S
from lentilcourse.directory import REFRESH_INTERVAL_S, AgentList, AgentRecord, Directory
from lentilcourse.messages.state import ControllerList, Delta, Freshness, FullState
from lentilcourse.model import State, StateDelta
from lentilcourse.streams import Stream

FRESHNESS_INTERVAL_S: Final = 0.5
MAX_FRESHNESS_MS: Final = 1_000_000_000


class StateSource(Protocol):
    """Where the versions come from."""

    def read_after(self, version: int) -> tuple[State, list[StateDelta] | None]:
        """Return the state, and the deltas after `version` if they are held."""

    def freshness_s(self, now: float) -> float:
        """Return how long ago a quorum last confirmed the state."""

    def wait_after(self, version: int, agents_version: int, timeout_s: float) -> None:
        """Wait until the state or the agents have a newer version, at most `timeout_s`."""

    def agents(self) -> Directory | None:
        """Return the directory of agents, None where the source has none."""

    def controllers(self) -> ControllerList | None:
        """Return the addresses of the controllers, None where the source does not know them."""


def feed_subscriber(
    stream: Stream,
    source: StateSource,
    version: int,
    stopped: threading.Event,
) -> None:
    """Feed one subscriber until its stream or the process ends; raises `StreamError`."""
    sent_version = version
    freshness_due = 0.0
    lists = _ListSender(stream=stream, source=source)
    while not stream.closed and not stopped.is_set():
        sent_version = _send_versions(stream, source, sent_version)
        now = time.monotonic()
        lists.send_due(now)
        if now >= freshness_due:
            age_ms = min(source.freshness_s(now) * MS_PER_S, MAX_FRESHNESS_MS)
            stream.send(Freshness(age_ms=int(age_ms)))
            freshness_due = now + FRESHNESS_INTERVAL_S
        source.wait_after(sent_version, lists.agents_version, FRESHNESS_INTERVAL_S)


class _ListSender:
    """Sends agents and controllers that have changed, and all agents from time to time.

    Attributes:
        agents_version: version of the directory that was sent last.
    """

    def __init__(self, *, stream: Stream, source: StateSource) -> None:
        self.agents_version = -1
        self._stream = stream
        self._source = source
        self._controllers: ControllerList | None = None
        self._refresh_due = 0.0
        self._sent: dict[str, AgentRecord] = {}

    def send_due(self, now: float) -> None:
        """Send what is due; raises `StreamError`."""
        controllers = self._source.controllers()
        if controllers is not None and controllers != self._controllers:
            self._stream.send(controllers)
            self._controllers = controllers
        directory = self._source.agents()
        if directory is None:
            return
        version = directory.version
        refresh = now >= self._refresh_due
        if version == self.agents_version and not refresh:
            return
        notices = directory.notices(now)
        known = {} if refresh else self._sent
        changed = tuple(each for each in notices if known.get(each.record.name) != each.record)
        if changed:
            self._stream.send(AgentList(notices=changed))
        self._sent = {each.record.name: each.record for each in notices}
        self.agents_version = version
        if refresh:
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
