"""Leases of targets, held in memory by the leader.

An agent's announcement renews the lease of its target. Only joins, losses and
removals are written to the replicated log. A new leader grants every known target a full lease.
"""

from __future__ import annotations

import threading
from typing import Final

import attrs

from lentilcourse.actions import Action, JoinTarget, LoseTarget, RemoveTarget
from lentilcourse.messages.state import Announcement
from lentilcourse.model import State, Target, TargetState

LEASE_S: Final = 1.2
REMOVE_LOST_AFTER_S: Final = 120.0


@attrs.frozen(kw_only=True)
class Lease:
    """Last announcement of a target and its arrival time (boot time)."""

    announcement: Announcement
    renewed: float


class LeaseTable:
    """Leases by target name; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._leases: dict[str, Lease] = {}

    def renew(self, name: str, announcement: Announcement, now: float) -> None:
        """Renew the lease of a target."""
        with self._lock:
            self._leases[name] = Lease(announcement=announcement, renewed=now)

    def clear(self) -> None:
        """Discard all leases."""
        with self._lock:
            self._leases.clear()

    def snapshot(self) -> dict[str, Lease]:
        """Return a copy of the table."""
        with self._lock:
            return dict(self._leases)


def due_actions(
    state: State, leases: dict[str, Lease], leader_since: float, now: float
) -> list[Action]:
    """Return the target changes due to announcements and expired leases."""
    actions: list[Action] = []
    for name, lease in leases.items():
        if now - lease.renewed <= LEASE_S:
            actions.extend(_announced_actions(name, lease.announcement, state))
    for target in state.targets.values():
        current_lease = leases.get(target.name)
        renewed = current_lease.renewed if current_lease else leader_since
        actions.extend(_expired_actions(target, max(renewed, leader_since), now))
    return actions


def _announced_actions(name: str, announcement: Announcement, state: State) -> list[Action]:
    current = state.targets.get(name)
    if announcement.leaving:
        same_run = current is not None and current.incarnation == announcement.incarnation
        return [RemoveTarget(name=name, incarnation=announcement.incarnation)] if same_run else []
    if announcement.stopping:
        return _stopping_actions(name, announcement, current)
    if current is not None and _matches_target(announcement, current):
        return []
    return [
        JoinTarget(
            name=name,
            service=announcement.service,
            domain=announcement.domain,
            incarnation=announcement.incarnation,
            draining=announcement.draining,
            data_address=announcement.data_address,
            stream_address=announcement.stream_address,
            slots=announcement.slots,
            connections=announcement.connections,
            agent_run=announcement.agent_run,
        )
    ]


def _stopping_actions(
    name: str, announcement: Announcement, current: Target | None
) -> list[Action]:
    if current is None or current.lost or current.incarnation != announcement.incarnation:
        return []
    return [LoseTarget(name=name, incarnation=announcement.incarnation, planned=True)]


def _matches_target(announcement: Announcement, target: Target) -> bool:
    draining_applied = target.state is TargetState.DRAINING or not announcement.draining
    return (
        draining_applied
        and not target.lost
        and announcement.service == target.service
        and announcement.domain == target.domain
        and announcement.incarnation == target.incarnation
        and announcement.data_address == str(target.data_address)
        and announcement.stream_address == str(target.stream_address)
        and announcement.slots == target.slots
        and announcement.connections == target.connections
        and announcement.agent_run == target.agent_run
    )


def _expired_actions(target: Target, renewed: float, now: float) -> list[Action]:
    silence_s = now - renewed
    if not target.lost and silence_s > LEASE_S:
        return [LoseTarget(name=target.name, incarnation=target.incarnation)]
    if target.lost and silence_s > REMOVE_LOST_AFTER_S:
        return [RemoveTarget(name=target.name, incarnation=target.incarnation)]
    return []
