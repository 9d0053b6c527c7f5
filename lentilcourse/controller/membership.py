"""Which change of the group's membership is due, decided by its leader.

A group that finds its members by seeds replaces lost replicas by itself. The rules:

- A learner that has caught up takes the place of the voter that it supersedes in one step.
- A learner that has caught up becomes a voter when a voter is missing or lost.
- A voter is removed only while more than the wanted number vote, so that the quorum never
  shrinks below that of the wanted number; superseded voters go first, then lost ones.
- A voter is superseded when another member has its address: its data folder is gone.
- A learner that is gone is forgotten.
"""

from __future__ import annotations

from typing import Final

import attrs

from lentilcourse.controller.progress import PeerView
from lentilcourse.messages.consensus import Member

VOTER_LOST_AFTER_S: Final = 3.0
"""Silence after which a voter may be replaced by a learner: longer than a restart takes."""
LEARNER_LOST_AFTER_S: Final = 30.0
"""Silence after which a learner is forgotten; it joins anew when it comes back."""
LEARNER_LIVE_S: Final = 0.6
"""Silence up to which a learner counts as live: one election timeout."""


@attrs.frozen(kw_only=True)
class MembershipChange:
    """One change; `verb` is "replace", "promote" or "remove", as in `changed_membership`."""

    verb: str
    member: Member


def due_membership_change(
    views: tuple[PeerView, ...], leader_id: str, wanted_voters: int
) -> MembershipChange | None:
    """Return the next change of the membership, None if none is due."""
    voters = [view for view in views if view.member.voter]
    leavers = [view for view in voters if _may_leave(view, views, leader_id)]
    if len(voters) > wanted_voters and leavers:
        return MembershipChange(verb="remove", member=_first_to_leave(leavers, views).member)
    successor = _successor(views, leader_id)
    if successor is not None:
        return MembershipChange(verb="replace", member=successor.member)
    learner = _best_learner(views)
    if learner is not None and (len(voters) < wanted_voters or leavers):
        return MembershipChange(verb="promote", member=learner.member)
    return _forgotten_learner(views)


def is_superseded(view: PeerView, views: tuple[PeerView, ...]) -> bool:
    """Return whether another replica lives at a member's address."""
    same = [each for each in views if each.member.address == view.member.address]
    return len(same) > 1 and view.silence_s > min(each.silence_s for each in same)


def _may_leave(view: PeerView, views: tuple[PeerView, ...], leader_id: str) -> bool:
    if view.member.replica_id == leader_id:
        return False
    return is_superseded(view, views) or view.silence_s > VOTER_LOST_AFTER_S


def _first_to_leave(leavers: list[PeerView], views: tuple[PeerView, ...]) -> PeerView:
    return max(leavers, key=lambda view: (is_superseded(view, views), view.silence_s))


def _successor(views: tuple[PeerView, ...], leader_id: str) -> PeerView | None:
    """Return a learner that lives at the address of a superseded voter."""
    replaced = {
        view.member.address
        for view in views
        if view.member.voter and view.member.replica_id != leader_id and is_superseded(view, views)
    }
    fitting = [view for view in _live_learners(views) if view.member.address in replaced]
    return min(fitting, key=lambda view: view.member.replica_id, default=None)


def _live_learners(views: tuple[PeerView, ...]) -> list[PeerView]:
    return [
        view
        for view in views
        if not view.member.voter and view.caught_up and view.silence_s <= LEARNER_LIVE_S
    ]


def _best_learner(views: tuple[PeerView, ...]) -> PeerView | None:
    live = _live_learners(views)
    return min(live, key=lambda view: view.member.replica_id, default=None)


def _forgotten_learner(views: tuple[PeerView, ...]) -> MembershipChange | None:
    for view in views:
        gone = view.silence_s > LEARNER_LOST_AFTER_S or is_superseded(view, views)
        if not view.member.voter and gone:
            return MembershipChange(verb="remove", member=view.member)
    return None
