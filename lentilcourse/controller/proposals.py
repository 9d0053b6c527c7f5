"""Submits changes to the replicated log from any controller.

A controller that is not the leader forwards the change to the leader. A change is resent with the
same change ID until the outcome is known or `PROPOSAL_TIMEOUT_S` has passed; a resend returns the
first outcome.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Mapping
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import Final, TypeVar

import attrs

from lentilcourse import error_texts
from lentilcourse.actions import Change, Outcome
from lentilcourse.clocks import MS_PER_S, boot_time_s
from lentilcourse.codec import check_encodable
from lentilcourse.controller.progress import NEVER, Role
from lentilcourse.controller.replica import Replica
from lentilcourse.controller.replication import member_address
from lentilcourse.errors import (
    NotLeaderError,
    OrderExpiredError,
    ProposalUnknownError,
    StreamError,
)
from lentilcourse.kernel.lifecycle import Lifecycle
from lentilcourse.messages.consensus import ChangeReply, ForwardChange, Member
from lentilcourse.messages.state import ForwardAnnouncement
from lentilcourse.options import Address
from lentilcourse.streams import Identity, Stream, connect_stream

Reply = TypeVar("Reply")

PROPOSAL_TIMEOUT_S: Final = 3.0
RETRY_DELAY_S: Final = 0.05


class LeaderClient:
    """Keeps one stream to the current leader; reconnects after a failure or leader change."""

    def __init__(self, *, identity: Identity, controllers: Mapping[str, Address]) -> None:
        self._identity = identity
        self._controllers = controllers
        self._lock = threading.Lock()
        self._stream: Stream | None = None
        self._leader_id = ""

    def call(self, leader: Member, msg: object) -> object:
        """Send a request to `leader` and return its reply; raises `StreamError`."""
        with self._lock:
            stream = self._stream_to(leader)
            try:
                return stream.call(msg)
            except StreamError:
                stream.close()
                self._stream = None
                raise

    def ask(self, leader: Member | None, msg: object, reply_class: type[Reply]) -> Reply:
        """Return the leader's reply of type `reply_class`.

        Raises `NotLeaderError` if the leader is unknown or replies with another type, and
        `StreamError` if the call fails.
        """
        if leader is None:
            raise NotLeaderError(error_texts.NOT_LEADER)
        reply = self.call(leader, msg)
        if not isinstance(reply, reply_class):
            raise NotLeaderError(error_texts.NOT_LEADER)
        return reply

    def _stream_to(self, leader: Member) -> Stream:
        stream = self._stream
        if stream is not None and self._leader_id == leader.replica_id and not stream.closed:
            return stream
        if stream is not None:
            stream.close()
        address = member_address(leader, self._controllers)
        self._stream = connect_stream(address, self._identity)
        self._leader_id = leader.replica_id
        return self._stream


class Proposer:
    """Submits changes on behalf of operators, subscribers and leases."""

    def __init__(
        self,
        *,
        replica: Replica,
        identity: Identity,
        controllers: Mapping[str, Address],
        lifecycle: Lifecycle,
    ) -> None:
        self._replica = replica
        self._changes = LeaderClient(identity=identity, controllers=controllers)
        self._announcements = LeaderClient(identity=identity, controllers=controllers)
        self._lifecycle = lifecycle

    def submit(self, change: Change, expires: float = NEVER) -> Outcome:
        """Return the outcome of a change; raises `ProposalUnknownError` after the timeout.

        `expires` is the time at which the caller may turn elsewhere (boot time): the change does
        not enter the log later. Raises `OrderExpiredError` if it has not been submitted by then,
        and `UnencodableError` for a change that no log can hold.
        """
        check_encodable(change)
        deadline = min(boot_time_s() + PROPOSAL_TIMEOUT_S, expires)
        while True:
            outcome = self._known_outcome(change.change_id)
            if outcome is not None:
                return outcome
            if boot_time_s() >= expires:
                raise OrderExpiredError(error_texts.ORDER_EXPIRED)
            try:
                return self._submit_once(change, deadline, expires)
            except (NotLeaderError, StreamError):
                if boot_time_s() >= deadline or self._lifecycle.stopped.is_set():
                    raise _unknown_outcome_error() from None
            time.sleep(RETRY_DELAY_S)

    def submit_as_leader(self, change: Change) -> Outcome:
        """Submit a change of this controller; raises `NotLeaderError` if it is not the leader."""
        return self._submit_local(change, boot_time_s() + PROPOSAL_TIMEOUT_S, NEVER)

    def submit_forwarded(self, msg: ForwardChange) -> Outcome:
        """Submit a forwarded change; raises `NotLeaderError` if this is not the leader meant."""
        if msg.term not in (0, self._replica.term):
            raise NotLeaderError(error_texts.NOT_LEADER)
        expires = msg.expires_ms / MS_PER_S if msg.term else NEVER
        return self._submit_local(msg.change, boot_time_s() + PROPOSAL_TIMEOUT_S, expires)

    def forward_announcement(self, msg: ForwardAnnouncement) -> None:
        """Forward an announcement to the leader; if it is lost, the agent sends another."""
        leader = self._replica.leader()
        if leader is None:
            return
        try:
            self._announcements.call(leader, msg)
        except StreamError:
            return

    def _known_outcome(self, change_id: str) -> Outcome | None:
        with self._replica.changed:
            return self._replica.machine.outcome_of(change_id)

    def _submit_once(self, change: Change, deadline: float, expires: float) -> Outcome:
        if self._replica.role is Role.LEADER:
            return self._submit_local(change, deadline, expires)
        msg = ForwardChange(change=change)
        bound = self._replica.leader_deadline(expires) if expires < NEVER else None
        if bound is not None:
            msg = attrs.evolve(msg, term=bound.term, expires_ms=bound.expires_ms)
        return self._changes.ask(self._replica.leader(), msg, ChangeReply).outcome

    def _submit_local(self, change: Change, deadline: float, expires: float) -> Outcome:
        fut = self._replica.propose(change, boot_time_s(), expires)
        outcome = await_commit(fut, max(0.0, deadline - boot_time_s()))
        if outcome is None:
            raise _unknown_outcome_error()
        return outcome


def await_commit(
    fut: Future[Outcome | None], timeout_s: float = PROPOSAL_TIMEOUT_S
) -> Outcome | None:
    """Return the result of a proposal; raises `ProposalUnknownError` after the timeout."""
    try:
        return fut.result(timeout=timeout_s)
    except FutureTimeoutError:
        raise _unknown_outcome_error() from None


def _unknown_outcome_error() -> ProposalUnknownError:
    return ProposalUnknownError(error_texts.PROPOSAL_UNKNOWN.format(seconds=PROPOSAL_TIMEOUT_S))
