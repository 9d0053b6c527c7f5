"""What operators and the system ask of the replicated state, and how it ended.

A `Change` travels through the replicated log; `changes` decides on it.
"""

from __future__ import annotations

import enum
from typing import Final, TypeAlias

import attrs

from lentilcourse.catalogue import Catalogue
from lentilcourse.model import (
    LimitShare,
)

ANY_VERSION: Final = -1


SYSTEM_OPERATOR: Final = "system"


UNKNOWN_OPERATOR: Final = "unknown"


@attrs.frozen(kw_only=True)
class PutEntry:
    """Create an entry (edit version 0) or replace its fields."""

    name: str
    service: str
    owner: str
    traffic_class: str
    protocol: str
    address: str
    open_flows: int = 0
    new_flows_per_s: int = 0
    requests_in_flight: int = 0


@attrs.frozen(kw_only=True)
class DeleteEntry:
    """Delete an entry."""

    name: str


@attrs.frozen(kw_only=True)
class SetDomain:
    """Take a failure domain out of service ("out") or bring it back ("in")."""

    name: str
    state: str


@attrs.frozen(kw_only=True)
class DrainTarget:
    """Stop new work on a target."""

    name: str


@attrs.frozen(kw_only=True)
class JoinTarget:
    """Enter a target that announced itself, or renew one whose incarnation changed."""

    name: str
    service: str
    domain: str
    incarnation: str
    draining: bool
    data_address: str
    stream_address: str
    slots: int
    connections: int
    agent_run: str = ""


@attrs.frozen(kw_only=True)
class LoseTarget:
    """Mark a target whose lease has expired; applies to the given incarnation only.

    `planned` says that its agent stops as planned and is expected back.
    """

    name: str
    incarnation: str
    planned: bool = False


@attrs.frozen(kw_only=True)
class RemoveTarget:
    """Forget a target that left or stayed lost; applies to the given incarnation only."""

    name: str
    incarnation: str


@attrs.frozen(kw_only=True)
class SetShares:
    """Replace the shares of agents in the limits of the entry `name`."""

    name: str
    shares: tuple[LimitShare, ...]
    removed: tuple[str, ...]


@attrs.frozen(kw_only=True)
class RefusedAccess:
    """Changes nothing: enters a peer that did not prove a key in the audit trail."""

    name: str
    reason: str


@attrs.frozen(kw_only=True)
class PublishCatalogue:
    """Replace the published catalogue by one with a higher number.

    A catalogue whose number is not higher is accepted and changes nothing, so that a resend
    is never refused.
    """

    name: str
    catalogue: Catalogue


@attrs.frozen(kw_only=True)
class RegisterAgent:
    """Enter an agent that may hold flows."""

    name: str


@attrs.frozen(kw_only=True)
class ForgetAgent:
    """Remove an agent that has ended as planned, or is silent for longer than flows live."""

    name: str


Action: TypeAlias = (
    PutEntry
    | RegisterAgent
    | ForgetAgent
    | PublishCatalogue
    | DeleteEntry
    | SetDomain
    | DrainTarget
    | JoinTarget
    | LoseTarget
    | RemoveTarget
    | SetShares
    | RefusedAccess
)


@attrs.frozen(kw_only=True)
class Change:
    """One change as it stands in the log.

    Attributes:
        change_id: identity chosen by the sender; a resend carries the same one.
        operator: who asked, as proved by a key; "system" for membership.
        source: address that the change came from.
        at_ms: wall-clock time of acceptance into the log, in ms since 1970.
        edit_version: version of the record that the operator edited, 0 to create,
            `ANY_VERSION` for system changes.
        action: what to change.
    """

    change_id: str
    operator: str
    source: str
    at_ms: int
    edit_version: int
    action: Action


class Verdict(enum.Enum):
    """How a change ended."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"


@attrs.frozen(kw_only=True)
class Outcome:
    """Outcome of a change.

    Attributes:
        change_id: the change.
        verdict: how it ended.
        version: state version after it (accepted), or record version in force (conflict).
        field: field that was refused, if one was.
        reason: why it was refused.
    """

    change_id: str
    verdict: Verdict
    version: int
    field: str = ""
    reason: str = ""


def summarize(action: Action) -> str:
    """Return one line that says what an action changes."""
    if isinstance(action, PublishCatalogue):
        return f"PublishCatalogue number={action.catalogue.number}"
    fields = attrs.asdict(action)
    words = " ".join(f"{key}={value}" for key, value in fields.items() if value not in ("", 0))
    return f"{type(action).__name__} {words}"


def change_size(change: Change) -> int:
    """Return the bytes of the document that a change carries, 0 for one without."""
    action = change.action
    return len(action.catalogue.document) if isinstance(action, PublishCatalogue) else 0


def subject(action: Action) -> str:
    """Return the name of the record that an action changes."""
    return action.name
