"""Replica roles, replication progress of peers, and queued proposals."""

from __future__ import annotations

import enum
from concurrent.futures import Future
from typing import Final

import attrs

from lentilcourse.actions import Change, Outcome
from lentilcourse.messages.consensus import Member, Membership

NEVER: Final = float("inf")


class Role(enum.Enum):
    """Role of a replica in the current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@attrs.define(kw_only=True)
class PeerProgress:
    """State that a leader or candidate keeps for one peer; times are boot time.

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
        queued_at: time at which it was queued (boot time).
        expires: time after which the entry must not be appended any more (boot time).
        fut: completes when the entry is applied, fails when it is dropped.
    """

    queued_at: float
    expires: float = NEVER
    change: Change | None = None
    membership: Membership | None = None
    fut: Future[Outcome | None] = attrs.field(factory=Future)


@attrs.frozen(kw_only=True)
class LeaderClock:
    """How far the leader's clock is ahead of this controller's, at least.

    Attributes:
        term: term of the leader; each has one leader, whose process does not restart in it.
        lead_s: leader's time minus the local time, in seconds; too small by the time that the
            leader's last message was on its way.
    """

    term: int
    lead_s: float


@attrs.frozen(kw_only=True)
class LeaderDeadline:
    """A time by the clock of the leader of a term, in ms."""

    term: int
    expires_ms: int
