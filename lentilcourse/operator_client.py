"""An operator's session with the controllers, for the command line and for tools.

A request goes to any controller; when one does not answer the next is tried. A change keeps
its change id over all tries, so that a resend after a lost answer returns the first outcome.
"""

from __future__ import annotations

import time
from typing import Final, TypeVar

from lentilcourse import error_texts
from lentilcourse.actions import Action, Outcome, Verdict
from lentilcourse.errors import (
    AuthenticationError,
    ChangeRefusedError,
    LentilcourseError,
    ProposalUnknownError,
    StreamError,
)
from lentilcourse.ids import new_id
from lentilcourse.messages.base import Done, Failure
from lentilcourse.messages.consensus import ChangeReply, Member, Membership
from lentilcourse.messages.operators import (
    CALL_TIMEOUT_S,
    AuditRecord,
    AuditReply,
    AuditRequest,
    BootstrapRequest,
    MembershipRequest,
    ProposeChange,
    StateReply,
    StateRequest,
    StatusReply,
    StatusRequest,
)
from lentilcourse.messages.state import Report
from lentilcourse.model import State
from lentilcourse.options import Address, Settings
from lentilcourse.streams import KIND_OPERATOR, Identity, Stream, connect_stream

R = TypeVar("R")

CHANGE_TIMEOUT_S: Final = 15.0
RETRY_DELAY_S: Final = 0.2
WAIT_POLL_S: Final = 0.1
RETRIED_FAILURES: Final = frozenset({"NotLeaderError", "OrderExpiredError", "ProposalUnknownError"})


class NoControllerError(LentilcourseError):
    """No controller gave an answer."""


class OperatorClient:
    """Calls controllers in the name of one operator.

    Attributes:
        settings: settings of the operator.
    """

    def __init__(self, *, settings: Settings) -> None:
        self.settings = settings
        self._identity = Identity(
            name=settings.process.name, kind=KIND_OPERATOR, key=settings.operator_key
        )

    @property
    def controllers(self) -> dict[str, Address]:
        """Addresses of the controllers by name."""
        return dict(self.settings.controllers)

    def change(self, action: Action, edit_version: int, change_id: str = "") -> Outcome:
        """Return the outcome of a change; raises `ProposalUnknownError` when it stays unknown."""
        req = ProposeChange(
            change_id=change_id or new_id(), edit_version=edit_version, action=action
        )
        deadline = time.monotonic() + CHANGE_TIMEOUT_S
        while True:
            try:
                return self._any(req, ChangeReply).outcome
            except NoControllerError:
                if time.monotonic() >= deadline:
                    raise
            time.sleep(RETRY_DELAY_S)

    def change_at(self, name: str, action: Action, edit_version: int) -> Outcome:
        """Return the outcome of a change that is sent to one controller, once."""
        req = ProposeChange(change_id=new_id(), edit_version=edit_version, action=action)
        return self._one(name, req, ChangeReply).outcome

    def state(self) -> State:
        """Return the newest state that a controller serves."""
        newest = max(self.statuses(), key=lambda status: (status.version, -status.freshness_ms))
        return self._one(newest.name, StateRequest(), StateReply).state

    def statuses(self) -> list[StatusReply]:
        """Return the status of every controller that answers; raises `NoControllerError`."""
        found: list[StatusReply] = []
        causes: list[str] = []
        for name in sorted(self.controllers):
            try:
                found.append(self._one(name, StatusRequest(), StatusReply))
            except StreamError as exc:
                causes.append(f"{name}: {exc}")
        if not found:
            raise self._none_answered(causes)
        return found

    def reports(self) -> list[Report]:
        """Return the newest report of every process that a controller has heard."""
        newest: dict[str, Report] = {}
        for status in self.statuses():
            for report in status.reports:
                held = newest.get(report.name)
                if held is None or report.age_ms < held.age_ms:
                    newest[report.name] = report
        return sorted(newest.values(), key=lambda report: report.name)

    def wait_in_force(self, version: int, timeout_s: float) -> list[str]:
        """Wait until every process has a version in force; returns those that have not."""
        deadline = time.monotonic() + timeout_s
        while True:
            missing = [each.name for each in self.reports() if each.version < version]
            if not missing or time.monotonic() >= deadline:
                return missing
            time.sleep(WAIT_POLL_S)

    def audit(self, req: AuditRequest) -> tuple[AuditRecord, ...]:
        """Return matching records of the audit trail, from the controller that has most of it."""
        furthest = max(self.statuses(), key=lambda status: status.commit_index)
        return self._one(furthest.name, req, AuditReply).records

    def bootstrap(self) -> Membership:
        """Make the configured controllers one group; repeating it finishes a broken try."""
        statuses = self.statuses()
        missing = set(self.controllers) - {status.name for status in statuses}
        if missing:
            raise self._none_answered([f"{name}: no answer" for name in sorted(missing)])
        membership = _started_membership(statuses) or self._new_membership(statuses)
        for status in statuses:
            self._one(status.name, BootstrapRequest(membership=membership), Done)
        return membership

    def change_membership(self, verb: str, member: Member) -> None:
        """Add, promote or remove a replica through the leader."""
        leader = self.leader()
        self._one(leader, MembershipRequest(verb=verb, member=member), Done)

    def leader(self) -> str:
        """Return the name of the leading controller; raises `NoControllerError`."""
        for status in self.statuses():
            if status.role == "leader":
                return status.name
        raise self._none_answered(["no controller leads now; retry"])

    def _new_membership(self, statuses: list[StatusReply]) -> Membership:
        return Membership(
            members=tuple(
                Member(
                    replica_id=status.replica_id,
                    name=status.name,
                    address=str(self.controllers[status.name]),
                    voter=True,
                )
                for status in statuses
            )
        )

    def _any(self, req: object, reply_class: type[R]) -> R:
        causes: list[str] = []
        for name in sorted(self.controllers):
            try:
                return self._one(name, req, reply_class)
            except AuthenticationError:
                raise
            except (StreamError, ProposalUnknownError) as exc:
                causes.append(f"{name}: {exc}")
        raise self._none_answered(causes)

    def _one(self, name: str, req: object, reply_class: type[R]) -> R:
        stream = connect_stream(self.controllers[name], self._identity)
        try:
            return _checked(_call(stream, req), reply_class)
        finally:
            stream.close()

    def _none_answered(self, causes: list[str]) -> NoControllerError:
        text = error_texts.CLI_NO_CONTROLLER.format(
            causes="; ".join(causes), file=self.settings.file
        )
        return NoControllerError(text)


def _call(stream: Stream, req: object) -> object:
    stream.set_timeout(CALL_TIMEOUT_S)
    return stream.call(req)


def _checked(reply: object, reply_class: type[R]) -> R:
    if isinstance(reply, reply_class):
        return reply
    if isinstance(reply, Failure) and reply.code in RETRIED_FAILURES:
        raise ProposalUnknownError(reply.text)
    if isinstance(reply, Failure):
        raise ChangeRefusedError(reply.text)
    raise StreamError(error_texts.MESSAGE_UNEXPECTED.format(name=type(reply).__name__))


def _started_membership(statuses: list[StatusReply]) -> Membership | None:
    known = [status.membership for status in statuses if status.membership.members]
    return known[0] if known else None


def is_accepted(outcome: Outcome) -> bool:
    """Return whether a change was accepted."""
    return outcome.verdict is Verdict.ACCEPTED
