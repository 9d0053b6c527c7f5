"""Admission control for new flows, including the limit of a cold target.

The agent beside the target decides, because it knows the target's load at that moment: the
decision needs no control traffic and no load report that may be out of date. A cold target
starts with a small limit that doubles every `COLD_DOUBLING_S`.
"""

from __future__ import annotations

import enum
from typing import Final

import attrs

from lentilcourse.agent.target import TargetHealth
from lentilcourse.refusals import Cause

COLD_START_SHARE: Final = 0.05
COLD_DOUBLING_S: Final = 2.0


class Decline(enum.IntEnum):
    """Why an agent declines a new flow; sent in the packet label."""

    NONE = 0
    TARGET_FULL = 1
    TARGET_COLD = 2
    TARGET_DRAINING = 3
    TARGET_GONE = 4
    DOMAIN_OUT = 5
    OPEN_FLOWS = 6
    NEW_FLOWS = 7
    STOPPING = 8


DECLINE_CAUSE: Final = {
    Decline.TARGET_FULL: Cause.TARGET_FULL,
    Decline.TARGET_COLD: Cause.TARGET_COLD,
    Decline.TARGET_DRAINING: Cause.TARGET_DRAINING,
    Decline.TARGET_GONE: Cause.TARGET_GONE,
    Decline.DOMAIN_OUT: Cause.DOMAIN_OUT,
    Decline.STOPPING: Cause.STOPPING,
}


@attrs.frozen(kw_only=True)
class AdmissionView:
    """Inputs of the admission decision for a new flow.

    Attributes:
        health: health of the target as seen by the agent.
        draining: whether an operator has drained the target, or it has not joined yet.
        domain_out: whether the failure domain is out.
        stopping: whether the agent is stopping.
        open_flows: number of flows that the target holds.
        connections: maximum number of flows that the target accepts.
        cold_since: when the target last became cold (monotonic seconds).
        entry_flows: number of flows of the entry that the target holds.
        open_share: maximum number of flows of the entry at this agent; None for no limit.
        rate_left: number of new flows of the entry that this agent may accept now; None for no
            limit.
    """

    health: TargetHealth
    draining: bool
    domain_out: bool
    stopping: bool
    open_flows: int
    connections: int
    cold_since: float
    entry_flows: int
    open_share: int | None
    rate_left: int | None


def decide_new_flow(view: AdmissionView, now: float) -> Decline:
    """Return `Decline.NONE` if a new flow is accepted, otherwise the reason for declining it."""
    if view.domain_out:
        return Decline.DOMAIN_OUT
    if view.stopping:
        return Decline.STOPPING
    if view.draining or view.health is TargetHealth.DRAINING:
        return Decline.TARGET_DRAINING
    if view.health is not TargetHealth.SERVING:
        return Decline.TARGET_GONE
    if view.open_share is not None and view.entry_flows >= view.open_share:
        return Decline.OPEN_FLOWS
    if view.rate_left is not None and view.rate_left <= 0:
        return Decline.NEW_FLOWS
    if view.open_flows >= view.connections:
        return Decline.TARGET_FULL
    if view.open_flows >= cold_limit(view.connections, view.cold_since, now):
        return Decline.TARGET_COLD
    return Decline.NONE


def cold_limit(full_limit: int, cold_since: float, now: float) -> int:
    """Return the admission limit at `now` of a target that became cold at `cold_since`."""
    doublings = max(0.0, now - cold_since) / COLD_DOUBLING_S
    share = COLD_START_SHARE * 2.0 ** min(doublings, 10.0)
    return max(1, int(full_limit * min(1.0, share)))
