"""Packets of flows whose owner a home is probing for.

Only one packet of a flow in `completeness.PROBE_RETRY_S` is sent to all peers. The others are
buffered and follow the first one to the owner, so that the work of the peers does not grow with
the packets that arrive while the owner is unknown.
"""

from __future__ import annotations

from typing import Final

import attrs

from lentilcourse.geneve import PacketLabel

MAX_PACKETS_PER_FLOW: Final = 16
MAX_FLOWS: Final = 4096
BUFFER_LIFE_S: Final = 0.5
"""Age above which packets are dropped: their callers have retransmitted them."""


@attrs.frozen(kw_only=True)
class BufferedPacket:
    """A packet with its label and its time of arrival."""

    label: PacketLabel
    packet: bytes
    arrived: float


class ProbeBuffer:
    """Buffered packets by flow key."""

    def __init__(self) -> None:
        self._packets: dict[bytes, list[BufferedPacket]] = {}

    def add(self, key: bytes, label: PacketLabel, packet: bytes, now: float) -> bool:
        """Buffer a packet; returns False if there is no room."""
        if key not in self._packets and len(self._packets) >= MAX_FLOWS:
            return False
        packets = self._packets.setdefault(key, [])
        if len(packets) >= MAX_PACKETS_PER_FLOW:
            return False
        packets.append(BufferedPacket(label=label, packet=packet, arrived=now))
        return True

    def take(self, key: bytes, now: float) -> list[BufferedPacket]:
        """Remove and return the packets of a flow that are not too old, in order of arrival."""
        packets = self._packets.pop(key, [])
        return [each for each in packets if now - each.arrived <= BUFFER_LIFE_S]

    def expire(self, now: float) -> None:
        """Drop the packets of flows whose last packet is too old."""
        for key, packets in list(self._packets.items()):
            if now - packets[-1].arrived > BUFFER_LIFE_S:
                del self._packets[key]
