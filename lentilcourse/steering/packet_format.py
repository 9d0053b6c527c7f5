"""The packet format edge: what steering needs to know of a packet.

A format plug-in reads the header of a packet once into a `FlowPacket` and writes the few
things that steering may write. Everything else treats packets as bytes.
"""

from __future__ import annotations

from typing import Final, Protocol

import attrs

from lentilcourse.kernel.registry import Registry


@attrs.define(kw_only=True, slots=True)
class FlowPacket:
    """One packet of a flow, as its header says.

    Attributes:
        raw: the whole packet.
        flow: identity of the flow, the same in both directions.
        entry: packed address and port of the entry (4 and 2 bytes).
        opening: whether it asks to open the flow.
        attempt: for an opening packet, how many copies were sent before it.
        accepting: whether it is a target's answer to an opening packet.
        closing: whether it ends the sender's side of the flow.
        resetting: whether it breaks the flow off.
        returned: whether a target gave it back.
        stamp: what the agent wrote into the packet before delivery.
        data_bytes: length of the data that it carries.
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
    """One packet format."""

    def read_caller(self, raw: bytes) -> FlowPacket:
        """Read a packet of a caller; raises `PacketError`."""

    def read_target(self, raw: bytes) -> FlowPacket:
        """Read a packet that a target sent or gave back; raises `PacketError`."""

    def stamped(self, packet: FlowPacket, stamp: int) -> bytes:
        """Return the packet for delivery, with a stamp of at most 31 bits and not returned."""

    def reset(self, packet: FlowPacket) -> bytes:
        """Return the packet that ends the flow of a caller's packet at the caller."""

    def caller_host(self, flow: bytes) -> str:
        """Return the caller's IPv4 address of a flow."""


PACKET_FORMATS: Final[Registry[PacketFormat]] = Registry(kind="packet format")
