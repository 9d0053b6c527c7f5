"""Typed messages between the processes of the system, and with operators.

One class a message. `codec` puts them on the wire under their class name; to add a message,
add a class with the `message` decorator and handle it with `singledispatch` at the receiver.
"""

from __future__ import annotations

from typing import Final, TypeVar

import attrs

from lentilcourse.changes import Action, Change, Outcome
from lentilcourse.model import Limits, State, StateDelta

M = TypeVar("M")

MESSAGE_CLASSES: Final[dict[str, type]] = {}


def message(cls: type[M]) -> type[M]:
    """Enter a class in the table of messages."""
    MESSAGE_CLASSES[cls.__name__] = cls
    return cls


# Handshake and heartbeat: every stream.


@message
@attrs.frozen(kw_only=True)
class Challenge:
    """First message of the accepting side: a nonce to prove a key over."""

    nonce: bytes


@message
@attrs.frozen(kw_only=True)
class Hello:
    """Who connects; `kind` is "process" or "operator"."""

    name: str
    kind: str
    nonce: bytes
    proof: bytes


@message
@attrs.frozen(kw_only=True)
class Welcome:
    """The accepting side proves the same key."""

    name: str
    proof: bytes


@message
@attrs.frozen(kw_only=True)
class Failure:
    """A request could not be served; `code` is an error class name, `text` says why."""

    code: str
    text: str


@message
@attrs.frozen(kw_only=True)
class Heartbeat:
    """Sent on an idle stream; carries nothing."""


# Replication between controllers.


@attrs.frozen(kw_only=True)
class Member:
    """One replica of the replicated log.

    Attributes:
        replica_id: identity of one data folder, never used twice.
        name: controller process.
        address: its listener, IP:PORT.
        voter: whether it counts for the quorum; a learner only receives.
    """

    replica_id: str
    name: str
    address: str
    voter: bool


@attrs.frozen(kw_only=True)
class Membership:
    """The replicas that hold the log."""

    members: tuple[Member, ...]

    def voters(self) -> tuple[Member, ...]:
        """Return the members that vote."""
        return tuple(member for member in self.members if member.voter)

    def find(self, replica_id: str) -> Member | None:
        """Return the member with an identity."""
        return next((each for each in self.members if each.replica_id == replica_id), None)


@attrs.frozen(kw_only=True)
class LogEntry:
    """One record of the replicated log; holds a change, a membership, or neither."""

    index: int
    term: int
    change: Change | None = None
    membership: Membership | None = None


@message
@attrs.frozen(kw_only=True)
class VoteRequest:
    """A candidate asks for a vote, or with `pre_vote` whether it would get one."""

    term: int
    candidate_id: str
    receiver_id: str
    last_index: int
    last_term: int
    pre_vote: bool


@message
@attrs.frozen(kw_only=True)
class VoteReply:
    """Answer to `VoteRequest`."""

    term: int
    granted: bool


@message
@attrs.frozen(kw_only=True)
class AppendRequest:
    """The leader replicates entries that follow `previous_index`.

    `quorum_age_ms` is the time since a quorum last confirmed the leader.
    """

    term: int
    leader_id: str
    receiver_id: str
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    quorum_age_ms: int


@message
@attrs.frozen(kw_only=True)
class AppendReply:
    """Answer to `AppendRequest`; `match_index` is the last synced index that agrees."""

    term: int
    success: bool
    match_index: int


@message
@attrs.frozen(kw_only=True)
class InstallRequest:
    """The leader replaces a replica's log by a snapshot (encoded `MachineImage`)."""

    term: int
    leader_id: str
    receiver_id: str
    last_index: int
    last_term: int
    membership: Membership
    image: bytes


# Operators and controllers.


@message
@attrs.frozen(kw_only=True)
class ProposeChange:
    """An operator or process asks for a change."""

    change_id: str
    edit_version: int
    action: Action


@message
@attrs.frozen(kw_only=True)
class ForwardChange:
    """A controller passes a change on to the leader."""

    change: Change


@message
@attrs.frozen(kw_only=True)
class ChangeReply:
    """The outcome of a change."""

    outcome: Outcome


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
class Done:
    """A request without a result was carried out."""


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


# Subscribers and controllers.


@message
@attrs.frozen(kw_only=True)
class ControllerList:
    """Stream addresses (IP:PORT) of the controllers, from one of them to a subscriber."""

    addresses: tuple[str, ...]


@message
@attrs.frozen(kw_only=True)
class Subscribe:
    """Ask for every version after `version`."""

    name: str
    version: int


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
    """How long ago a quorum last confirmed what this controller serves."""

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


# Requests between balancer and agent.


@attrs.frozen(kw_only=True)
class Refusal:
    """Why work was not done.

    Attributes:
        refusal_id: identity by which an operator finds the refusal.
        reason: "owner-limit" or "system".
        ran: "no" when it provably never ran, else "unknown".
        entry: entry that was asked for.
        owner: owner of the entry, for an owner's limit.
        limit: name of the limit, for an owner's limit.
        value: value of the limit, for an owner's limit.
        cause: the system's cause.
    """

    refusal_id: str
    reason: str
    ran: str
    entry: str
    owner: str = ""
    limit: str = ""
    value: int = 0
    cause: str = ""


@attrs.frozen(kw_only=True)
class Header:
    """One HTTP header field."""

    name: bytes
    value: bytes


@message
@attrs.frozen(kw_only=True)
class RequestStart:
    """A balancer hands a caller's request to an agent.

    Attributes:
        request_id: unique at the balancer's stream; never used twice.
        entry_id: entry that the caller asked for.
        version: state version in force at the balancer.
        method: HTTP method.
        path: HTTP request target.
        headers: end-to-end header fields.
        body: whole body.
        timeout_ms: time left until the caller's deadline; 0 for none.
        idempotency_key: caller's key of a request that must not run twice; may be empty.
    """

    request_id: str
    entry_id: int
    version: int
    method: bytes
    path: bytes
    headers: tuple[Header, ...]
    body: bytes
    timeout_ms: int
    idempotency_key: str


@message
@attrs.frozen(kw_only=True)
class RequestCancel:
    """The caller no longer waits for an answer."""

    request_id: str


@message
@attrs.frozen(kw_only=True)
class RequestCredit:
    """The balancer has room for more chunks of an answer."""

    request_id: str
    chunks: int


@message
@attrs.frozen(kw_only=True)
class AnswerStart:
    """Status and header fields of an answer."""

    request_id: str
    status: int
    headers: tuple[Header, ...]


@message
@attrs.frozen(kw_only=True)
class AnswerChunk:
    """A part of an answer's body; the last one is marked."""

    request_id: str
    data: bytes
    last: bool


@message
@attrs.frozen(kw_only=True)
class AnswerCut:
    """The answer broke off after its start."""

    request_id: str
    cause: str


@message
@attrs.frozen(kw_only=True)
class AnswerRefused:
    """The agent refuses a request."""

    request_id: str
    refusal: Refusal


@message
@attrs.frozen(kw_only=True)
class LoadEvidence:
    """What an agent measured of its target, sent with answers.

    Attributes:
        in_flight: requests that run or wait.
        capacity: admission limit now.
        answer_ms: smoothed time of an answer in ms.
    """

    in_flight: int
    capacity: int
    answer_ms: float


# Flow directory between agents.


@attrs.frozen(kw_only=True)
class FlowRecord:
    """One flow as its owner registers it.

    Attributes:
        key: flow key, see `packets.FlowKey`.
        entry_id: entry of the flow.
        local_port: port from which the owner speaks to the target; 0 if none.
        idle_ms: time since the last packet.
    """

    key: bytes
    entry_id: int
    local_port: int
    idle_ms: int


@message
@attrs.frozen(kw_only=True)
class RegisterFlows:
    """The owner registers flows with their home; a resend changes nothing.

    `version` is the state version in force at the owner.
    """

    owner: str
    version: int
    flows: tuple[FlowRecord, ...]


@message
@attrs.frozen(kw_only=True)
class ForgetFlows:
    """The owner says that flows have ended."""

    owner: str
    keys: tuple[bytes, ...]


@message
@attrs.frozen(kw_only=True)
class RegistrationComplete:
    """The owner has registered all its flows with their homes of state `version`.

    An owner that has restarted says so only once it has its flows back.
    """

    owner: str
    version: int


@message
@attrs.frozen(kw_only=True)
class RecoveredFlows:
    """Flows that the sender has recorded for the receiver, which may have lost its memory.

    `incarnation` is the run of the receiver's target that the flows belong to.
    """

    incarnation: str
    flows: tuple[FlowRecord, ...]


@message
@attrs.frozen(kw_only=True)
class RecordsSent:
    """The sender has sent all that it has recorded for the receiver."""

    recorder: str


@message
@attrs.frozen(kw_only=True)
class RecordedFlows:
    """Flows of a third agent that the sender has recorded; the answer to a probe."""

    owner: str
    version: int
    flows: tuple[FlowRecord, ...]


@message
@attrs.frozen(kw_only=True)
class FlowLoad:
    """How many flows an owner holds and how many it would admit now."""

    owner: str
    flows: int
    limit: int


# Records of idempotency keys between agents.


@message
@attrs.frozen(kw_only=True)
class KeyState:
    """One recorded key, as its owner knows it.

    Attributes:
        entry_id: entry of the request.
        key: idempotency key.
        fingerprint: digest of the request.
        owner: run of the agent that runs the request, NAME/RUN.
        ended: whether the outcome is known.
        start: start of the stored answer.
        body: body of the stored answer.
        refusal: refusal that was the outcome.
        claim_id: set when the owner waits for `ClaimAcknowledged`.
    """

    entry_id: int
    key: str
    fingerprint: bytes
    owner: str
    ended: bool
    start: AnswerStart | None
    body: bytes | None
    refusal: Refusal | None
    claim_id: str


@message
@attrs.frozen(kw_only=True)
class ClaimAcknowledged:
    """The backup has recorded a key."""

    claim_id: str


@message
@attrs.frozen(kw_only=True)
class ReleaseKey:
    """The request under a key provably did not run."""

    entry_id: int
    key: str


@message
@attrs.frozen(kw_only=True)
class KeysComplete:
    """The sender has handed over all records that the receiver should hold.

    `lost_ms` is the wall-clock time in ms before which the sender may have lost keys.
    """

    version: int
    lost_ms: int
