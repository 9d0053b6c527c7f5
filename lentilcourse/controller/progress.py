"""What a replica is, and what it knows of its peers and of waiting proposals."""

from __future__ import annotations

import enum
from concurrent.futures import Future

import attrs

from lentilcourse.actions import Change, Outcome
from lentilcourse.messages.consensus import Member, Membership


class Role(enum.Enum):
    """What a replica is in the current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@attrs.define(kw_only=True)
class PeerProgress:
    """What a leader or candidate knows of one peer.

    Attributes:
        next_index: next entry to send.
        match_index: last entry known to be synced there.
        known_since: time at which the peer became known to this leader or candidate.
        contact: time at which the last answered request was sent.
        sent: time at which the last request was sent.
        asked_term: term of the last vote request; negative for a pre-vote.
    """

    next_index: int
    known_since: float
    match_index: int = 0
    contact: float = float("-inf")
    sent: float = float("-inf")
    asked_term: int = 0


@attrs.frozen(kw_only=True)
class PeerView:
    """What a leader knows of one member of the group.

    Attributes:
        member: the member.
        silence_s: time since its last answer, or since the leader's election.
        caught_up: whether it holds all that is committed.
    """

    member: Member
    silence_s: float
    caught_up: bool


@attrs.frozen(kw_only=True)
class Proposal:
    """A change or membership that waits for a place in the log."""

    change: Change | None
    membership: Membership | None
    fut: Future[Outcome | None]
