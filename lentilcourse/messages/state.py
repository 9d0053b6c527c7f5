"""Messages by which processes follow the replicated state and report."""

from __future__ import annotations

from typing import Final

import attrs

from lentilcourse.messages.base import message
from lentilcourse.model import Limits, State, StateDelta

MAX_FRESHNESS_MS: Final = 1_000_000_000
"""Age that a controller names as long as no leader has confirmed its state since its start."""


@attrs.frozen(kw_only=True)
class Report:
    """What a process says of itself.

    Attributes:
        name: process.
        role: its role.
        domain: its failure domain.
        version: state version in force there.
        flows: open flows that it owns.
        requests: requests in flight.
        refusals: refusals by reason since its start.
        admin_address: its admin listener, IP:PORT.
        age_ms: time since the report came in, set by the controller.
    """

    name: str
    role: str
    domain: str
    version: int
    flows: int = 0
    requests: int = 0
    refusals: dict[str, int] = attrs.field(factory=dict)
    admin_address: str = ""
    age_ms: int = 0


@message
@attrs.frozen(kw_only=True)
class ControllerList:
    """Stream addresses (IP:PORT) of the controllers, from one of them to a subscriber."""

    addresses: tuple[str, ...]


@message
@attrs.frozen(kw_only=True)
class Subscribe:
    """Ask for every version after `version`.

    `digests` says that the subscriber understands `AgentDigest`; earlier builds get whole lists.
    """

    name: str
    version: int
    digests: bool = False


@message
@attrs.frozen(kw_only=True)
class FullState:
    """The whole state, for a subscriber too far behind for deltas."""

    state: State


@message
@attrs.frozen(kw_only=True)
class Delta:
    """The next version."""

    delta: StateDelta


@message
@attrs.frozen(kw_only=True)
class Freshness:
    """How long ago a quorum last confirmed what this controller serves.

    `age_ms` is at most `MAX_FRESHNESS_MS`.
    """

    age_ms: int


@attrs.frozen(kw_only=True)
class EntryUsage:
    """What one agent uses of an entry's limits.

    Attributes:
        entry_id: entry.
        used: open flows, new flows in the last second, requests in flight.
    """

    entry_id: int
    used: Limits


@attrs.frozen(kw_only=True)
class Announcement:
    """A target as its agent announces it; renews the target's lease.

    `version` is the state version in force at the agent, and `usage` what it uses of limited
    entries. `agent_run` is the identity of the agent's process, and `stopping` says that it
    stops as planned.
    """

    service: str
    domain: str
    incarnation: str
    draining: bool
    leaving: bool
    data_address: str
    stream_address: str
    slots: int
    connections: int
    version: int = 0
    usage: tuple[EntryUsage, ...] = ()
    agent_run: str = ""
    stopping: bool = False


@message
@attrs.frozen(kw_only=True)
class ReportMessage:
    """A subscriber reports itself, and an agent its target."""

    report: Report
    announcement: Announcement | None


@message
@attrs.frozen(kw_only=True)
class ForwardAnnouncement:
    """A controller passes a target's announcement on to the leader."""

    name: str
    announcement: Announcement
