"""Relays the records of locally subscribed agents to the other controllers.

Each controller sends only the records that it received from agents directly, to every other
member of the group: those that change, and all of them at a regular interval.
"""

from __future__ import annotations

import threading
from typing import Final

from lentilcourse.clocks import boot_time_s
from lentilcourse.controller.replica import Replica
from lentilcourse.directory import AgentList, AgentNotice, Directory
from lentilcourse.errors import LentilcourseError
from lentilcourse.kernel.lifecycle import Lifecycle
from lentilcourse.messages.consensus import Member
from lentilcourse.options import parse_address
from lentilcourse.streams import Identity, Stream, connect_stream

MAX_PEERS: Final = 32
RELAY_CHECK_INTERVAL_S: Final = 0.1
"""Interval for polling for changes and for connecting to new or disconnected members."""
RELAY_REFRESH_INTERVAL_S: Final = 3.0
"""Longest interval between two whole lists sent to the same member."""


class DirectoryRelay:
    """Sends directory updates with one task per other member of the group."""

    def __init__(
        self, *, replica: Replica, identity: Identity, directory: Directory, lifecycle: Lifecycle
    ) -> None:
        self._replica = replica
        self._identity = identity
        self._directory = directory
        self._local_directory = Directory()
        self._lifecycle = lifecycle
        self._pool = lifecycle.pool(name="directory-relay", limit=MAX_PEERS)
        self._active_addresses: set[str] = set()
        self._lock = threading.Lock()

    def handle_local_notice(self, notice: AgentNotice, now: float) -> None:
        """Store a record received from an agent that is subscribed to this controller."""
        self._local_directory.offer((notice,), now)
        self._directory.offer((notice,), now)

    def run(self) -> None:
        """Start a task for each new or disconnected member until the process stops."""
        while not self._lifecycle.stopped.wait(timeout=RELAY_CHECK_INTERVAL_S):
            self._directory.expire(boot_time_s())
            for member in self._replica.membership().members:
                self._start_peer_task(member)

    def _start_peer_task(self, member: Member) -> None:
        with self._lock:
            own = member.replica_id == self._replica.replica_id
            if own or member.address in self._active_addresses:
                return
            self._active_addresses.add(member.address)
        self._pool.submit(lambda: self._relay_to_peer(member))

    def _relay_to_peer(self, member: Member) -> None:
        try:
            stream = connect_stream(parse_address(member.address), self._identity)
            try:
                self._send_updates(stream, member)
            finally:
                stream.close()
        except LentilcourseError:
            return
        finally:
            with self._lock:
                self._active_addresses.discard(member.address)

    def _send_updates(self, stream: Stream, member: Member) -> None:
        sent_version = -1
        refresh_due = 0.0
        while self._replica.membership().find(member.replica_id) is not None:
            now = boot_time_s()
            self._local_directory.expire(now)
            version = self._local_directory.version
            if now >= refresh_due:
                stream.call(AgentList(notices=self._local_directory.notices(now)))
                refresh_due = now + RELAY_REFRESH_INTERVAL_S
            elif version != sent_version:
                changed = self._local_directory.changes_after(sent_version, now)
                stream.call(AgentList(notices=changed))
            sent_version = version
            if self._lifecycle.stopped.wait(timeout=RELAY_CHECK_INTERVAL_S):
                return
