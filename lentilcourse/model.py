"""The replicated state: catalogue entries, failure domains and targets.

The controllers agree on a `State`; every other process holds a copy at some version.
Records are immutable and keyed by name; a version is the number of accepted changes.
"""

from __future__ import annotations

import enum
from typing import Final, TypeVar

import attrs

from lentilcourse.catalogue import NO_CATALOGUE, Catalogue
from lentilcourse.options import Address


class Protocol(enum.Enum):
    """How callers reach an entry."""

    UDP = "udp"
    TCP = "tcp"
    HTTP = "http"


class TrafficClass(enum.Enum):
    """Class of an entry; ranks its traffic when targets are short."""

    INTERACTIVE = "interactive"
    STANDARD = "standard"
    BULK = "bulk"


CLASS_RANK: Final = {
    TrafficClass.INTERACTIVE: 0,
    TrafficClass.STANDARD: 1,
    TrafficClass.BULK: 2,
}


class DomainState(enum.Enum):
    """Whether a failure domain is in service."""

    IN = "in"
    OUT = "out"


class TargetState(enum.Enum):
    """Whether a target takes new work (ACTIVE) or only keeps what it has (DRAINING)."""

    ACTIVE = "active"
    DRAINING = "draining"


@attrs.frozen(kw_only=True)
class Limits:
    """What an owner lets an entry take; 0 means no limit.

    Attributes:
        open_flows: the most open flows.
        new_flows_per_s: the most new flows in one second.
        requests_in_flight: the most requests that run at once.
    """

    open_flows: int = 0
    new_flows_per_s: int = 0
    requests_in_flight: int = 0


LIMIT_FIELDS: Final = tuple(field.name for field in attrs.fields(Limits))


@attrs.frozen(kw_only=True)
class Entry:
    """One catalogue entry.

    Attributes:
        name: unique name; requests name it in their Host header.
        entry_id: version at which the entry was created; never used twice.
        version: version of the last change of this entry.
        service: service whose targets take the traffic.
        owner: who answers for the limits.
        traffic_class: rank of the traffic.
        protocol: how callers reach the entry.
        address: service address of the entry; unique with the protocol.
        limits: the owner's limits.
    """

    name: str
    entry_id: int
    version: int
    service: str
    owner: str
    traffic_class: TrafficClass
    protocol: Protocol
    address: Address
    limits: Limits


@attrs.frozen(kw_only=True)
class Domain:
    """State of one failure domain; `version` is that of its last change."""

    name: str
    version: int
    state: DomainState


@attrs.frozen(kw_only=True)
class Target:
    """One target with the agent beside it.

    Attributes:
        name: name of the agent's process.
        target_id: version at which the target joined; never used twice.
        version: version of the last change of this target.
        service: service that the target announced.
        domain: failure domain of its VM.
        incarnation: identity of the target's run, chosen by the target.
        state: whether it takes new work.
        agent_run: identity of the agent's process; new after each restart.
        agent_restarts: how often the agent has restarted beside this run of the target.
        planned_stop: whether its agent was stopped as planned and is expected back.
        lost: whether its lease has expired; it takes no new work then, yet its flows stay known.
        data_address: UDP address of the agent.
        stream_address: TCP address of the agent.
        slots: requests that the target runs at once.
        connections: flows that the target holds at most.
    """

    name: str
    target_id: int
    version: int
    service: str
    domain: str
    incarnation: str
    state: TargetState
    lost: bool
    data_address: Address
    stream_address: Address
    slots: int
    connections: int
    agent_run: str = ""
    agent_restarts: int = 0
    planned_stop: bool = False


@attrs.frozen(kw_only=True)
class LimitShare:
    """The part of an entry's limits that one agent may use.

    A share is lowered in two steps: `granted` falls at once, `bound` only when the agent has
    shown that it keeps to it. The bounds of an entry's shares never add up to more than its
    limit, so that the limit holds whatever each agent knows.

    Attributes:
        name: "ENTRY/TARGET".
        version: version of the last change of this share.
        entry_id: entry that the limits belong to.
        target_id: target that the share belongs to.
        granted: what the agent may use.
        bound: the most that the agent may be using.
    """

    name: str
    version: int
    entry_id: int
    target_id: int
    granted: Limits
    bound: Limits


@attrs.frozen(kw_only=True)
class RegisteredAgent:
    """An agent that may hold flows, whether or not it is heard now.

    Attributes:
        name: its process.
        version: version at which it was registered.
    """

    name: str
    version: int


def share_name(entry: str, target: str) -> str:
    """Return the name of the share of a target in an entry's limits."""
    return f"{entry}/{target}"


@attrs.frozen(kw_only=True)
class State:
    """The whole replicated state at one version."""

    version: int = 0
    entries: dict[str, Entry] = attrs.field(factory=dict)
    domains: dict[str, Domain] = attrs.field(factory=dict)
    targets: dict[str, Target] = attrs.field(factory=dict)
    shares: dict[str, LimitShare] = attrs.field(factory=dict)
    catalogue: Catalogue = NO_CATALOGUE
    agents: dict[str, RegisteredAgent] = attrs.field(factory=dict)

    def domain_out(self, domain: str) -> bool:
        """Return whether operators have taken `domain` out of service."""
        record = self.domains.get(domain)
        return record is not None and record.state is DomainState.OUT

    def granted_share(self, entry: Entry, target: Target) -> Limits:
        """Return what one target's agent may use of an entry's limits; nothing without a share."""
        share = self.shares.get(share_name(entry.name, target.name))
        if share is None or (share.entry_id, share.target_id) != (entry.entry_id, target.target_id):
            return Limits()
        return share.granted

    def service_targets(self, service: str) -> list[Target]:
        """Return the targets of `service` in every membership state, ordered by name."""
        members = [target for target in self.targets.values() if target.service == service]
        return sorted(members, key=lambda target: target.name)


@attrs.frozen(kw_only=True)
class StateDelta:
    """The records that one accepted change replaced or removed.

    Applying the deltas of versions 1..n to an empty state gives the state at version n.
    """

    version: int
    entries: tuple[Entry, ...] = ()
    domains: tuple[Domain, ...] = ()
    targets: tuple[Target, ...] = ()
    removed_entries: tuple[str, ...] = ()
    removed_targets: tuple[str, ...] = ()
    shares: tuple[LimitShare, ...] = ()
    removed_shares: tuple[str, ...] = ()
    catalogue: Catalogue | None = None
    agents: tuple[RegisteredAgent, ...] = ()
    removed_agents: tuple[str, ...] = ()


NamedRecord = TypeVar("NamedRecord", Entry, Domain, Target, LimitShare, RegisteredAgent)


def apply_delta(state: State, delta: StateDelta) -> State:
    """Return the state after `delta`; a delta that is not the next one changes nothing."""
    if delta.version != state.version + 1:
        return state
    return State(
        version=delta.version,
        entries=_replaced(state.entries, delta.entries, delta.removed_entries),
        domains=_replaced(state.domains, delta.domains, ()),
        targets=_replaced(state.targets, delta.targets, delta.removed_targets),
        shares=_replaced(state.shares, delta.shares, delta.removed_shares),
        catalogue=delta.catalogue if delta.catalogue is not None else state.catalogue,
        agents=_replaced(state.agents, delta.agents, delta.removed_agents),
    )


def _replaced(
    records: dict[str, NamedRecord], puts: tuple[NamedRecord, ...], removed: tuple[str, ...]
) -> dict[str, NamedRecord]:
    if not puts and not removed:
        return records
    result = dict(records)
    for record in puts:
        result[record.name] = record
    for name in removed:
        result.pop(name, None)
    return result
