"""The platform's packet header as a packet format plug-in.

Layout, big-endian, 34 bytes: sum (0, 4), seq (4, 4), ack (8, 4), flags (12, 1), pad (13, 3),
len (16, 2), echo (18, 4), src (22, 4), sport (26, 2), dst (28, 4), dport (32, 2). The sum is
keyed, and covers neither echo nor pad nor the flag BOUNCED; only the two ends can compute it.
"""

from __future__ import annotations

import struct
from typing import Final

from lentilcourse import error_texts
from lentilcourse.errors import PacketError
from lentilcourse.steering.datagrams import unpack_host
from lentilcourse.steering.packet_format import PACKET_FORMATS, FlowPacket

HEAD_BYTES: Final = 34
MAX_DATA_BYTES: Final = 1200
FIELDS: Final = struct.Struct(">4xII B3x H I 12x")
ACK_AT: Final = 8
FLAGS_AT: Final = 12
ECHO_AT: Final = 18
ECHO_END: Final = 22
SENDER_AT: Final = 22
RECEIVER_AT: Final = 28

FLAG_SYN: Final = 64
FLAG_ACK: Final = 4
FLAG_FIN: Final = 8
FLAG_RST: Final = 2
FLAG_BOUNCED: Final = 32
KNOWN_FLAGS: Final = FLAG_SYN | FLAG_ACK | FLAG_FIN | FLAG_RST | FLAG_BOUNCED


class PlatformPackets:
    """Packet format plug-in of the platform."""

    def read_caller(self, raw: bytes) -> FlowPacket:
        """Read a packet of a caller; raises `PacketError`."""
        return _read(raw, from_caller=True)

    def read_target(self, raw: bytes) -> FlowPacket:
        """Read a packet that a target sent or gave back; raises `PacketError`.

        A returned packet is the caller's own, so its sender is the caller.
        """
        returned = len(raw) > FLAGS_AT and bool(raw[FLAGS_AT] & FLAG_BOUNCED)
        return _read(raw, from_caller=returned)

    def stamped(self, packet: FlowPacket, stamp: int) -> bytes:
        """Return the packet with `stamp` in echo and without BOUNCED."""
        raw = packet.raw
        echo = stamp.to_bytes(4, "big")
        if packet.returned:
            flags = bytes((raw[FLAGS_AT] & ~FLAG_BOUNCED,))
            raw = raw[:FLAGS_AT] + flags + raw[FLAGS_AT + 1 :]
        return raw[:ECHO_AT] + echo + raw[ECHO_END:]

    def reset(self, packet: FlowPacket) -> bytes:
        """Return a reset from the entry to the caller.

        Its seq is the caller's ack, which callers require of a reset of an open flow; while
        none is open any seq will do, and the ack of an opening packet is no position.
        """
        caller = packet.flow[: RECEIVER_AT - SENDER_AT]
        seq = bytes(4) if packet.opening else packet.raw[ACK_AT:FLAGS_AT]
        flags = bytes((FLAG_RST,))
        return b"".join((bytes(4), seq, bytes(4), flags, bytes(9), packet.entry, caller))

    def caller_host(self, flow: bytes) -> str:
        """Return the caller's IPv4 address of a flow."""
        return unpack_host(flow[:4])


def _read(raw: bytes, from_caller: bool) -> FlowPacket:
    if len(raw) < HEAD_BYTES:
        raise PacketError(error_texts.PACKET_SHORT.format(size=len(raw)))
    _, ack, flags, data_bytes, echo = FIELDS.unpack_from(raw)
    if data_bytes != len(raw) - HEAD_BYTES or data_bytes > MAX_DATA_BYTES:
        raise PacketError(error_texts.PACKET_LENGTH)
    if flags & ~KNOWN_FLAGS:
        raise PacketError(error_texts.PACKET_FLAGS.format(flags=flags))
    sender, receiver = raw[SENDER_AT:RECEIVER_AT], raw[RECEIVER_AT:HEAD_BYTES]
    caller, entry = (sender, receiver) if from_caller else (receiver, sender)
    opens = bool(flags & FLAG_SYN)
    accepts = bool(flags & FLAG_ACK)
    return FlowPacket(
        raw=raw,
        flow=caller + entry,
        entry=entry,
        opening=opens and not accepts,
        attempt=ack if opens and not accepts else 0,
        accepting=opens and accepts,
        closing=bool(flags & FLAG_FIN),
        resetting=bool(flags & FLAG_RST),
        returned=bool(flags & FLAG_BOUNCED),
        stamp=echo,
        data_bytes=data_bytes,
    )


PACKET_FORMATS.register("platform-packets")(PlatformPackets())
