"""Properties of the platform adapter: foreign bytes do no harm, valid ones come back whole."""

from __future__ import annotations

import json

from hypothesis import given
from hypothesis import strategies as st

from lentilcourse.errors import PacketError
from lentilcourse.platform.documents import decode_document
from lentilcourse.platform.fields import MalformedCallError
from lentilcourse.platform.packets import (
    ECHO_AT,
    ECHO_END,
    FLAG_ACK,
    FLAG_BOUNCED,
    FLAG_RST,
    FLAG_SYN,
    FLAGS_AT,
    HEAD_BYTES,
    KNOWN_FLAGS,
    PlatformPackets,
)
from lentilcourse.platform.target_calls import decode_heartbeat
from properties import prop
from properties.steering_world import caller, packet

FORMAT = PlatformPackets()
SAMPLE_OPENING = bytes.fromhex(
    "a1b2c3d5 11223344 00000000 40 000000 0000 00000000 64400007 9c41 c6120001 01bb"
)
SAMPLE_RESET = bytes.fromhex(
    "00000000 00000000 00000000 02 000000 0000 00000000 c6120001 01bb 64400007 9c41"
)

DOCUMENT = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "hostname": "198.18.0.1",
            "pathPrefix": "/8443/",
            "routeType": "safe",
            "timeoutMs": 500,
            "targetLatencyMs": 100,
            "priority": 2,
            "trafficSplit": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}],
        },
        {
            "name": "r-2",
            "hostname": "198.18.0.2",
            "pathPrefix": "/8443/",
            "routeType": "unsafe",
            "timeoutMs": 600,
            "targetLatencyMs": 120,
            "priority": 1,
            "service": "s1",
        },
    ],
    "services": [
        {"name": "s1", "healthPath": "/h", "maxConns": 20, "coldStartS": 2.0, "coldPerS": 4},
        {"name": "s2", "healthPath": "/h", "maxConns": 20, "coldStartS": 2.0, "coldPerS": 0.0},
    ],
    "limits": {"idleTimeoutMs": 15000},
}
HEARTBEAT = {
    "service": "s1",
    "address": "10.128.0.9:8080",
    "zone": "z",
    "version": "v1",
    "slots": 1,
    "state": "ready",
    "coldLeftMs": 1500,
    "sequence": 4,
    "born": 1785271066705,
}


@prop("platform.samples_of_the_page")
def check_samples():
    """The packets that the platform's page shows are read and written as it says."""
    opening = FORMAT.read_caller(SAMPLE_OPENING)
    assert opening.opening and not opening.accepting and opening.data_bytes == 0
    assert FORMAT.caller_host(opening.flow) == "100.64.0.7"
    assert FORMAT.reset(opening) == SAMPLE_RESET


@prop("platform.packets_round_trip")
@given(
    st.integers(0, 2**16 - 1),
    st.integers(0, KNOWN_FLAGS).map(lambda flags: flags & KNOWN_FLAGS & ~FLAG_BOUNCED),
    st.binary(max_size=1200),
    st.integers(0, 2**31 - 1),
)
def check_packets(number, flags, data, stamp):
    """A stamp changes echo alone, comes back, and both directions name the same flow."""
    raw = packet(caller(number), flags, data, ack=9)
    read = FORMAT.read_caller(raw)
    stamped = FORMAT.stamped(read, stamp)
    assert stamped[:ECHO_AT] + stamped[ECHO_END:] == raw[:ECHO_AT] + raw[ECHO_END:]
    returned = stamped[:FLAGS_AT] + bytes((flags | FLAG_BOUNCED,)) + stamped[FLAGS_AT + 1 :]
    back = FORMAT.read_target(returned)
    assert back.returned and back.stamp == stamp and back.flow == read.flow
    assert FORMAT.stamped(back, 0) == raw
    answer = raw[:22] + raw[28:34] + raw[22:28] + data
    assert FORMAT.read_target(answer).flow == read.flow


@prop("platform.reset_is_inside_the_window")
@given(st.integers(0, 2**16 - 1), st.integers(0, 2**32 - 1))
def check_reset(number, ack):
    """A reset of an open flow names the caller's position and carries neither data nor sum."""
    raw = packet(caller(number), FLAG_ACK, b"data", ack=ack)
    reset = FORMAT.reset(FORMAT.read_caller(raw))
    assert len(reset) == HEAD_BYTES and reset[:4] == bytes(4) and reset[16:18] == bytes(2)
    assert reset[4:8] == ack.to_bytes(4, "big") and reset[FLAGS_AT] == FLAG_RST
    assert reset[22:28] == raw[28:34] and reset[28:34] == raw[22:28]


@prop("platform.foreign_packets_are_refused")
@given(st.binary(max_size=60), st.booleans())
def check_foreign_packets(raw, truncate):
    """Bytes that are no packet raise `PacketError` and nothing else."""
    whole = packet(caller(1), FLAG_SYN, b"12345")
    tried = whole[: len(raw)] if truncate else raw
    for read in (FORMAT.read_caller, FORMAT.read_target):
        try:
            found = read(tried)
        except PacketError:
            continue
        assert found.raw == tried and len(tried) == HEAD_BYTES + found.data_bytes


@prop("platform.unknown_flags_are_refused")
@given(st.integers(0, 255).filter(lambda flags: flags & ~KNOWN_FLAGS))
def check_flags(flags):
    """A packet with flags that are not defined is refused."""
    try:
        FORMAT.read_caller(packet(caller(1), flags))
    except PacketError:
        return
    raise AssertionError("unknown flags were taken")


@prop("platform.document_is_decoded")
def check_document():
    """A valid document comes back as catalogue, with its own bytes kept."""
    body = json.dumps(DOCUMENT).encode()
    catalogue = decode_document(body)
    assert (catalogue.number, catalogue.document, catalogue.flow_idle_s) == (7, body, 15.0)
    first, second = catalogue.entries
    assert [(part.service, part.weight) for part in first.services] == [("s1", 90), ("s2", 10)]
    assert (str(second.address), second.rank, second.repeatable) == ("198.18.0.2:8443", 1, False)
    assert [service.cold_rate for service in catalogue.services] == [4.0, 0.0]


def changed(change):
    """Return the sample document after a change in place."""
    document = json.loads(json.dumps(DOCUMENT))
    change(document)
    return json.dumps(document).encode()


INVALID = {
    "cut short": lambda d: None,
    "unknown service": lambda d: d["routes"][1].update(service="s9"),
    "same place": lambda d: d["routes"][1].update(hostname="198.18.0.1"),
    "no weight": lambda d: [part.update(weight=0) for part in d["routes"][0]["trafficSplit"]],
    "no timeout": lambda d: d["routes"][0].update(timeoutMs=0),
    "no version": lambda d: d.pop("version"),
    "version no number": lambda d: d.update(version="7"),
    "no routes": lambda d: d.pop("routes"),
    "routes no list": lambda d: d.update(routes={}),
    "host no address": lambda d: d["routes"][0].update(hostname="example"),
    "no kind": lambda d: d["routes"][0].update(routeType="odd"),
    "service twice": lambda d: d["services"].append(d["services"][0]),
}


@prop("platform.invalid_documents_are_refused")
def check_invalid():
    """Every kind of invalid document is refused, with a reason."""
    for name, change in INVALID.items():
        body = changed(change)
        if name == "cut short":
            body = body[: len(body) // 2]
        try:
            decode_document(body)
        except MalformedCallError as exc:
            assert str(exc), name
        else:
            raise AssertionError(name)


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=8,
)


@prop("platform.foreign_documents_are_refused")
@given(st.sampled_from([*DOCUMENT, "routes.0", "services.0"]), JSON, st.binary(max_size=30))
def check_foreign_documents(place, value, noise):
    """A document with any field replaced, or no document, raises `MalformedCallError` at most."""
    document = json.loads(json.dumps(DOCUMENT))
    parent, _, index = place.partition(".")
    if index:
        document[parent][0] = value
    else:
        document[parent] = value
    for body in (json.dumps(document).encode(), noise):
        try:
            decode_document(body)
        except MalformedCallError:
            continue


@prop("platform.heartbeat_is_decoded")
def check_heartbeat():
    """A heartbeat comes back as announcement."""
    report = decode_heartbeat("i-1", json.dumps(HEARTBEAT).encode())
    assert (report.target_id, report.sequence, report.born_ms) == ("i-1", 4, 1785271066705)
    assert (report.cold_s, report.draining, str(report.address)) == (1.5, False, "10.128.0.9:8080")


@prop("platform.foreign_heartbeats_are_refused")
@given(st.sampled_from(list(HEARTBEAT)), JSON, st.binary(max_size=30))
def check_foreign_heartbeats(field, value, noise):
    """A heartbeat of another writer names a target whole or raises `MalformedCallError`."""
    for body in (json.dumps({**HEARTBEAT, field: value}).encode(), noise):
        try:
            report = decode_heartbeat("i-1", body)
        except MalformedCallError:
            continue
        assert report.slots >= 1 and report.service and report.sequence >= 0
