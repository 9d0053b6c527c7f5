"""Whether a target takes a new flow: the deciding function and its cold-start limit.

Admission sits at the agent, where the truth is: no control traffic and no lagging load report
takes part. A cold target starts with a small limit that doubles while it serves.
"""

from __future__ import annotations

import enum
from typing import Final

import attrs

from lentilcourse.agent.target import TargetHealth
from lentilcourse.refusals import Cause

COLD_SHARE: Final = 0.05
COLD_STEP_S: Final = 2.0


class Decline(enum.IntEnum):
    """Why an agent declines a new flow; travels in the packet label."""

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
    """What the decision on a new flow reads.

    Attributes:
        health: what the agent knows of the target.
        draining: whether operators drain the target.
        domain_out: whether the failure domain is out.
        stopping: whether the agent is stopping.
        open_flows: flows that the target holds.
        connections: flows that the target holds at most.
        warm_since: when the target last became cold (monotonic seconds).
        entry_flows: flows of the entry that the target holds.
        open_share: flows of the entry that this agent may hold; None for no limit.
        rate_left: new flows that the entry may open here now; None for no limit.
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
    """Return `Decline.NONE` to accept a new flow, or why it is declined."""
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


def cold_limit(full: int, cold_since: float, now: float) -> int:
    """Return the admission limit of a target that became cold at `cold_since`."""
    steps = max(0.0, now - cold_since) / COLD_STEP_S
    share = COLD_SHARE * 2.0 ** min(steps, 10.0)
    return max(1, int(full * min(1.0, share)))
