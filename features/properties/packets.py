"""Properties of packets and encapsulation: round trips, and no harm from foreign bytes."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from lentilcourse.agent.target import InvalidAnnouncementError, read_announcement
from lentilcourse.codec import decode_message, encode_message, new_unpacker
from lentilcourse.errors import PacketError, ProtocolError
from lentilcourse.geneve import (
    OWN_START,
    PLAIN_HEADER,
    PacketLabel,
    decode_labelled,
    decode_plain,
    encode_label,
)
from lentilcourse.messages.flows import FlowRecord, RegisterFlows
from lentilcourse.packets import (
    PROTOCOL_UDP,
    build_answer,
    build_first_bytes,
    build_refusal,
    build_reset,
    build_udp,
    check_packet,
    flow_key,
    internet_checksum,
    read_refusal,
    read_udp,
    tcp_flags,
)
from properties import prop

hosts = st.binary(min_size=4, max_size=4)
ports = st.binary(min_size=4, max_size=4)
payloads = st.binary(max_size=300)
u64 = st.integers(0, 2**64 - 1)
u8 = st.integers(0, 255)


@prop("packets.udp_round_trip")
@given(hosts, hosts, ports, payloads)
def check_udp(source, destination, both, payload):
    """A built packet is whole, its checksums hold, and its fields come back."""
    packet = build_udp(source, destination, both, payload)
    check_packet(packet)
    assert internet_checksum(packet[:20]) in (0, 0xFFFF)
    pseudo = source + destination + bytes((0, PROTOCOL_UDP)) + packet[24:26]
    assert internet_checksum(pseudo + packet[20:]) in (0, 0xFFFF)
    view = read_udp(packet)
    assert (view.source, view.destination, view.payload) == (source, destination, payload)
    answer = read_udp(build_answer(flow_key(packet), payload))
    assert (answer.source, answer.destination) == (destination, source)
    assert (answer.source_port, answer.destination_port) == (
        view.destination_port,
        view.source_port,
    )


@prop("packets.refusal_round_trip")
@given(hosts, hosts, ports, payloads, st.text(max_size=80))
def check_refusal(source, destination, both, payload, text):
    """A refusal carries the flow key and the text to the caller."""
    packet = build_udp(source, destination, both, payload)
    text = text.replace("\0", "")
    read = read_refusal(build_refusal(packet, 13, text))
    assert read == (flow_key(packet), 13, text.encode("utf-8", "replace").decode())


@prop("packets.reset_answers_any_flow")
@given(hosts, hosts, ports)
def check_reset(source, destination, both):
    """The reset of a TCP flow is a whole TCP packet in the opposite direction."""
    packet = build_first_bytes(source + destination + both + bytes((6,)))
    reset = build_reset(packet)
    check_packet(reset)
    assert reset[12:16] == destination and reset[16:20] == source
    assert tcp_flags(reset) & 0x04


@prop("packets.label_round_trip")
@given(u64, u64, u8, u8, st.integers(0, 65535), payloads)
def check_label(entry_id, version, hops, flags, detail, packet):
    """Our option comes back as it was sent."""
    label = PacketLabel(entry_id=entry_id, version=version, hops=hops, flags=flags, detail=detail)
    assert decode_labelled(encode_label(label) + packet) == (label, packet)


@prop("packets.foreign_bytes")
@given(
    st.one_of(
        st.binary(max_size=200),
        st.binary(max_size=80).map(lambda tail: PLAIN_HEADER + tail),
        st.binary(max_size=80).map(lambda tail: OWN_START + tail),
    )
)
def check_foreign(datagram):
    """Any bytes are carried or refused with `PacketError`, never anything else."""
    for decode in (decode_plain, lambda raw: decode_labelled(raw)[1]):
        try:
            check_packet(decode(datagram))
        except PacketError:
            continue


@prop("packets.damaged_packet")
@given(hosts, hosts, ports, payloads, st.integers(0, 400), st.integers(1, 255))
def check_damaged(source, destination, both, payload, position, mask):
    """A packet with one changed byte is carried or refused with `PacketError`."""
    raw = bytearray(PLAIN_HEADER + build_udp(source, destination, both, payload))
    raw[position % len(raw)] ^= mask
    try:
        check_packet(decode_plain(bytes(raw)))
    except PacketError:
        return


@prop("packets.unknown_critical_option")
@given(st.integers(0, 127), st.binary(min_size=4, max_size=4))
def check_critical(option_type, data):
    """A packet with a critical option that is not known goes nowhere."""
    option = bytes((0x01, 0x02, option_type | 0x80, 1)) + data
    header = bytes((len(option) // 4, 0x40)) + PLAIN_HEADER[2:]
    try:
        decode_plain(header + option + build_udp(data, data, data, b""))
    except PacketError:
        return
    raise AssertionError("carried")


@prop("messages.round_trip")
@given(st.lists(st.tuples(st.binary(max_size=13), u64, st.integers(0, 65535)), max_size=5))
def check_message(records):
    """A message comes back equal."""
    msg = RegisterFlows(
        owner="target-1",
        version=3,
        flows=tuple(
            FlowRecord(key=key, entry_id=entry, local_port=port, idle_ms=0)
            for key, entry, port in records
        ),
    )
    unpacker = new_unpacker(1 << 20)
    unpacker.feed(encode_message(msg))
    assert decode_message(unpacker.unpack()) == msg


json_like = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**60), 2**60) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=4)
    | st.dictionaries(st.text(max_size=6), inner, max_size=4),
    max_leaves=12,
)


@prop("messages.foreign_values")
@given(
    json_like,
    st.sampled_from(("RegisterFlows", "Subscribe", "RequestStart", "VoteRequest", "Nothing")),
)
def check_foreign_message(body, name):
    """Any value is a message or a `ProtocolError`, never anything else."""
    for wire in (body, [name, body]):
        try:
            decode_message(wire)
        except ProtocolError:
            continue


@prop("announcements.foreign_bytes")
@given(st.binary(max_size=100) | json_like.map(lambda value: repr(value).encode()))
def check_announcement(body):
    """Any announcement is read or refused with its own error."""
    try:
        read_announcement(body)
    except InvalidAnnouncementError:
        return
