"""Messages of requests and idempotency keys, between balancers and agents."""

from __future__ import annotations

import attrs

from lentilcourse.messages.base import Header, message


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


@message
@attrs.frozen(kw_only=True)
class KeyState:
    """One recorded key, as its sender knows it.

    Sent to the owner itself without an outcome, it asks for the outcome: the owner answers with
    its own record, with `ReleaseKey` where it runs no such request, or not while it runs it.

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
        version: state version in force at the sender; 0 from earlier builds.
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
    version: int = 0


@message
@attrs.frozen(kw_only=True)
class ClaimAcknowledged:
    """The backup has recorded a key."""

    claim_id: str


@message
@attrs.frozen(kw_only=True)
class ReleaseKey:
    """The request under a key provably did not run at one run of an agent.

    Attributes:
        entry_id: entry of the request.
        key: idempotency key.
        owner: that run, NAME/RUN.
    """

    entry_id: int
    key: str
    owner: str


@attrs.frozen(kw_only=True)
class PartialBucket:
    """A bucket of which an agent may not have all records.

    Attributes:
        bucket: number of the bucket.
        sources: runs (NAME/RUN) of which one has the records that the agent still waits for.
        lost_ms: wall-clock time in ms before which records may have been lost; 0 for never.
        lost_age_s: time since then, by the sender's steady clock.
    """

    bucket: int
    sources: tuple[str, ...] = ()
    lost_ms: int = 0
    lost_age_s: float = 0.0


@message
@attrs.frozen(kw_only=True)
class KeysComplete:
    """The sender has handed over the records that it has and the receiver should hold.

    Attributes:
        version: state version in force at the sender.
        lost_ms: wall-clock time in ms before which the sender may have lost keys of any bucket.
        run: run of the sender, as NAME/RUN; empty from earlier builds.
        partial: buckets with missing or lost records; None from earlier builds.
    """

    version: int
    lost_ms: int
    run: str = ""
    partial: tuple[PartialBucket, ...] | None = None
