"""Passes on to the other controllers what agents said to this one.

Each controller relays only records that it heard itself, to every other member of the group,
when they change and from time to time.
"""

from __future__ import annotations

import threading
import time
from typing import Final

from lentilcourse.controller.replica import Replica
from lentilcourse.directory import AgentList, AgentNotice, Directory
from lentilcourse.errors import LentilcourseError
from lentilcourse.kernel.lifecycle import Lifecycle
from lentilcourse.messages.consensus import Member
from lentilcourse.options import parse_address
from lentilcourse.streams import Identity, Stream, connect_stream

MAX_PEERS: Final = 32
RELAY_CHECK_S: Final = 0.1
"""Interval in which changes are looked for, and lost or new members are connected to."""
RELAY_REFRESH_S: Final = 1.0
"""Longest pause between two lists to one member."""


class DirectoryRelay:
    """Relays of one controller: a task for each other member."""

    def __init__(
        self, *, replica: Replica, identity: Identity, known: Directory, lifecycle: Lifecycle
    ) -> None:
        self._replica = replica
        self._identity = identity
        self._known = known
        self._direct = Directory()
        self._lifecycle = lifecycle
        self._pool = lifecycle.pool(name="directory-relay", limit=MAX_PEERS)
        self._running: set[str] = set()
        self._lock = threading.Lock()

    def take_direct(self, notice: AgentNotice, now: float) -> None:
        """Take a record from an agent that is subscribed here."""
        self._direct.offer((notice,), now)
        self._known.offer((notice,), now)

    def run(self) -> None:
        """Start a task for each new member until the process has stopped."""
        while not self._lifecycle.stopped.wait(timeout=RELAY_CHECK_S):
            self._known.expire(time.monotonic())
            for member in self._replica.membership().members:
                self._start(member)

    def _start(self, member: Member) -> None:
        with self._lock:
            own = member.replica_id == self._replica.replica_id
            if own or member.address in self._running:
                return
            self._running.add(member.address)
        self._pool.submit(lambda: self._run_peer(member))

    def _run_peer(self, member: Member) -> None:
        try:
            stream = connect_stream(parse_address(member.address), self._identity)
            try:
                self._relay(stream, member)
            finally:
                stream.close()
        except LentilcourseError:
            return
        finally:
            with self._lock:
                self._running.discard(member.address)

    def _relay(self, stream: Stream, member: Member) -> None:
        sent_version = -1
        refresh_due = 0.0
        while self._replica.membership().find(member.replica_id) is not None:
            now = time.monotonic()
            self._direct.expire(now)
            if self._direct.version != sent_version or now >= refresh_due:
                sent_version = self._direct.version
                stream.call(AgentList(notices=self._direct.notices(now)))
                refresh_due = now + RELAY_REFRESH_S
            if self._lifecycle.stopped.wait(timeout=RELAY_CHECK_S):
                return
