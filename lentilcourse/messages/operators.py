"""Messages between operators and controllers."""

from __future__ import annotations

from typing import Final

import attrs

from lentilcourse.actions import Action
from lentilcourse.messages.base import message
from lentilcourse.messages.consensus import Member, Membership
from lentilcourse.messages.state import Report
from lentilcourse.model import State

CALL_TIMEOUT_S: Final = 5.0
"""Time for which an operator's client waits for a controller before it asks another one."""


@message
@attrs.frozen(kw_only=True)
class ProposeChange:
    """An operator or process asks for a change."""

    change_id: str
    edit_version: int
    action: Action


@message
@attrs.frozen(kw_only=True)
class BootstrapRequest:
    """Make an empty controller a member of a new group."""

    membership: Membership


@message
@attrs.frozen(kw_only=True)
class MembershipRequest:
    """Add, promote or remove one replica; `verb` is "add", "promote" or "remove"."""

    verb: str
    member: Member


@message
@attrs.frozen(kw_only=True)
class StateRequest:
    """Ask for the state in force at a controller."""


@message
@attrs.frozen(kw_only=True)
class StateReply:
    """The committed state."""

    state: State


@attrs.frozen(kw_only=True)
class AuditRecord:
    """One line of the audit trail.

    Attributes:
        sequence: position in the trail.
        at_ms: wall-clock time in ms since 1970.
        operator: who asked.
        source: from which address.
        change_id: identity of the change.
        subject: record that was to change.
        summary: what was asked for.
        version_before: state version before.
        version_after: state version after; the same for a refusal.
        verdict: how it ended.
        reason: why it was refused.
    """

    sequence: int
    at_ms: int
    operator: str
    source: str
    change_id: str
    subject: str
    summary: str
    version_before: int
    version_after: int
    verdict: str
    reason: str


@message
@attrs.frozen(kw_only=True)
class AuditRequest:
    """Search the audit trail; empty strings match all."""

    subject: str = ""
    operator: str = ""
    verdict: str = ""
    last: int = 50


@message
@attrs.frozen(kw_only=True)
class AuditReply:
    """Matching records, oldest first."""

    records: tuple[AuditRecord, ...]


@message
@attrs.frozen(kw_only=True)
class StatusRequest:
    """Ask a controller about itself and its subscribers."""


@message
@attrs.frozen(kw_only=True)
class StatusReply:
    """State of one controller and the reports of its subscribers."""

    name: str
    replica_id: str
    role: str
    term: int
    leader: str
    version: int
    log_index: int
    commit_index: int
    freshness_ms: int
    damaged: bool
    membership: Membership
    reports: tuple[Report, ...]
