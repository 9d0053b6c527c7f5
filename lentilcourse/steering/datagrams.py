"""Datagrams between balancers and agents.

Datagrams that carry a packet start with a fixed header. It contains the address of the balancer
that received the packet from the caller, so that any agent that handles the flow can notify that
balancer.
"""

from __future__ import annotations

import enum
import socket
import struct
from collections.abc import Callable
from functools import lru_cache
from typing import Final

import attrs
from xxhash import xxh3_64_digest

from lentilcourse import error_texts
from lentilcourse.clocks import MS_PER_S
from lentilcourse.errors import PacketError
from lentilcourse.options import Address

Send = Callable[[bytes, tuple[str, int]], None]
"""Function that sends a datagram to a host and port."""
FlowSend = Callable[[bytes, bytes, tuple[str, int]], None]
"""Function that sends a datagram of a flow, given by its key, to a host and port."""

HEADER: Final = struct.Struct(">BB4sHQ8s")
OWNER: Final = struct.Struct(">H12s4sH")
DENIAL: Final = struct.Struct(">12s4sH")
PASSED: Final = struct.Struct(">H4sH")
QUERY_HEADER: Final = struct.Struct(">B4sH")
LOAD_SCALE: Final = 1000
MAX_LOAD: Final = 65.0
MAX_WAIT_S: Final = 65.0
FLOW_BYTES: Final = 12
MAX_FLOWS_PER_QUERY: Final = 90
"""Flows of one query; the reply about them fits an Ethernet frame."""


class Kind(enum.IntEnum):
    """Type of a datagram.

    OPEN: opening packet of a new flow, which the agent accepts or forwards to another agent.
    CARRY: packet of a flow that the receiving agent is presumed to own.
    SEEK: packet of a flow that the receiving agent may own: the owner delivers it and notifies the
        balancer; all other agents reply with a denial. Balancers of earlier builds send it too.
    OWNER: the sender owns the flow (agent to balancer); also contains the sender's load.
    LOAD: load of the sender (agent to balancer).
    DENIAL: the target of the sender does not hold the flow (agent to balancer).
    SEARCH: packet of a flow whose owner the balancer does not know: the agent delivers it, or finds
        the owner, or resets the flow (balancer to agent).
    QUERY: asks whether the receiver's target holds some flows (agent to agent).
    REPLY: answers a query (agent to agent).
    PASSED: opening packet that a busy agent passes on (agent to agent).
    KEEP, KEPT: a stopping agent gives the list of its flows to another, which acknowledges it.
    RECALL, RECALLED: an agent that has started asks for that list, and gets it.

    7 is not used again: earlier versions send it to all agents.
    """

    OPEN = 1
    CARRY = 2
    SEEK = 3
    OWNER = 4
    LOAD = 5
    DENIAL = 6
    SEARCH = 8
    QUERY = 9
    REPLY = 10
    PASSED = 11
    KEEP = 12
    KEPT = 13
    RECALL = 14
    RECALLED = 15


KINDS: Final = {kind.value: kind for kind in Kind}


@attrs.frozen(kw_only=True)
class Envelope:
    """Header of a datagram that carries a packet.

    Attributes:
        kind: type of the datagram.
        hops: number of times that agents have forwarded the packet.
        balancer: peer address (host and port) of the balancer that received the packet.
        catalogue: number of the catalogue that was used for routing.
        service: key of the flow's service, see `service_key`.
    """

    kind: Kind
    hops: int
    balancer: tuple[str, int]
    catalogue: int = 0
    service: bytes = b"\0" * 8


@attrs.frozen(kw_only=True)
class OwnerNotice:
    """Load of an agent and, if `flow` is not empty, the agent's ownership of that flow.

    `owner` is the agent's peer address.
    """

    load: float
    flow: bytes
    owner: tuple[str, int]


@attrs.frozen(kw_only=True)
class DenialNotice:
    """Reply of an agent whose target does not hold a flow."""

    flow: bytes
    agent: tuple[str, int]


@attrs.frozen(kw_only=True)
class BusyAgent:
    """The least busy agent that has passed an opening packet on.

    Attributes:
        wait_s: time that a request is expected to wait there.
        address: its peer address.
    """

    wait_s: float
    address: tuple[str, int]


class Possession(enum.IntEnum):
    """An agent's answer to the question whether its target holds a flow.

    HOLDS: it does. DENIES: it does not. UNSURE: only the target knows; it may have accepted the
    flow before the agent started.
    """

    HOLDS = 1
    DENIES = 2
    UNSURE = 3


POSSESSIONS: Final = {possession.value: possession for possession in Possession}


@attrs.frozen(kw_only=True)
class FlowQuery:
    """A question of the agent at `searcher` about flows, given by their keys."""

    searcher: tuple[str, int]
    flows: tuple[bytes, ...]


@attrs.frozen(kw_only=True)
class FlowReply:
    """The answers of the agent at `agent` to a query, by flow key."""

    agent: tuple[str, int]
    answers: dict[bytes, Possession]


@lru_cache(maxsize=4096)
def service_key(service: str) -> bytes:
    """Return the 8-byte hash that identifies a service in headers."""
    return xxh3_64_digest(service.encode())


@lru_cache(maxsize=4096)
def pack_host(host: str) -> bytes:
    """Convert an IPv4 address to 4 bytes."""
    return socket.inet_aton(host)


@lru_cache(maxsize=4096)
def unpack_host(packed: bytes) -> str:
    """Convert 4 bytes to an IPv4 address."""
    return socket.inet_ntoa(packed)


@lru_cache(maxsize=4096)
def flow_text(flow: bytes) -> str:
    """Format a flow key for logs: CALLER_IP:PORT>ENTRY_IP:PORT."""
    caller, entry = flow[:6], flow[6:]
    return f"{address_text(caller)}>{address_text(entry)}"


def address_text(packed: bytes) -> str:
    """Format 6 bytes (IPv4 address and port) as IP:PORT."""
    return f"{unpack_host(packed[:4])}:{int.from_bytes(packed[4:6], 'big')}"


def pack_address(address: Address) -> bytes:
    """Encode an address as 6 bytes, in the format of `FlowPacket.entry`."""
    return pack_host(address.host) + address.port.to_bytes(2, "big")


def encode_envelope(envelope: Envelope, raw: bytes) -> bytes:
    """Encode a packet with its header."""
    host, port = envelope.balancer
    head = HEADER.pack(
        envelope.kind,
        envelope.hops,
        pack_host(host),
        port,
        envelope.catalogue,
        envelope.service,
    )
    return head + raw


def decode_kind(datagram: bytes) -> Kind:
    """Return the kind of a datagram; raises `PacketError` if it is unknown."""
    kind = KINDS.get(datagram[0]) if datagram else None
    if kind is None:
        raise PacketError(error_texts.PACKET_SHORT.format(size=len(datagram)))
    return kind


def decode_envelope(datagram: bytes) -> tuple[Envelope, bytes]:
    """Decode a datagram into header and packet; raises `PacketError` if it is malformed."""
    kind = decode_kind(datagram)
    if len(datagram) < HEADER.size:
        raise PacketError(error_texts.PACKET_SHORT.format(size=len(datagram)))
    _, hops, host, port, catalogue, service = HEADER.unpack_from(datagram)
    envelope = Envelope(
        kind=kind,
        hops=hops,
        balancer=(unpack_host(host), port),
        catalogue=catalogue,
        service=service,
    )
    return envelope, datagram[HEADER.size :]


def encode_passed(envelope: Envelope, least_busy: BusyAgent, raw: bytes) -> bytes:
    """Encode an opening packet that a busy agent passes on."""
    wait_ms = int(min(least_busy.wait_s, MAX_WAIT_S) * MS_PER_S)
    host, port = least_busy.address
    return encode_envelope(envelope, PASSED.pack(wait_ms, pack_host(host), port) + raw)


def decode_passed(body: bytes) -> tuple[BusyAgent, bytes]:
    """Decode what follows the header of a passed packet; raises `PacketError`."""
    if len(body) < PASSED.size:
        raise PacketError(error_texts.PACKET_SHORT.format(size=len(body)))
    wait_ms, host, port = PASSED.unpack_from(body)
    least_busy = BusyAgent(wait_s=wait_ms / MS_PER_S, address=(unpack_host(host), port))
    return least_busy, body[PASSED.size :]


def encode_owner(notice: OwnerNotice) -> bytes:
    """Encode an owner or load notice."""
    kind = Kind.OWNER if notice.flow else Kind.LOAD
    load = int(min(notice.load, MAX_LOAD) * LOAD_SCALE)
    host, port = notice.owner
    return bytes((kind,)) + OWNER.pack(load, notice.flow, pack_host(host), port)


def decode_owner(datagram: bytes) -> OwnerNotice:
    """Decode an owner or load notice; raises `PacketError` if it is malformed."""
    kind = decode_kind(datagram)
    if len(datagram) != OWNER.size + 1:
        raise PacketError(error_texts.PACKET_SHORT.format(size=len(datagram)))
    load, flow, host, port = OWNER.unpack_from(datagram, 1)
    return OwnerNotice(
        load=load / LOAD_SCALE,
        flow=flow if kind is Kind.OWNER else b"",
        owner=(unpack_host(host), port),
    )


def encode_denial(notice: DenialNotice) -> bytes:
    """Encode a denial."""
    host, port = notice.agent
    return bytes((Kind.DENIAL,)) + DENIAL.pack(notice.flow, pack_host(host), port)


def decode_denial(datagram: bytes) -> DenialNotice:
    """Decode a denial; raises `PacketError` if it is malformed."""
    if len(datagram) != DENIAL.size + 1:
        raise PacketError(error_texts.PACKET_SHORT.format(size=len(datagram)))
    flow, host, port = DENIAL.unpack_from(datagram, 1)
    return DenialNotice(flow=flow, agent=(unpack_host(host), port))


def encode_query(query: FlowQuery) -> bytes:
    """Encode a query."""
    host, port = query.searcher
    return QUERY_HEADER.pack(Kind.QUERY, pack_host(host), port) + b"".join(query.flows)


def decode_query(datagram: bytes) -> FlowQuery:
    """Decode a query; raises `PacketError` if it is malformed."""
    address, body = _read_query_header(datagram, FLOW_BYTES)
    flows = (body[at : at + FLOW_BYTES] for at in range(0, len(body), FLOW_BYTES))
    return FlowQuery(searcher=address, flows=tuple(flows))


def encode_reply(reply: FlowReply) -> bytes:
    """Encode a reply to a query."""
    host, port = reply.agent
    body = b"".join(flow + bytes((answer,)) for flow, answer in reply.answers.items())
    return QUERY_HEADER.pack(Kind.REPLY, pack_host(host), port) + body


def decode_reply(datagram: bytes) -> FlowReply:
    """Decode a reply to a query; raises `PacketError` if it is malformed."""
    size = FLOW_BYTES + 1
    address, body = _read_query_header(datagram, size)
    items = [body[at : at + size] for at in range(0, len(body), size)]
    if not all(item[FLOW_BYTES] in POSSESSIONS for item in items):
        raise PacketError(error_texts.PACKET_ANSWER)
    answers = {item[:FLOW_BYTES]: POSSESSIONS[item[FLOW_BYTES]] for item in items}
    return FlowReply(agent=address, answers=answers)


def _read_query_header(datagram: bytes, item_bytes: int) -> tuple[tuple[str, int], bytes]:
    """Return the sender's address and the body, which must consist of items of a fixed size."""
    body = datagram[QUERY_HEADER.size :]
    if len(datagram) < QUERY_HEADER.size or len(body) % item_bytes:
        raise PacketError(error_texts.PACKET_SHORT.format(size=len(datagram)))
    _, host, port = QUERY_HEADER.unpack_from(datagram)
    return (unpack_host(host), port), body
