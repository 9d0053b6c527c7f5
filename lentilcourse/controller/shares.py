"""Divides the limits of entries among the agents of their services.

Each agent decides alone within its share. The shares are even: a flow that finds the share of
one agent used up is passed on to the next candidate, so uneven demand needs no moving of
shares. A share that must shrink is lowered in two steps (see `model.LimitShare`).
"""

from __future__ import annotations

from collections import defaultdict

import attrs

from lentilcourse.actions import SetShares
from lentilcourse.buckets import takes_new_work
from lentilcourse.messages.state import Announcement
from lentilcourse.model import LIMIT_FIELDS, Entry, Limits, LimitShare, State, Target, share_name


def due_shares(state: State, announcements: dict[str, Announcement]) -> list[SetShares]:
    """Return the changes of shares that membership, limits and confirmations call for."""
    held: defaultdict[int, dict[str, LimitShare]] = defaultdict(dict)
    for share in state.shares.values():
        held[share.entry_id][share.name] = share
    actions: list[SetShares] = []
    for entry in state.entries.values():
        action = _entry_shares(entry, held[entry.entry_id], state, announcements)
        if action is not None:
            actions.append(action)
    return actions


def _entry_shares(
    entry: Entry,
    held: dict[str, LimitShare],
    state: State,
    announcements: dict[str, Announcement],
) -> SetShares | None:
    if entry.limits == Limits():
        return SetShares(name=entry.name, shares=(), removed=tuple(held)) if held else None
    targets = state.service_targets(entry.service)
    current = [_current_share(entry, target, held, announcements) for target in targets]
    wanted = _wanted_limits(entry, targets, state)
    shares = _moved_towards(entry.limits, current, wanted)
    changed = tuple(share for share in shares if held.get(share.name) != share)
    removed = tuple(sorted(held.keys() - {share.name for share in shares}))
    if not changed and not removed:
        return None
    return SetShares(name=entry.name, shares=changed, removed=removed)


def _current_share(
    entry: Entry,
    target: Target,
    held: dict[str, LimitShare],
    announcements: dict[str, Announcement],
) -> LimitShare:
    """Return a target's share, with its bound lowered if the agent has shown that it may be."""
    name = share_name(entry.name, target.name)
    share = held.get(name)
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
        (each.used for each in announcement.usage if each.entry_id == entry.entry_id), Limits()
    )
    return attrs.evolve(share, bound=_greater(share.granted, used))


def _wanted_limits(entry: Entry, targets: list[Target], state: State) -> list[Limits]:
    takers = [
        target.name
        for target in targets
        if takes_new_work(target) and not state.domain_out(target.domain)
    ]
    return [
        (
            _divided(entry.limits, len(takers), takers.index(target.name))
            if target.name in takers
            else Limits()
        )
        for target in targets
    ]


def _divided(limits: Limits, parts: int, index: int) -> Limits:
    def part(value: int) -> int:
        return value // parts + (index < value % parts)

    return Limits(**{name: part(getattr(limits, name)) for name in LIMIT_FIELDS})


def _moved_towards(
    limits: Limits, current: list[LimitShare], wanted: list[Limits]
) -> list[LimitShare]:
    """Lower what must shrink at once; raise the others by what is free for certain."""
    free = {
        name: getattr(limits, name) - sum(getattr(share.bound, name) for share in current)
        for name in LIMIT_FIELDS
    }
    moved: list[LimitShare] = []
    for share, goal in zip(current, wanted, strict=True):
        granted: dict[str, int] = {}
        bound: dict[str, int] = {}
        for name in LIMIT_FIELDS:
            have, want = getattr(share.granted, name), getattr(goal, name)
            room = max(0, getattr(share.bound, name) - have)
            raised = min(max(0, want - have), room + max(0, free[name]))
            granted[name] = min(have, want) + raised
            bound[name] = max(getattr(share.bound, name), granted[name])
            free[name] -= bound[name] - getattr(share.bound, name)
        moved.append(attrs.evolve(share, granted=Limits(**granted), bound=Limits(**bound)))
    return moved


def _greater(first: Limits, second: Limits) -> Limits:
    return Limits(
        **{name: max(getattr(first, name), getattr(second, name)) for name in LIMIT_FIELDS}
    )
