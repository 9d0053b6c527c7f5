"""Selects the next membership change; runs on the leader.

A group that discovers its members through seeds replaces lost replicas without an operator:

- A learner that has caught up replaces, in one step, the voter that it supersedes.
- A learner that has caught up is promoted to voter when there are too few voters or one is lost.
- A voter is removed only while there are more voters than `wanted_voters`, so that the quorum
  never shrinks below that of `wanted_voters`; superseded voters are removed first, then lost ones.
- A voter is superseded when a member heard from more recently has its address: the voter's data
  folder is gone.
- A lost or superseded learner is removed.
"""

from __future__ import annotations

from typing import Final

import attrs

from lentilcourse.controller.progress import PeerView
from lentilcourse.messages.consensus import Member

VOTER_LOST_AFTER_S: Final = 3.0
"""Silence after which a voter may be replaced by a learner: longer than a restart takes."""
LEARNER_LOST_AFTER_S: Final = 30.0
"""Silence after which a learner is removed; it joins again when it returns."""
LEARNER_MAX_SILENCE_S: Final = 0.6
"""Maximum silence of a learner that may become a voter: one election timeout."""


@attrs.frozen(kw_only=True)
class MembershipChange:
    """One membership change; `verb` is "replace", "promote" or "remove" (`changed_membership`)."""

    verb: str
    member: Member


def due_membership_change(
    views: tuple[PeerView, ...], leader_id: str, wanted_voters: int
) -> MembershipChange | None:
    """Return the next membership change, None if none is due."""
    voters = [view for view in views if view.member.voter]
    removable = [view for view in voters if _is_removable(view, views, leader_id)]
    if len(voters) > wanted_voters and removable:
        return MembershipChange(verb="remove", member=_first_to_remove(removable, views).member)
    replacement = _replacement_learner(views, leader_id)
    if replacement is not None:
        return MembershipChange(verb="replace", member=replacement.member)
    learner = _learner_to_promote(views)
    if learner is not None and (len(voters) < wanted_voters or removable):
        return MembershipChange(verb="promote", member=learner.member)
    return _lost_learner_removal(views)


def is_superseded(view: PeerView, views: tuple[PeerView, ...]) -> bool:
    """Return whether another replica at the member's address was heard from more recently."""
    same_address = [each for each in views if each.member.address == view.member.address]
    return len(same_address) > 1 and view.silence_s > min(each.silence_s for each in same_address)


def _is_removable(view: PeerView, views: tuple[PeerView, ...], leader_id: str) -> bool:
    if view.member.replica_id == leader_id:
        return False
    return is_superseded(view, views) or view.silence_s > VOTER_LOST_AFTER_S


def _first_to_remove(removable: list[PeerView], views: tuple[PeerView, ...]) -> PeerView:
    return max(removable, key=lambda view: (is_superseded(view, views), view.silence_s))


def _replacement_learner(views: tuple[PeerView, ...], leader_id: str) -> PeerView | None:
    """Return a ready learner at the address of a superseded voter other than the leader."""
    superseded_addresses = {
        view.member.address
        for view in views
        if view.member.voter and view.member.replica_id != leader_id and is_superseded(view, views)
    }
    candidates = [
        view for view in _ready_learners(views) if view.member.address in superseded_addresses
    ]
    return min(candidates, key=lambda view: view.member.replica_id, default=None)


def _ready_learners(views: tuple[PeerView, ...]) -> list[PeerView]:
    return [
        view
        for view in views
        if not view.member.voter and view.caught_up and view.silence_s <= LEARNER_MAX_SILENCE_S
    ]


def _learner_to_promote(views: tuple[PeerView, ...]) -> PeerView | None:
    ready = _ready_learners(views)
    return min(ready, key=lambda view: view.member.replica_id, default=None)


def _lost_learner_removal(views: tuple[PeerView, ...]) -> MembershipChange | None:
    for view in views:
        removable = view.silence_s > LEARNER_LOST_AFTER_S or is_superseded(view, views)
        if not view.member.voter and removable:
            return MembershipChange(verb="remove", member=view.member)
    return None
