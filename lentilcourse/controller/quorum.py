"""Quorum arithmetic, and membership changes of one replica at a time."""

from __future__ import annotations

import attrs

from lentilcourse import error_texts
from lentilcourse.errors import ChangeRefusedError
from lentilcourse.messages.consensus import Member, Membership


def quorum_size(voters: int) -> int:
    """Return the quorum size (majority) for a number of voters."""
    return voters // 2 + 1


def committed_index(match_indexes: list[int]) -> int:
    """Return the highest log index held by a quorum, given each voter's match index."""
    if not match_indexes:
        return 0
    descending = sorted(match_indexes, reverse=True)
    return descending[quorum_size(len(descending)) - 1]


def changed_membership(membership: Membership, verb: str, member: Member) -> Membership:
    """Return the membership after one change; raises `ChangeRefusedError` if it has no effect.

    "replace" promotes a learner and removes the other members at its address, in one step. Their
    data folder is gone, so that every quorum that they could have been part of also holds a
    quorum's worth of the others: with n voters, any majority of the n - 1 others and any majority
    of the new n share a replica.
    """
    current = membership.find(member.replica_id)
    others = tuple(each for each in membership.members if each.replica_id != member.replica_id)
    if verb == "add" and current is None:
        return Membership(members=(*others, attrs.evolve(member, voter=False)))
    if verb == "promote" and current is not None and not current.voter:
        return Membership(members=(*others, attrs.evolve(current, voter=True)))
    if verb == "replace" and current is not None and not current.voter:
        kept = tuple(each for each in others if each.address != member.address)
        return Membership(members=(*kept, attrs.evolve(current, voter=True)))
    if verb == "remove" and current is not None:
        return Membership(members=others)
    raise ChangeRefusedError(error_texts.MEMBERSHIP_NO_CHANGE)
