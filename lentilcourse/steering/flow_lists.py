"""Datagrams that carry the list of an agent's flows to other agents and back.

See `handover`. A list is split into parts that fit an Ethernet frame each.
"""

from __future__ import annotations

import struct
from typing import Final

import attrs
from xxhash import xxh3_64_digest

from lentilcourse import error_texts
from lentilcourse.errors import PacketError
from lentilcourse.steering.datagrams import FLOW_BYTES, Kind, pack_host, unpack_host

LIST_HEADER: Final = struct.Struct(">B4sH4sHQ8s?BB")
KEPT: Final = struct.Struct(">B4sHQB4sH")
RECALL: Final = struct.Struct(">B4sHQ")
FLOWS_PER_PART: Final = 90
MAX_PARTS: Final = 32
"""Parts of a list: more flows than a target of today's deployments holds."""


@attrs.frozen(kw_only=True)
class FlowList:
    """The flows of an agent's target when the agent stopped.

    Attributes:
        owner: peer address of the agent.
        stopped_ms: boot time of its VM at which the list was made, in ms.
        target_run: identifies the run of the target, see `run_digest`; zeros if it is not known.
        complete: whether the target holds no other flow.
        flows: keys of the flows.
    """

    owner: tuple[str, int]
    stopped_ms: int
    target_run: bytes
    complete: bool
    flows: tuple[bytes, ...] = ()


@attrs.frozen(kw_only=True)
class ListPart:
    """A part of a list.

    Attributes:
        content: the list with the flows of this part.
        sender: peer address of the agent that sends it.
        part: number of the part, from 0.
        parts: number of parts; 0 in the reply of an agent that keeps no list of the owner.
    """

    content: FlowList
    sender: tuple[str, int]
    part: int = 0
    parts: int = 0


@attrs.frozen(kw_only=True)
class PartKept:
    """The agent at `keeper` keeps a part of the list of `owner`."""

    owner: tuple[str, int]
    stopped_ms: int
    part: int
    keeper: tuple[str, int]


@attrs.frozen(kw_only=True)
class ListRecall:
    """The agent at `owner`, started at a boot time of its VM, asks for the list of its flows."""

    owner: tuple[str, int]
    started_ms: int


UNKNOWN_RUN: Final = bytes(8)


def run_digest(target_id: str, born_ms: int) -> bytes:
    """Return 8 bytes that identify a run of a target."""
    return xxh3_64_digest(f"{target_id}\0{born_ms}".encode())


def split_list(content: FlowList, sender: tuple[str, int]) -> list[ListPart]:
    """Return the parts of a list, at least one; flows beyond the last part are left out.

    A list that loses flows is not complete any more.
    """
    fitting = content.flows[: MAX_PARTS * FLOWS_PER_PART]
    complete = content.complete and len(fitting) == len(content.flows)
    starts = range(0, max(1, len(fitting)), FLOWS_PER_PART)
    return [
        ListPart(
            content=attrs.evolve(
                content, complete=complete, flows=fitting[start : start + FLOWS_PER_PART]
            ),
            sender=sender,
            part=number,
            parts=len(starts),
        )
        for number, start in enumerate(starts)
    ]


def encode_part(kind: Kind, part: ListPart) -> bytes:
    """Encode a part of a list, to be kept (KEEP) or given back (RECALLED)."""
    content = part.content
    (host, port), (sender_host, sender_port) = content.owner, part.sender
    head = LIST_HEADER.pack(
        kind,
        pack_host(host),
        port,
        pack_host(sender_host),
        sender_port,
        content.stopped_ms,
        content.target_run,
        content.complete,
        part.part,
        part.parts,
    )
    return head + b"".join(content.flows)


def decode_part(datagram: bytes) -> ListPart:
    """Decode a part of a list; raises `PacketError` if it is malformed."""
    body = datagram[LIST_HEADER.size :]
    if len(datagram) < LIST_HEADER.size or len(body) % FLOW_BYTES:
        raise PacketError(error_texts.PACKET_SHORT.format(size=len(datagram)))
    fields = LIST_HEADER.unpack_from(datagram)
    _, host, port, sender_host, sender_port, stopped_ms, run, complete, part, parts = fields
    if parts > MAX_PARTS or part >= max(parts, 1):
        raise PacketError(error_texts.PACKET_PART.format(part=part, parts=parts))
    flows = tuple(body[at : at + FLOW_BYTES] for at in range(0, len(body), FLOW_BYTES))
    content = FlowList(
        owner=(unpack_host(host), port),
        stopped_ms=stopped_ms,
        target_run=run,
        complete=complete,
        flows=flows,
    )
    sender = (unpack_host(sender_host), sender_port)
    return ListPart(content=content, sender=sender, part=part, parts=parts)


def encode_kept(kept: PartKept) -> bytes:
    """Encode the acknowledgement of a part."""
    (host, port), (keeper_host, keeper_port) = kept.owner, kept.keeper
    return KEPT.pack(
        Kind.KEPT,
        pack_host(host),
        port,
        kept.stopped_ms,
        kept.part,
        pack_host(keeper_host),
        keeper_port,
    )


def decode_kept(datagram: bytes) -> PartKept:
    """Decode the acknowledgement of a part; raises `PacketError` if it is malformed."""
    if len(datagram) != KEPT.size:
        raise PacketError(error_texts.PACKET_SHORT.format(size=len(datagram)))
    _, host, port, stopped_ms, part, keeper_host, keeper_port = KEPT.unpack(datagram)
    return PartKept(
        owner=(unpack_host(host), port),
        stopped_ms=stopped_ms,
        part=part,
        keeper=(unpack_host(keeper_host), keeper_port),
    )


def encode_recall(recall: ListRecall) -> bytes:
    """Encode the request for a list."""
    host, port = recall.owner
    return RECALL.pack(Kind.RECALL, pack_host(host), port, recall.started_ms)


def decode_recall(datagram: bytes) -> ListRecall:
    """Decode the request for a list; raises `PacketError` if it is malformed."""
    if len(datagram) != RECALL.size:
        raise PacketError(error_texts.PACKET_SHORT.format(size=len(datagram)))
    _, host, port, started_ms = RECALL.unpack(datagram)
    return ListRecall(owner=(unpack_host(host), port), started_ms=started_ms)
