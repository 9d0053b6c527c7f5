"""IPv4 packets as balancers and agents read and write them.

Formats: IPv4 (RFC 791), UDP (RFC 768), TCP (RFC 9293), ICMP (RFC 792) with extension
structures (RFC 4884). Packets without IP options and not fragmented are carried; all else is
refused with `PacketError`.

A flow key is 13 bytes: source and destination address, source and destination port, protocol.
"""

from __future__ import annotations

import struct
from typing import Final

import attrs

from lentilcourse import error_texts
from lentilcourse.errors import PacketError

IP_HEADER_BYTES: Final = 20
UDP_HEADER_BYTES: Final = 8
TCP_HEADER_BYTES: Final = 20
MIN_PACKET_BYTES: Final = IP_HEADER_BYTES + UDP_HEADER_BYTES
VERSION_AND_LENGTH: Final = 0x45
PROTOCOL_ICMP: Final = 1
PROTOCOL_TCP: Final = 6
PROTOCOL_UDP: Final = 17
DEFAULT_TTL: Final = 64
FLAG_DONT_FRAGMENT: Final = 0x4000

TCP_FIN: Final = 0x01
TCP_SYN: Final = 0x02
TCP_RST: Final = 0x04
TCP_ACK: Final = 0x10

ICMP_UNREACHABLE: Final = 3
ICMP_CODE_HOST_UNREACHABLE: Final = 1
ICMP_CODE_PROHIBITED: Final = 13
ICMP_QUOTE_BYTES: Final = 128
ICMP_EXTENSION_VERSION: Final = 0x2000
ICMP_OBJECT_CLASS: Final = 247
ICMP_OBJECT_TYPE: Final = 1

_IP_HEADER: Final = struct.Struct(">BBHHHBBH4s4s")
_UDP_HEADER: Final = struct.Struct(">HHHH")
_TCP_HEADER: Final = struct.Struct(">HHIIBBHHH")
_ICMP_HEADER: Final = struct.Struct(">BBHBBH")
_ICMP_OBJECT: Final = struct.Struct(">HBB")
_PSEUDO_HEADER: Final = struct.Struct(">4s4sBBH")


def check_packet(packet: bytes) -> None:
    """Refuse a packet that is not whole IPv4 with UDP or TCP."""
    if len(packet) < MIN_PACKET_BYTES:
        raise PacketError(error_texts.PACKET_SHORT.format(size=len(packet)))
    if packet[0] != VERSION_AND_LENGTH:
        raise PacketError(error_texts.PACKET_VERSION.format(version=packet[0]))
    if (packet[2] << 8 | packet[3]) != len(packet):
        raise PacketError(error_texts.PACKET_LENGTH)
    if packet[6] & 0x3F or packet[7]:
        raise PacketError(error_texts.PACKET_FRAGMENT)
    protocol = packet[9]
    if protocol == PROTOCOL_UDP:
        if packet[24] << 8 | packet[25] != len(packet) - IP_HEADER_BYTES:
            raise PacketError(error_texts.PACKET_LENGTH)
    elif protocol != PROTOCOL_TCP:
        raise PacketError(error_texts.PACKET_PROTOCOL.format(protocol=protocol))
    elif len(packet) < IP_HEADER_BYTES + TCP_HEADER_BYTES:
        raise PacketError(error_texts.PACKET_SHORT.format(size=len(packet)))


def flow_key(packet: bytes) -> bytes:
    """Return the flow key of a checked packet."""
    return packet[12:24] + packet[9:10]


def service_key_of(key: bytes) -> bytes:
    """Return the service key that belongs to a flow key."""
    return key[4:8] + key[10:13]


def make_service_key(host: str, port: int, protocol: int) -> bytes:
    """Return the service key of an address."""
    return parse_host(host) + port.to_bytes(2, "big") + bytes((protocol,))


def parse_host(host: str) -> bytes:
    """Return a dotted IPv4 address as 4 bytes."""
    return bytes(int(part) for part in host.split("."))


def udp_payload(packet: bytes) -> bytes:
    """Return the payload of a checked UDP packet."""
    return packet[MIN_PACKET_BYTES:]


def tcp_flags(packet: bytes) -> int:
    """Return the flags of a checked TCP packet."""
    return packet[IP_HEADER_BYTES + 13]


def opens_flow(packet: bytes) -> bool:
    """Return whether a checked packet may be the first of a flow."""
    if packet[9] != PROTOCOL_TCP:
        return True
    return tcp_flags(packet) & (TCP_SYN | TCP_ACK) == TCP_SYN


def build_udp(source: bytes, destination: bytes, ports: bytes, payload: bytes) -> bytes:
    """Return a UDP packet; `ports` holds source and destination port (4 bytes)."""
    length = UDP_HEADER_BYTES + len(payload)
    pseudo = _PSEUDO_HEADER.pack(source, destination, 0, PROTOCOL_UDP, length)
    header = ports + length.to_bytes(2, "big")
    checksum = internet_checksum(pseudo + header + b"\0\0" + payload) or 0xFFFF
    segment = header + checksum.to_bytes(2, "big") + payload
    return build_ip(source, destination, PROTOCOL_UDP, segment)


def build_first_bytes(key: bytes, payload: bytes = b"") -> bytes:
    """Return a packet of a flow that names it, in a refusal or between agents."""
    if key[12] == PROTOCOL_UDP:
        return build_udp(key[0:4], key[4:8], key[8:12], payload)
    segment = key[8:12] + bytes(8) + bytes((TCP_HEADER_BYTES // 4 << 4, TCP_ACK)) + bytes(6)
    return build_ip(key[0:4], key[4:8], PROTOCOL_TCP, segment + payload)


def build_answer(key: bytes, payload: bytes) -> bytes:
    """Return a UDP packet in the direction opposite to a flow key."""
    return build_udp(key[4:8], key[0:4], key[10:12] + key[8:10], payload)


def build_reset(packet: bytes) -> bytes:
    """Return the TCP reset that answers a checked TCP packet (RFC 9293, 3.10.7.1)."""
    source_port, destination_port, sequence, acknowledged = struct.unpack_from(
        ">HHII", packet, IP_HEADER_BYTES
    )
    flags = tcp_flags(packet)
    data_bytes = len(packet) - IP_HEADER_BYTES - (packet[IP_HEADER_BYTES + 12] >> 4) * 4
    length = max(0, data_bytes) + bool(flags & TCP_SYN) + bool(flags & TCP_FIN)
    if flags & TCP_ACK:
        numbers = (acknowledged, 0, TCP_RST)
    else:
        numbers = (0, (sequence + length) & 0xFFFFFFFF, TCP_RST | TCP_ACK)
    return _build_tcp_reset(packet, destination_port, source_port, numbers)


def _build_tcp_reset(
    packet: bytes, source_port: int, destination_port: int, numbers: tuple[int, int, int]
) -> bytes:
    sequence, acknowledged, flags = numbers
    source, destination = packet[16:20], packet[12:16]

    def segment(checksum: int) -> bytes:
        return _TCP_HEADER.pack(
            source_port,
            destination_port,
            sequence,
            acknowledged,
            (TCP_HEADER_BYTES // 4) << 4,
            flags,
            0,
            checksum,
            0,
        )

    pseudo = _PSEUDO_HEADER.pack(source, destination, 0, PROTOCOL_TCP, TCP_HEADER_BYTES)
    checksum = internet_checksum(pseudo + segment(0))
    return build_ip(source, destination, PROTOCOL_TCP, segment(checksum))


def build_refusal(packet: bytes, code: int, text: str) -> bytes:
    """Return the ICMP message that refuses a packet, with `text` as an extension object.

    The quoted packet is padded to 128 bytes, and the extension object has a class for
    private use (RFC 4884).
    """
    quote = packet[:ICMP_QUOTE_BYTES].ljust(ICMP_QUOTE_BYTES, b"\0")
    raw = text.encode()
    raw += b"\0" * (-len(raw) % 4)
    extension = ICMP_EXTENSION_VERSION.to_bytes(2, "big") + b"\0\0"
    extension += (
        _ICMP_OBJECT.pack(_ICMP_OBJECT.size + len(raw), ICMP_OBJECT_CLASS, ICMP_OBJECT_TYPE) + raw
    )
    extension = _with_checksum(extension, 2)
    words = ICMP_QUOTE_BYTES // 4
    head = _ICMP_HEADER.pack(ICMP_UNREACHABLE, code, 0, 0, words, 0)
    body = _with_checksum(head + quote + extension, 2)
    return build_ip(packet[16:20], packet[12:16], PROTOCOL_ICMP, body)


def read_refusal(packet: bytes) -> tuple[bytes, int, str] | None:
    """Return flow key, code and text of an ICMP refusal, None for any other packet."""
    start = IP_HEADER_BYTES + _ICMP_HEADER.size
    if len(packet) < start + ICMP_QUOTE_BYTES or packet[9] != PROTOCOL_ICMP:
        return None
    if packet[IP_HEADER_BYTES] != ICMP_UNREACHABLE:
        return None
    quoted = packet[start : start + ICMP_QUOTE_BYTES]
    text = packet[start + ICMP_QUOTE_BYTES + 4 + _ICMP_OBJECT.size :].rstrip(b"\0")
    return flow_key(quoted), packet[IP_HEADER_BYTES + 1], text.decode("utf-8", "replace")


def build_ip(source: bytes, destination: bytes, protocol: int, segment: bytes) -> bytes:
    """Return an IPv4 packet around a segment."""
    length = IP_HEADER_BYTES + len(segment)
    header = _IP_HEADER.pack(
        VERSION_AND_LENGTH,
        0,
        length,
        0,
        FLAG_DONT_FRAGMENT,
        DEFAULT_TTL,
        protocol,
        0,
        source,
        destination,
    )
    return _with_checksum(header, 10) + segment


def internet_checksum(data: bytes) -> int:
    """Return the Internet checksum (RFC 1071)."""
    if len(data) % 2:
        data += b"\0"
    total = int.from_bytes(data, "big") % 0xFFFF
    return 0xFFFF - total if total else 0 if any(data) else 0xFFFF


def _with_checksum(data: bytes, offset: int) -> bytes:
    checksum = internet_checksum(data)
    return data[:offset] + checksum.to_bytes(2, "big") + data[offset + 2 :]


@attrs.frozen(kw_only=True)
class UdpView:
    """Fields of a checked UDP packet, for stand-ins and tests."""

    source: bytes
    destination: bytes
    source_port: int
    destination_port: int
    payload: bytes


def read_udp(packet: bytes) -> UdpView:
    """Return the fields of a UDP packet; raises `PacketError`."""
    check_packet(packet)
    if packet[9] != PROTOCOL_UDP:
        raise PacketError(error_texts.PACKET_PROTOCOL.format(protocol=packet[9]))
    source_port, destination_port, _, _ = _UDP_HEADER.unpack_from(packet, IP_HEADER_BYTES)
    return UdpView(
        source=packet[12:16],
        destination=packet[16:20],
        source_port=source_port,
        destination_port=destination_port,
        payload=udp_payload(packet),
    )
