"""Messages between replicas of the log, and the log's own records."""

from __future__ import annotations

import attrs

from lentilcourse.actions import Action, Change, Outcome
from lentilcourse.codec import register_union
from lentilcourse.messages.base import message

register_union(Action, tag_name="action")


@attrs.frozen(kw_only=True)
class Member:
    """One replica of the replicated log.

    Attributes:
        replica_id: identity of one data folder, never used twice.
        name: controller process.
        address: its listener, IP:PORT.
        voter: whether it counts for the quorum; a learner only receives.
    """

    replica_id: str
    name: str
    address: str
    voter: bool


@attrs.frozen(kw_only=True)
class Membership:
    """The replicas that hold the log."""

    members: tuple[Member, ...]

    def voters(self) -> tuple[Member, ...]:
        """Return the members that vote."""
        return tuple(member for member in self.members if member.voter)

    def find(self, replica_id: str) -> Member | None:
        """Return the member with an identity."""
        return next((each for each in self.members if each.replica_id == replica_id), None)


@attrs.frozen(kw_only=True)
class LogEntry:
    """One record of the replicated log; holds a change, a membership, or neither."""

    index: int
    term: int
    change: Change | None = None
    membership: Membership | None = None


@message
@attrs.frozen(kw_only=True)
class VoteRequest:
    """A candidate asks for a vote, or with `pre_vote` whether it would get one."""

    term: int
    candidate_id: str
    receiver_id: str
    last_index: int
    last_term: int
    pre_vote: bool


@message
@attrs.frozen(kw_only=True)
class VoteReply:
    """Answer to `VoteRequest`."""

    term: int
    granted: bool


@message
@attrs.frozen(kw_only=True)
class AppendRequest:
    """The leader replicates entries that follow `previous_index`.

    `quorum_age_ms` is the time since a quorum last confirmed the leader. `clock_ms` is the leader's
    boot time when it made the request; 0 from earlier builds.
    """

    term: int
    leader_id: str
    receiver_id: str
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    quorum_age_ms: int
    clock_ms: int = 0


@message
@attrs.frozen(kw_only=True)
class AppendReply:
    """Answer to `AppendRequest`; `match_index` is the last synced index that agrees."""

    term: int
    success: bool
    match_index: int


@message
@attrs.frozen(kw_only=True)
class InstallRequest:
    """The leader replaces a replica's log by a snapshot (encoded `MachineImage`)."""

    term: int
    leader_id: str
    receiver_id: str
    last_index: int
    last_term: int
    membership: Membership
    image: bytes


@message
@attrs.frozen(kw_only=True)
class ForwardChange:
    """A controller passes a change on to the leader.

    The leader of `term` drops the change if it is not in the log at `expires_ms`, by its own boot
    time; a term of 0 means no such bound.
    """

    change: Change
    term: int = 0
    expires_ms: int = 0


@message
@attrs.frozen(kw_only=True)
class ChangeReply:
    """The outcome of a change."""

    outcome: Outcome
