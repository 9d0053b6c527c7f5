"""Runs one replica over streams: one task per peer, a timer task and a log writer task.

`ReplicaDriver` starts a task for each new peer; the task ends when its peer is no longer a
member. A peer task opens a stream, sends the requests that `Replica.next_request` returns and
passes the replies back to the replica. If a reply takes longer than `RPC_TIMEOUT_S`, the task
closes the stream and opens a new one.
"""

from __future__ import annotations

import threading
from collections.abc import Mapping
from functools import singledispatch
from typing import Final

from lentilcourse import error_texts
from lentilcourse.clocks import boot_time_s
from lentilcourse.controller.replica import PeerRequest, Replica
from lentilcourse.errors import ProtocolError, StorageError, StreamError
from lentilcourse.kernel.lifecycle import Lifecycle
from lentilcourse.logs import get_logger
from lentilcourse.messages.consensus import (
    AppendReply,
    AppendRequest,
    InstallRequest,
    Member,
    VoteReply,
    VoteRequest,
)
from lentilcourse.options import Address, parse_address
from lentilcourse.streams import Identity, Stream, connect_stream

TICK_S: Final = 0.02
RPC_TIMEOUT_S: Final = 1.0
CONNECT_TIMEOUT_S: Final = 0.1
"""Time for a connection to a peer to open: several round trips between regions. A peer that is
dark answers nothing, and may be back a moment later."""
RECONNECT_DELAY_S: Final = 0.03
MAX_PEERS: Final = 16

_log = get_logger(__name__)


class ReplicaDriver:
    """Runs the timer, log writer and peer tasks of one replica."""

    def __init__(
        self,
        *,
        replica: Replica,
        identity: Identity,
        controllers: Mapping[str, Address],
        lifecycle: Lifecycle,
    ) -> None:
        self._replica = replica
        self._identity = identity
        self._controllers = controllers
        self._lifecycle = lifecycle
        self._pool = lifecycle.pool(name="replica", limit=MAX_PEERS + 2)
        self._active_peer_ids: set[str] = set()
        self._lock = threading.Lock()

    def start(self) -> None:
        """Start the timer task, which also starts the peer tasks, and the log writer task."""
        for loop in (self._run_timer, self._run_log):
            self._lifecycle.keep_running(self._pool, loop, self._resign)

    def _resign(self) -> None:
        self._replica.resign("a task of the replica has ended", boot_time_s())

    def _run_timer(self) -> None:
        while not self._lifecycle.stopped.wait(timeout=TICK_S):
            try:
                self._replica.tick(boot_time_s())
            except StorageError as exc:
                _log.error("vote_write_failed", error=str(exc))
            self._start_missing_peers()

    def _run_log(self) -> None:
        while not self._lifecycle.stopped.is_set():
            if self._replica.proposals_waiting.wait(timeout=TICK_S):
                with self._replica.changed:
                    self._replica.write_proposals(boot_time_s())

    def _start_missing_peers(self) -> None:
        for member in self._replica.membership().members:
            with self._lock:
                is_self = member.replica_id == self._replica.replica_id
                if is_self or member.replica_id in self._active_peer_ids:
                    continue
                self._active_peer_ids.add(member.replica_id)
            self._pool.submit(lambda member=member: self._run_peer(member))  # type: ignore[misc]

    def _run_peer(self, member: Member) -> None:
        try:
            while self._is_member(member) and not self._lifecycle.stopped.is_set():
                self._replicate_over_stream(member)
                self._lifecycle.stopped.wait(timeout=RECONNECT_DELAY_S)
        finally:
            with self._lock:
                self._active_peer_ids.discard(member.replica_id)

    def _is_member(self, member: Member) -> bool:
        return self._replica.membership().find(member.replica_id) is not None

    def _replicate_over_stream(self, member: Member) -> None:
        try:
            address = member_address(member, self._controllers)
            stream = connect_stream(address, self._identity, CONNECT_TIMEOUT_S)
        except StreamError:
            self._replica.on_peer_lost(member.replica_id, boot_time_s())
            return
        stream.set_timeout(RPC_TIMEOUT_S)
        try:
            while self._is_member(member) and not stream.closed:
                if self._lifecycle.stopped.is_set():
                    return
                self._send_next_request(member.replica_id, stream)
        except StreamError:
            self._replica.on_peer_lost(member.replica_id, boot_time_s())
        finally:
            stream.close()

    def _send_next_request(self, peer_id: str, stream: Stream) -> None:
        req = self._wait_for_request(peer_id)
        if req is None:
            return
        sent = boot_time_s()
        reply = stream.call(req)
        handle_reply(req, reply, self._replica, peer_id, sent)

    def _wait_for_request(self, peer_id: str) -> PeerRequest | None:
        with self._replica.changed:
            req = self._replica.next_request(peer_id, boot_time_s())
            if req is None:
                self._replica.changed.wait(timeout=self._replica.heartbeat_interval_s / 2)
                req = self._replica.next_request(peer_id, boot_time_s())
            return req


def member_address(member: Member, controllers: Mapping[str, Address]) -> Address:
    """Return a member's address: the one in this VM's settings, else the one in the membership."""
    return controllers.get(member.name) or parse_address(member.address)


@singledispatch
def handle_reply(req: object, reply: object, replica: Replica, peer_id: str, sent: float) -> None:
    """Pass a peer's reply to the replica; dispatches on the type of the request."""
    raise ProtocolError(error_texts.MESSAGE_UNEXPECTED.format(name=type(req).__name__))


@handle_reply.register
def _handle_vote_reply(
    req: VoteRequest, reply: object, replica: Replica, peer_id: str, sent: float
) -> None:
    if not isinstance(reply, VoteReply):
        raise ProtocolError(error_texts.MESSAGE_UNEXPECTED.format(name=type(reply).__name__))
    replica.on_vote_reply(peer_id, req, reply, boot_time_s())


@handle_reply.register(AppendRequest)
@handle_reply.register(InstallRequest)
def _handle_append_reply(
    req: AppendRequest | InstallRequest,
    reply: object,
    replica: Replica,
    peer_id: str,
    sent: float,
) -> None:
    if not isinstance(reply, AppendReply):
        raise ProtocolError(error_texts.MESSAGE_UNEXPECTED.format(name=type(reply).__name__))
    replica.on_append_reply(peer_id, req, reply, sent, boot_time_s())
