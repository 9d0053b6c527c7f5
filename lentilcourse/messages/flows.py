"""Messages of the flow directory, between agents."""

from __future__ import annotations

import attrs

from lentilcourse.messages.base import message


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
