"""Interface of packet format plug-ins.

A plug-in parses the header of a packet once into a `FlowPacket` and writes the few fields that
steering may modify. All other code treats packets as opaque bytes.
"""

from __future__ import annotations

from typing import Final, Protocol

import attrs

from lentilcourse.kernel.registry import Registry


@attrs.define(kw_only=True, slots=True)
class FlowPacket:
    """A packet of a flow with its parsed header.

    Attributes:
        raw: the whole packet.
        flow: key of the flow, the same in both directions.
        entry: packed address and port of the entry (4 and 2 bytes).
        opening: whether it requests to open the flow.
        attempt: for an opening packet, the number of previous transmissions.
        accepting: whether it is a target's answer to an opening packet.
        closing: whether it closes the sender's side of the flow.
        resetting: whether it resets the flow.
        returned: whether a target has returned it instead of accepting it.
        stamp: value that the agent wrote into the packet before delivery.
        data_bytes: length of the payload.
    """

    raw: bytes
    flow: bytes
    entry: bytes
    opening: bool
    attempt: int
    accepting: bool
    closing: bool
    resetting: bool
    returned: bool
    stamp: int
    data_bytes: int


class PacketFormat(Protocol):
    """Parser and writer for one packet format."""

    def read_caller(self, raw: bytes) -> FlowPacket:
        """Parse a packet from a caller; raises `PacketError` if it is malformed."""

    def read_target(self, raw: bytes) -> FlowPacket:
        """Parse a packet sent or returned by a target; raises `PacketError` if malformed."""

    def stamped(self, packet: FlowPacket, stamp: int) -> bytes:
        """Return the packet for delivery, stamped (up to 31 bits) and not marked as returned."""

    def reset(self, packet: FlowPacket) -> bytes:
        """Return the reset that ends the flow of a caller's packet at the caller."""

    def caller_host(self, flow: bytes) -> str:
        """Return the IPv4 address of a flow's caller."""


PACKET_FORMATS: Final[Registry[PacketFormat]] = Registry(kind="packet format")
