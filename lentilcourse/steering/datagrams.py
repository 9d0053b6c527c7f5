"""Datagrams between balancers and agents.

A fixed header, then a packet or nothing. The header names the balancer that took the packet
from the caller, so that whichever agent settles the flow can tell that balancer.
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
from lentilcourse.errors import PacketError
from lentilcourse.options import Address

Send = Callable[[bytes, tuple[str, int]], None]
"""Sends a datagram to a host and port."""

HEADER: Final = struct.Struct(">BB4sHQ8s")
OWNER: Final = struct.Struct(">H12s4sH")
DENIAL: Final = struct.Struct(">12s4sH")
LOAD_SCALE: Final = 1000
MAX_LOAD: Final = 65.0
FLOW_BYTES: Final = 12


class Kind(enum.IntEnum):
    """What a datagram asks for or tells.

    OPEN: take this opening packet as a new flow, or pass it on.
    CARRY: the flow is thought to be yours.
    SEEK: whoever owns the flow takes the packet and tells the balancer.
    SEEK_ALL: the same, and everyone else denies the flow.
    OWNER: the sender owns the flow (agent to balancer); carries its load too.
    LOAD: the sender's load (agent to balancer).
    DENIAL: the sender's target does not hold the flow (agent to balancer).
    """

    OPEN = 1
    CARRY = 2
    SEEK = 3
    OWNER = 4
    LOAD = 5
    DENIAL = 6
    SEEK_ALL = 7


KINDS: Final = {kind.value: kind for kind in Kind}


@attrs.frozen(kw_only=True)
class Envelope:
    """Header of a datagram that carries a packet.

    Attributes:
        kind: what is asked.
        hops: agents that have passed the packet on.
        balancer: peer address of the balancer that took the packet, host and port.
        catalogue: number of the catalogue by which it was routed.
        service: key of the service that the flow belongs to, `service_key`.
    """

    kind: Kind
    hops: int
    balancer: tuple[str, int]
    catalogue: int = 0
    service: bytes = b"\0" * 8


@attrs.frozen(kw_only=True)
class OwnerNotice:
    """An agent's load and, with `flow`, that it owns the flow; `owner` is its peer address."""

    load: float
    flow: bytes
    owner: tuple[str, int]


@attrs.frozen(kw_only=True)
class DenialNotice:
    """An agent's word that its target does not hold a flow.

    `reset` is the packet that ends the flow at its caller, to be sent if nobody holds it.
    """

    flow: bytes
    agent: tuple[str, int]
    reset: bytes


@lru_cache(maxsize=4096)
def service_key(service: str) -> bytes:
    """Return the 8 bytes that stand for a service in headers."""
    return xxh3_64_digest(service.encode())


@lru_cache(maxsize=4096)
def pack_host(host: str) -> bytes:
    """Return the 4 bytes of an IPv4 address."""
    return socket.inet_aton(host)


@lru_cache(maxsize=4096)
def unpack_host(packed: bytes) -> str:
    """Return the IPv4 address of 4 bytes."""
    return socket.inet_ntoa(packed)


@lru_cache(maxsize=4096)
def flow_text(flow: bytes) -> str:
    """Return a flow's identity as logs show it: CALLER:PORT>ENTRY:PORT."""
    caller, entry = flow[:6], flow[6:]
    return f"{address_text(caller)}>{address_text(entry)}"


def address_text(packed: bytes) -> str:
    """Return IP:PORT of 6 bytes."""
    return f"{unpack_host(packed[:4])}:{int.from_bytes(packed[4:6], 'big')}"


def pack_address(address: Address) -> bytes:
    """Return the 6 bytes of an address, as `FlowPacket.entry` has them."""
    return pack_host(address.host) + address.port.to_bytes(2, "big")


def encode_envelope(envelope: Envelope, raw: bytes) -> bytes:
    """Return the datagram of a packet."""
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
    """Return the kind of a datagram; raises `PacketError`."""
    kind = KINDS.get(datagram[0]) if datagram else None
    if kind is None:
        raise PacketError(error_texts.PACKET_SHORT.format(size=len(datagram)))
    return kind


def decode_envelope(datagram: bytes) -> tuple[Envelope, bytes]:
    """Return header and packet; raises `PacketError`."""
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


def encode_owner(notice: OwnerNotice) -> bytes:
    """Return the datagram of an owner's notice."""
    kind = Kind.OWNER if notice.flow else Kind.LOAD
    load = int(min(notice.load, MAX_LOAD) * LOAD_SCALE)
    host, port = notice.owner
    return bytes((kind,)) + OWNER.pack(load, notice.flow, pack_host(host), port)


def decode_owner(datagram: bytes) -> OwnerNotice:
    """Return an owner's notice; raises `PacketError`."""
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
    """Return the datagram of a denial."""
    host, port = notice.agent
    head = DENIAL.pack(notice.flow, pack_host(host), port)
    return bytes((Kind.DENIAL,)) + head + notice.reset


def decode_denial(datagram: bytes) -> DenialNotice:
    """Return a denial; raises `PacketError`."""
    if len(datagram) <= DENIAL.size + 1:
        raise PacketError(error_texts.PACKET_SHORT.format(size=len(datagram)))
    flow, host, port = DENIAL.unpack_from(datagram, 1)
    return DenialNotice(
        flow=flow, agent=(unpack_host(host), port), reset=datagram[DENIAL.size + 1 :]
    )
