"""What an agent remembers of flows, and what it counts."""

from __future__ import annotations

import enum
from typing import Final

import attrs

CLOSED_LIFE_S: Final = 3.0
"""Time for which a closed flow is remembered, for late copies of its last packets."""


class FlowState(enum.Enum):
    """What the agent knows of a flow.

    ASSUMED: a balancer believes that the target holds it. OFFERED: the opening packet was
    delivered. HELD: the target has sent packets of it.
    """

    ASSUMED = "assumed"
    OFFERED = "offered"
    HELD = "held"


@attrs.define(kw_only=True, slots=True)
class FlowRecord:
    """One flow at this agent.

    Attributes:
        state: what is known of it.
        run: run of the target that it belongs to.
        balancer: balancer that took its last packet.
        began: when the record was made (monotonic seconds).
        seen: when its last packet passed.
        waiting: whether a request waits for the target's answer.
        asked: when that request's first data passed.
        caller_closed: whether the caller has ended its side.
        target_closed: whether the target has ended its side.
        search: kind of the search that led to an ASSUMED record; 0 for none.
    """

    state: FlowState
    run: int
    balancer: tuple[str, int]
    began: float
    seen: float
    waiting: bool = False
    asked: float = 0.0
    caller_closed: bool = False
    target_closed: bool = False
    search: int = 0


@attrs.define(kw_only=True)
class AgentFlowCounts:
    """What the agent has done with packets since its start."""

    opened: int = 0
    delivered: int = 0
    answered: int = 0
    passed_on: int = 0
    refused: int = 0
    returned: int = 0
    sought: int = 0
    claimed: int = 0
    denied: int = 0


def is_over(record: FlowRecord, idle_s: float, now: float) -> bool:
    """Return whether a flow may be forgotten."""
    closed = record.caller_closed and record.target_closed
    return now - record.seen > (CLOSED_LIFE_S if closed else idle_s)
