"""Replica roles, replication progress of peers, and queued proposals."""

from __future__ import annotations

import enum
from concurrent.futures import Future

import attrs

from lentilcourse.actions import Change, Outcome
from lentilcourse.messages.consensus import Member, Membership


class Role(enum.Enum):
    """Role of a replica in the current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@attrs.define(kw_only=True)
class PeerProgress:
    """State that a leader or candidate keeps for one peer; times are monotonic seconds.

    Attributes:
        next_index: index of the next entry to send.
        match_index: index of the last entry known to be synced at the peer.
        known_since: time at which this leader or candidate started to track the peer.
        last_contact: send time of the latest request that the peer has answered.
        last_sent: send time of the latest request.
        sent_commit_index: commit index in the latest request.
        requested_vote_term: term of the last vote request, negated for a pre-vote; 0 if none.
    """

    next_index: int
    known_since: float
    match_index: int = 0
    last_contact: float = float("-inf")
    last_sent: float = float("-inf")
    sent_commit_index: int = -1
    requested_vote_term: int = 0


@attrs.frozen(kw_only=True)
class PeerView:
    """Replication state of one member as seen by the leader.

    Attributes:
        member: the member.
        silence_s: seconds since the latest request that it answered was sent, or since the leader
            began to track it if that is later.
        caught_up: whether it holds every committed entry.
    """

    member: Member
    silence_s: float
    caught_up: bool


@attrs.frozen(kw_only=True)
class Proposal:
    """An entry queued to be appended to the log: a change, a membership or neither.

    Attributes:
        queued_at: time at which it was queued (monotonic seconds).
        fut: completes when the entry is applied, fails when it is dropped.
    """

    queued_at: float
    change: Change | None = None
    membership: Membership | None = None
    fut: Future[Outcome | None] = attrs.field(factory=Future)
