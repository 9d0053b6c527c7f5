"""Flow records of an agent, and packet counters of agents and balancers."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Final, TypeVar

import attrs

T = TypeVar("T")

CLOSED_LIFE_S: Final = 3.0
"""Time for which the record of a closed flow is kept, to handle late retransmissions."""


class FlowState(enum.Enum):
    """State of a flow as known to the agent.

    ASSUMED: the target may hold it, according to a balancer's hint or a lookup. OFFERED: the
    opening packet was delivered to the target. HELD: the target has sent packets of the flow.
    """

    ASSUMED = "assumed"
    OFFERED = "offered"
    HELD = "held"


@attrs.define(kw_only=True, slots=True)
class FlowRecord:
    """Record of a flow at an agent.

    Attributes:
        state: known state of the flow.
        target_run: run of the target to which the flow belongs.
        balancer: peer address of the balancer that forwarded the last packet.
        created_at: creation time of the record (monotonic seconds).
        last_packet_at: time of the last packet.
        awaiting_answer: whether a request is waiting for the target's answer.
        requested_at: time of the first data of that request.
        served_at_once: whether it found a free slot.
        caller_closed: whether the caller has closed its side.
        target_closed: whether the target has closed its side.
        from_lookup: whether an owner lookup created the record and its target has not answered.
        recalled: whether the record comes from the process before, and its target has not answered.
    """

    state: FlowState
    target_run: int
    balancer: tuple[str, int]
    created_at: float
    last_packet_at: float
    awaiting_answer: bool = False
    requested_at: float = 0.0
    served_at_once: bool = False
    caller_closed: bool = False
    target_closed: bool = False
    from_lookup: bool = False
    recalled: bool = False


@attrs.define(kw_only=True)
class AgentFlowCounts:
    """Packet counters of an agent since its start."""

    opened: int = 0
    delivered: int = 0
    answered: int = 0
    passed_on: int = 0
    passed_busy: int = 0
    refused: int = 0
    returned: int = 0
    sought: int = 0
    claimed: int = 0
    denied: int = 0
    queries: int = 0
    reset: int = 0


@attrs.define(kw_only=True)
class BalancerFlowCounts:
    """Packet counters of a balancer since its start.

    `searches` and `lookup_bytes` count the datagrams of owner lookups and their bytes.
    """

    received: int = 0
    opened: int = 0
    carried: int = 0
    sought: int = 0
    searches: int = 0
    lookup_bytes: int = 0
    replaced: int = 0
    unknown_entry: int = 0
    no_target: int = 0
    notices: int = 0


def remove_outdated(records: dict[bytes, T], outdated: Callable[[T], bool]) -> None:
    """Remove all records, kept by flow key, for which `outdated` returns True."""
    for flow in [flow for flow, record in records.items() if outdated(record)]:
        del records[flow]


def is_over(record: FlowRecord, idle_s: float, now: float) -> bool:
    """Return whether the record of a flow can be removed."""
    closed = record.caller_closed and record.target_closed
    return now - record.last_packet_at > (CLOSED_LIFE_S if closed else idle_s)
