"""Properties on input that no log can hold, and on tasks that end by an unexpected error."""

from __future__ import annotations

import json
import threading

import msgpack
from hypothesis import given
from hypothesis import strategies as st

import lentilcourse.messages.operators
from lentilcourse.actions import ANY_VERSION, Change, PublishCatalogue, SetDomain, Verdict
from lentilcourse.agent.target import InvalidAnnouncementError, read_announcement
from lentilcourse.catalogue import Catalogue, ServicePolicy
from lentilcourse.codec import decode_message, encode_message
from lentilcourse.controller.progress import Role
from lentilcourse.errors import ProtocolError, StorageError, UnencodableError
from lentilcourse.kernel.lifecycle import MAX_RESTARTS, Lifecycle
from lentilcourse.messages.base import MESSAGE_CLASSES
from lentilcourse.platform.documents import decode_document
from lentilcourse.platform.fields import MalformedCallError
from lentilcourse.platform.target_calls import decode_heartbeat
from properties import prop
from properties.consensus import TIMEOUT_S, group
from properties.platform import DOCUMENT, HEARTBEAT

HALF_A_PAIR = "feed \ud83d"
NOT_JSON = (
    b"NaN",
    b"Infinity",
    b"-Infinity",
    json.dumps(HALF_A_PAIR).encode(),
    HALF_A_PAIR.join('""').encode("utf-8", "surrogatepass"),
    b'{"a": 1, "a": 2}',
)
CLI_SAMPLE = {
    "service": "s",
    "incarnation": "i",
    "slots": 1,
    "connections": 1,
}


def places(value):
    """Yield the path of each value in a document, as keys and indexes."""
    yield ()
    if isinstance(value, dict | list):
        items = value.items() if isinstance(value, dict) else enumerate(value)
        for key, inner in items:
            for path in places(inner):
                yield (key, *path)


def with_raw(document, path, raw):
    """Return the bytes of a document in which raw bytes stand at a path."""
    marker = "@marker@"
    if not path:
        return raw
    copy = json.loads(json.dumps(document))
    parent = copy
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = marker
    return json.dumps(copy).encode().replace(f'"{marker}"'.encode(), raw)


def with_name(document, path, raw):
    """Return a document that has one more field, whose name is raw JSON text."""
    parent = copy = json.loads(json.dumps(document))
    for key in path:
        parent = parent[key]
    if not isinstance(parent, dict):
        return None
    parent["@marker@"] = 1
    return json.dumps(copy).encode().replace(b'"@marker@"', raw)


READERS = (
    (decode_document, DOCUMENT, MalformedCallError),
    (lambda body: decode_heartbeat("i-1", body), HEARTBEAT, MalformedCallError),
    (read_announcement, CLI_SAMPLE, InvalidAnnouncementError),
)


@prop("input.what_is_not_json_is_refused")
def check_json():
    """Text that no codec can carry, and numbers that are no JSON, are refused at any place.

    A name that ended in half a surrogate pair was proposed, and ended the log writer.
    """
    for read, document, error in READERS:
        bodies = [with_raw(document, path, raw) for path in places(document) for raw in NOT_JSON]
        bodies += [with_raw({**document, "further": 1}, ("further",), raw) for raw in NOT_JSON]
        bodies += [
            with_name(document, path, raw) for path in places(document) for raw in NOT_JSON[3:5]
        ]
        for body in [each for each in bodies if each is not None]:
            try:
                read(body)
            except error:
                continue
            raise AssertionError(body)
        read(json.dumps({**document, "further": "\U0001f600 \u0000"}).encode())


WIRE = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.text(max_size=4)
    | st.sampled_from(("9" * 30, "-1", "1e400"))
    | st.binary(max_size=4),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner),
    max_leaves=6,
)
FIELD = st.sampled_from(("9" * 30, "1e400", 1.5)) | WIRE
SAMPLE = encode_message(
    lentilcourse.messages.operators.ProposeChange(
        change_id="c", edit_version=1, action=SetDomain(name="d", state="out")
    )
)


@prop("codec.accepted_messages_are_sent_on")
@given(st.sampled_from(sorted(MESSAGE_CLASSES)), st.data())
def check_codec(name, data):
    """What is accepted from a peer can be encoded again and comes back equal."""
    fields = {each.name: data.draw(WIRE) for each in MESSAGE_CLASSES[name].__attrs_attrs__}
    _, sample = msgpack.unpackb(SAMPLE)
    sample[data.draw(st.sampled_from(sorted(sample)))] = data.draw(FIELD)
    sample["action"] = {"name": data.draw(WIRE), "state": "out", "_type": "SetDomain"}
    for wire in ([name, fields], ["ProposeChange", sample]):
        try:
            msg = decode_message(wire)
        except ProtocolError:
            continue
        assert decode_message(msgpack.unpackb(encode_message(msg))) == msg


@prop("codec.conversions_are_refused")
def check_conversions():
    """A number in place of bytes, or digits in place of a number, is refused, not converted."""
    for wire in (
        ["Challenge", {"nonce": 2**40}],
        ["AuditRequest", {"last": "9" * 30}],
        ["Failure", {"code": b"x", "text": 1}],
    ):
        try:
            decode_message(wire)
        except ProtocolError:
            continue
        raise AssertionError(wire)


def change(number, action):
    """Return a change of the platform's operator."""
    return Change(
        change_id=f"broken-{number}",
        operator="o",
        source="",
        at_ms=0,
        edit_version=ANY_VERSION,
        action=action,
    )


def catalogue(number, name):
    """Return an action that publishes a catalogue with one service."""
    service = ServicePolicy(name=name, connections=1, cold_start_s=0.0, cold_rate=0.0)
    return PublishCatalogue(name="c", catalogue=Catalogue(number=number, services=(service,)))


@prop("consensus.unencodable_change_stops_nothing")
def check_unencodable():
    """A change that no log can hold is refused, and the next one is accepted.

    The writer of the log had ended, while its replica went on leading.
    """
    machine = group()
    leader = machine.replicas["a"]
    for number, broken in enumerate((catalogue(1, HALF_A_PAIR), catalogue(2**70, "s"))):
        try:
            fut = leader.propose(change(f"x{number}", broken), machine.now)
        except UnencodableError:
            continue
        raise AssertionError(fut)
    fut = leader.propose(change("valid", catalogue(1, "s")), machine.now)
    leader.write_proposals(machine.now)
    machine.settle(None)
    assert fut.result(timeout=1.0).verdict is Verdict.ACCEPTED
    machine.teardown()


@prop("consensus.leader_that_cannot_write_resigns")
def check_writer():
    """A leader whose log is not written stops leading: by any error, or when nobody writes."""
    machine = group()
    leader, store = machine.replicas["a"], machine.stores["a"]
    append, store.append = store.append, lambda entries: 1 / 0
    fut = leader.propose(change("fails", catalogue(1, "s")), machine.now)
    leader.write_proposals(machine.now)
    assert leader.role is Role.FOLLOWER and isinstance(fut.exception(timeout=1.0), StorageError)
    store.append = append
    machine.elect("a", None)
    leader.write_proposals = lambda now: None
    leader.propose(change("waits", catalogue(1, "s")), machine.now)
    for _ in range(4):
        machine.now += TIMEOUT_S / 3
        leader.tick(machine.now)
        if leader.role is not Role.LEADER:
            break
        machine.settle(None)
    assert leader.role is not Role.LEADER
    machine.teardown()


@prop("consensus.long_queue_is_no_stuck_writer")
def check_long_queue():
    """A leader that writes one change at a time goes on leading while its queue is long."""
    machine = group()
    leader = machine.replicas["a"]
    leader._group_commit = False
    futures = [
        leader.propose(change(f"queued-{number}", catalogue(number, "s")), machine.now)
        for number in range(1, 12)
    ]
    for _ in range(8):
        machine.now += TIMEOUT_S / 4
        leader.write_proposals(machine.now)
        machine.settle(None)
        leader.tick(machine.now)
        assert leader.role is Role.LEADER
    assert futures[0].result(timeout=1.0).verdict is Verdict.ACCEPTED
    machine.teardown()


@prop("consensus.failing_rule_refuses_its_change")
def check_rule():
    """A committed change that makes its rule fail is refused, and what follows is applied."""
    machine = group()
    leader = machine.replicas["a"]
    broken = change("rule", PublishCatalogue(name="c", catalogue=Catalogue(number=1, entries=None)))
    follows = change("follows", catalogue(1, "s"))
    outcomes = [leader.machine.apply(each) for each in (broken, follows)]
    assert [each.verdict for each in outcomes] == [Verdict.INVALID, Verdict.ACCEPTED]
    machine.teardown()


@prop("tasks.guarded_loop_is_started_again")
def check_restart():
    """A loop that the process needs is started again when it ends, by an error or without."""
    lifecycle = Lifecycle()
    runs = []
    done = threading.Event()

    def loop():
        runs.append(len(runs))
        if len(runs) == 1:
            raise RuntimeError("unexpected")
        if len(runs) == 3:
            done.set()
            lifecycle.stopped.wait(timeout=5.0)

    failures = []
    pool = lifecycle.pool(name="guarded", limit=1)
    lifecycle.keep_running(pool, loop, lambda: failures.append(len(runs)))
    assert done.wait(timeout=5.0) and failures == [1, 2] and not lifecycle.failed
    lifecycle.stopped.set()
    pool.close()


@prop("tasks.loop_that_keeps_failing_ends_the_process")
def check_failing():
    """A process whose loop ends again and again stops; it does not go on without the loop."""
    lifecycle = Lifecycle()
    pool = lifecycle.pool(name="guarded", limit=1)
    lifecycle.keep_running(pool, lambda: 1 / 0)
    given_up = lifecycle.stopped.wait(timeout=2.0 + MAX_RESTARTS)
    lifecycle.stopped.set()
    pool.close()
    assert given_up and lifecycle.failed
