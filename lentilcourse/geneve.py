"""Encapsulation of packets between fabric, balancers and agents: Geneve (RFC 8926).

The fabric sends plain Geneve. Between the system's processes each packet carries one option
of ours, with an option class for experimental use, that names the entry and the state version
that the sender acted on. The option is critical: a receiver that does not know it must drop
the packet, so that a packet never goes on without its entry.
"""

from __future__ import annotations

import struct
from typing import Final

import attrs

from lentilcourse import error_texts
from lentilcourse.errors import PacketError

HEADER_BYTES: Final = 8
PROTOCOL_IPV4: Final = 0x0800
OPTION_CLASS: Final = 0xFF4C
OPTION_TYPE: Final = 0x81
OPTION_DATA_BYTES: Final = 20
OPTION_BYTES: Final = 24
CRITICAL_FLAG: Final = 0x40
CRITICAL_TYPE: Final = 0x80
MAX_HOPS: Final = 6

FLAG_PROBE: Final = 0x01
FLAG_OFFER: Final = 0x02
FLAG_DECLINED: Final = 0x04
FLAG_OWNER: Final = 0x08
FLAG_OWNED: Final = 0x10
FLAG_RECORDED: Final = 0x20

_HEADER: Final = struct.Struct(">BBHI")
_OPTION: Final = struct.Struct(">HBBQQBBH")

PLAIN_HEADER: Final = _HEADER.pack(0, 0, PROTOCOL_IPV4, 0)
_OWN_PREFIX: Final = _HEADER.pack(OPTION_BYTES // 4, CRITICAL_FLAG, PROTOCOL_IPV4, 0)
_OWN_OPTION: Final = struct.pack(">HBB", OPTION_CLASS, OPTION_TYPE, OPTION_DATA_BYTES // 4)
OWN_START: Final = _OWN_PREFIX + _OWN_OPTION
OWN_BYTES: Final = HEADER_BYTES + OPTION_BYTES
_OWN_FIELDS: Final = struct.Struct(">QQBBH")


@attrs.frozen(kw_only=True)
class PacketLabel:
    """Our option.

    Attributes:
        entry_id: entry that the packet belongs to.
        version: state version that the sender acted on.
        hops: times that the packet was passed on between agents.
        flags: FLAG_* bits.
        detail: with FLAG_DECLINED the reason code, see `agent.admission`; with FLAG_OWNED and
            FLAG_RECORDED the port from which the owner sends to its target, 0 if none.
    """

    entry_id: int
    version: int
    hops: int = 0
    flags: int = 0
    detail: int = 0


def encode_label(label: PacketLabel) -> bytes:
    """Return the Geneve header with our option, to be put before a packet."""
    return OWN_START + _OWN_FIELDS.pack(
        label.entry_id, label.version, label.hops, label.flags, label.detail
    )


def decode_plain(datagram: bytes) -> bytes:
    """Return the packet in a datagram of the fabric; raises `PacketError`."""
    if datagram[:HEADER_BYTES] == PLAIN_HEADER:
        return datagram[HEADER_BYTES:]
    options, packet = _split(datagram)
    _refuse_critical(options)
    return packet


def decode_labelled(datagram: bytes) -> tuple[PacketLabel, bytes]:
    """Return label and packet of a datagram of the system; raises `PacketError`."""
    if not datagram.startswith(OWN_START) or len(datagram) < OWN_BYTES:
        _split(datagram)
        raise PacketError(error_texts.PACKET_OPTION.format(option=0))
    entry_id, version, hops, flags, detail = _OWN_FIELDS.unpack_from(datagram, len(OWN_START))
    label = PacketLabel(entry_id=entry_id, version=version, hops=hops, flags=flags, detail=detail)
    return label, datagram[OWN_BYTES:]


def _split(datagram: bytes) -> tuple[bytes, bytes]:
    if len(datagram) < HEADER_BYTES:
        raise PacketError(error_texts.PACKET_SHORT.format(size=len(datagram)))
    first, _, protocol, _ = _HEADER.unpack_from(datagram)
    if first >> 6:
        raise PacketError(error_texts.PACKET_VERSION.format(version=first >> 6))
    if protocol != PROTOCOL_IPV4:
        raise PacketError(error_texts.PACKET_PROTOCOL.format(protocol=protocol))
    end = HEADER_BYTES + (first & 0x3F) * 4
    if len(datagram) < end:
        raise PacketError(error_texts.PACKET_SHORT.format(size=len(datagram)))
    return datagram[HEADER_BYTES:end], datagram[end:]


def _refuse_critical(options: bytes) -> None:
    position = 0
    while position < len(options):
        if position + 4 > len(options):
            raise PacketError(error_texts.PACKET_LENGTH)
        option_class, option_type, length = struct.unpack_from(">HBB", options, position)
        if option_type & CRITICAL_TYPE:
            text = error_texts.PACKET_OPTION.format(option=option_class << 8 | option_type)
            raise PacketError(text)
        position += 4 + (length & 0x1F) * 4
    if position != len(options):
        raise PacketError(error_texts.PACKET_LENGTH)
