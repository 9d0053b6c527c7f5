"""Divides the limits of entries among the agents of their services.

Each agent enforces its share locally, without coordination. Shares are equal: a flow that
finds one agent's share exhausted is passed on to the next candidate, so uneven demand does not
require rebalancing. A share is reduced in two steps (see `model.LimitShare`).
"""

from __future__ import annotations

from collections import defaultdict

import attrs

from lentilcourse.actions import SetShares
from lentilcourse.buckets import takes_new_work
from lentilcourse.messages.state import Announcement
from lentilcourse.model import LIMIT_FIELDS, Entry, Limits, LimitShare, State, Target, share_name


def due_shares(state: State, announcements: dict[str, Announcement]) -> list[SetShares]:
    """Return the share updates due to changed targets, changed limits and reported usage."""
    stored: defaultdict[int, dict[str, LimitShare]] = defaultdict(dict)
    for share in state.shares.values():
        stored[share.entry_id][share.name] = share
    actions: list[SetShares] = []
    for entry in state.entries.values():
        action = _due_entry_shares(entry, stored[entry.entry_id], state, announcements)
        if action is not None:
            actions.append(action)
    return actions


def _due_entry_shares(
    entry: Entry,
    stored: dict[str, LimitShare],
    state: State,
    announcements: dict[str, Announcement],
) -> SetShares | None:
    if entry.limits == Limits():
        return SetShares(name=entry.name, shares=(), removed=tuple(stored)) if stored else None
    targets = state.service_targets(entry.service)
    current = [_current_share(entry, target, stored, announcements) for target in targets]
    desired = _desired_limits(entry, targets, state)
    shares = _adjusted_shares(entry.limits, current, desired)
    changed = tuple(share for share in shares if stored.get(share.name) != share)
    removed = tuple(sorted(stored.keys() - {share.name for share in shares}))
    if not changed and not removed:
        return None
    return SetShares(name=entry.name, shares=changed, removed=removed)


def _current_share(
    entry: Entry,
    target: Target,
    stored: dict[str, LimitShare],
    announcements: dict[str, Announcement],
) -> LimitShare:
    """Return a target's share, with `bound` lowered where its agent has confirmed the grant.

    An announcement confirms the grant if it comes from the target's current incarnation and is
    based on a state version that includes the last changes of the share and the entry. `bound`
    then falls to the greater of the grant and the reported usage.
    """
    name = share_name(entry.name, target.name)
    share = stored.get(name)
    if share is None or share.target_id != target.target_id:
        share = LimitShare(
            name=name,
            version=0,
            entry_id=entry.entry_id,
            target_id=target.target_id,
            granted=Limits(),
            bound=Limits(),
        )
    announcement = announcements.get(target.name)
    if announcement is None or announcement.incarnation != target.incarnation:
        return share
    if announcement.version < max(share.version, entry.version):
        return share
    used = next(
        (usage.used for usage in announcement.usage if usage.entry_id == entry.entry_id), Limits()
    )
    return attrs.evolve(share, bound=_elementwise_max(share.granted, used))


def _desired_limits(entry: Entry, targets: list[Target], state: State) -> list[Limits]:
    eligible = [
        target.name
        for target in targets
        if takes_new_work(target) and not state.domain_out(target.domain)
    ]
    return [
        (
            _equal_part(entry.limits, len(eligible), eligible.index(target.name))
            if target.name in eligible
            else Limits()
        )
        for target in targets
    ]


def _equal_part(limits: Limits, parts: int, index: int) -> Limits:
    def part(value: int) -> int:
        return value // parts + (index < value % parts)

    return Limits(**{name: part(getattr(limits, name)) for name in LIMIT_FIELDS})


def _adjusted_shares(
    limits: Limits, current: list[LimitShare], desired: list[Limits]
) -> list[LimitShare]:
    """Lower grants at once; raise others only by capacity that no agent can be using."""
    unallocated = {
        name: getattr(limits, name) - sum(getattr(share.bound, name) for share in current)
        for name in LIMIT_FIELDS
    }
    adjusted: list[LimitShare] = []
    for share, goal in zip(current, desired, strict=True):
        granted: dict[str, int] = {}
        bound: dict[str, int] = {}
        for name in LIMIT_FIELDS:
            current_grant, desired_grant = getattr(share.granted, name), getattr(goal, name)
            headroom = max(0, getattr(share.bound, name) - current_grant)
            raised = min(
                max(0, desired_grant - current_grant), headroom + max(0, unallocated[name])
            )
            granted[name] = min(current_grant, desired_grant) + raised
            bound[name] = max(getattr(share.bound, name), granted[name])
            unallocated[name] -= bound[name] - getattr(share.bound, name)
        adjusted.append(attrs.evolve(share, granted=Limits(**granted), bound=Limits(**bound)))
    return adjusted


def _elementwise_max(first: Limits, second: Limits) -> Limits:
    return Limits(
        **{name: max(getattr(first, name), getattr(second, name)) for name in LIMIT_FIELDS}
    )
