"""Properties of bootstrapping, membership repair, linearizable reads and agent discovery."""

from __future__ import annotations

import random
import shutil
import socket
import tempfile
import threading
import time
from concurrent.futures import Future
from pathlib import Path
from types import SimpleNamespace

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from lentilcourse.actions import ANY_VERSION, Change, PublishCatalogue, SetDomain, Verdict
from lentilcourse.catalogue import Catalogue
from lentilcourse.changes import decide_change
from lentilcourse.controller.directory_relay import DirectoryRelay
from lentilcourse.controller.log_store import LogStore
from lentilcourse.controller.machine import CatalogueMachine
from lentilcourse.controller.membership import (
    LEARNER_LOST_AFTER_S,
    VOTER_LOST_AFTER_S,
    due_membership_change,
)
from lentilcourse.controller.progress import PeerView, Role
from lentilcourse.controller.proposals import await_commit
from lentilcourse.controller.quorum import changed_membership, quorum_size
from lentilcourse.controller.registrations import MAX_ACTIONS_PER_CALL, Registrations
from lentilcourse.controller.replica import MAX_BATCH_BYTES, Replica, bounded_batch
from lentilcourse.directory import AgentNotice, AgentRecord, Directory
from lentilcourse.errors import LentilcourseError, WrongReplicaError
from lentilcourse.kernel.lifecycle import Lifecycle
from lentilcourse.messages.base import Done
from lentilcourse.messages.consensus import LogEntry, Member, Membership
from lentilcourse.model import State, apply_delta
from lentilcourse.options import Address
from lentilcourse.steering.loops import DatagramLoop
from lentilcourse.streams import KIND_PROCESS, Identity, KeyRing, StreamListener
from properties import prop

ELECTION_TIMEOUT_S = 0.6
CONFIGURED_VOTERS = 3


def member(name, address=None, voter=True):
    """Return a member whose address is its name unless another is given."""
    return Member(replica_id=name, name=name, address=address or f"{name}:1", voter=voter)


def view(name, silence=0.0, voter=True, caught_up=True, address=None):
    """Return a leader's view of a member."""
    return PeerView(member=member(name, address, voter), silence_s=silence, caught_up=caught_up)


DUE_CHANGE_CASES = {
    "complete group": ([view("a"), view("b"), view("c")], None),
    "lost voter, no learner": ([view("a"), view("b"), view("c", 9.0)], None),
    "lost voter, learner": (
        [view("a"), view("b"), view("c", 9.0), view("d", voter=False)],
        ("promote", "d"),
    ),
    "lost voter, learner behind": (
        [view("a"), view("b"), view("c", 9.0), view("d", voter=False, caught_up=False)],
        None,
    ),
    "lost voter, learner promoted": (
        [view("a"), view("b"), view("c", 9.0), view("d")],
        ("remove", "c"),
    ),
    "data folder lost": (
        [view("a"), view("b"), view("c", 1.0), view("c2", voter=False, address="c:1")],
        ("replace", "c2"),
    ),
    "data folder lost, learner promoted": (
        [view("a"), view("b"), view("c", 1.0), view("c2", address="c:1")],
        ("remove", "c"),
    ),
    "learner not needed": ([view("a"), view("b"), view("c"), view("d", voter=False)], None),
    "four live voters": ([view("a"), view("b"), view("c"), view("d")], None),
    "two voters, learner": ([view("a"), view("b"), view("d", voter=False)], ("promote", "d")),
    "silent learner": (
        [view("a"), view("b"), view("c"), view("d", LEARNER_LOST_AFTER_S + 1, voter=False)],
        ("remove", "d"),
    ),
    "new learner at a live voter's address": (
        [view("a"), view("b"), view("c"), view("c2", voter=False, address="c:1")],
        None,
    ),
}


@prop("formation.due_change")
def check_due():
    """Each group state of the table leads to its expected membership change."""
    for name, (views, expected) in DUE_CHANGE_CASES.items():
        change = due_membership_change(tuple(views), "a", CONFIGURED_VOTERS)
        actual = (change.verb, change.member.replica_id) if change is not None else None
        assert actual == expected, (name, actual)


silences = st.floats(0.0, 2 * LEARNER_LOST_AFTER_S)
views = st.lists(st.tuples(silences, st.booleans(), st.booleans()), min_size=1, max_size=7)


@prop("formation.quorum_is_never_reduced")
@given(views, st.sampled_from([3, 5]))
def check_quorum(others, configured_voters):
    """No change removes the leader or a live voter, or leaves fewer voters than configured."""
    known = [view("a")]
    for index, (silence, voter, caught_up) in enumerate(others):
        known.append(view(f"p{index}", silence, voter, caught_up))
    voters = sum(each.member.voter for each in known)
    change = due_membership_change(tuple(known), "a", configured_voters)
    if change is None or change.verb != "remove" or not change.member.voter:
        return
    assert change.member.replica_id != "a"
    assert voters > configured_voters
    (removed,) = [each for each in known if each.member == change.member]
    assert removed.silence_s > VOTER_LOST_AFTER_S


@prop("formation.repair_ends")
@given(st.integers(0, 2), st.integers(1, 3), st.sampled_from([3, 5]))
def check_repair(lost, learners, configured_voters):
    """Repair ends within 20 changes and replaces as many lost voters as there are learners."""
    names = [f"v{index}" for index in range(configured_voters)]
    gone = set(names[1 : 1 + min(lost, configured_voters // 2)])
    members = [member(name) for name in names]
    members += [member(f"l{index}", voter=False) for index in range(learners)]
    membership = Membership(members=tuple(members))
    for _ in range(20):
        known = tuple(
            PeerView(
                member=each,
                silence_s=VOTER_LOST_AFTER_S + 1 if each.replica_id in gone else 0.0,
                caught_up=each.replica_id not in gone,
            )
            for each in membership.members
        )
        change = due_membership_change(known, "v0", configured_voters)
        if change is None:
            break
        membership = changed_membership(membership, change.verb, change.member)
        live = [each for each in membership.voters() if each.replica_id not in gone]
        assert len(live) >= quorum_size(len(membership.voters()))
    replaced = min(len(gone), learners)
    lost_voters = [each for each in membership.voters() if each.replica_id in gone]
    assert len(lost_voters) == len(gone) - replaced
    assert len(membership.voters()) == configured_voters


def exchange_request(replica, other, req, now):
    """Deliver a request of `replica` to `other`, and its reply back to `replica`."""
    if hasattr(req, "pre_vote"):
        reply = other.on_vote_request(req, now)
        replica.on_vote_reply(other.replica_id, req, reply, now)
    else:
        reply = other.on_append_request(req, now)
        replica.on_append_reply(other.replica_id, req, reply, now, now)


class Group:
    """Three replicas that exchange requests synchronously, without a network."""

    NAMES = "abc"

    def __init__(self, root):
        self.now = 10.0
        self.elected_at = float("inf")
        self.replicas = {}
        self.down = set()
        for index, name in enumerate(self.NAMES):
            store = LogStore(folder=root / name, name=name)
            self.replicas[store.replica_id] = self.new_replica(store, random.Random(index))
        members = [member(name) for name in self.replicas]
        for replica in self.replicas.values():
            replica.bootstrap(Membership(members=tuple(members)))

    def new_replica(self, store, rng):
        """Return a replica that starts now."""
        return Replica(
            store=store,
            machine=CatalogueMachine(),
            election_timeout_s=ELECTION_TIMEOUT_S,
            snapshot_records=1000,
            group_commit=True,
            rng=rng,
            now=self.now,
        )

    def step(self):
        """Advance time by 10 ms and exchange every due request between running replicas."""
        self.now += 0.01
        for name, replica in self.replicas.items():
            if name in self.down:
                continue
            replica.tick(self.now)
            replica.write_proposals(self.now)
            for peer in self.replicas.keys() - {name}:
                self._exchange(replica, peer)

    def _exchange(self, replica, peer):
        req = replica.next_request(peer, self.now)
        if req is not None and peer not in self.down:
            exchange_request(replica, self.replicas[peer], req, self.now)

    def leaders(self):
        """Return the ids of the replicas that act as leader."""
        return [name for name, each in self.replicas.items() if each.role is Role.LEADER]

    def elect(self, limit_s):
        """Step until a running replica leads, and five steps more; returns the elapsed time."""
        started = self.now
        while not [name for name in self.leaders() if name not in self.down]:
            self.step()
            assert self.now - started < limit_s
        self.elected_at = self.now
        for _ in range(5):
            self.step()
        return self.now - started


def with_new_group(check):
    """Decorate a check so that it receives a new group in a temporary folder."""

    def run():
        root = Path(tempfile.mkdtemp(prefix="lentilcourse-"))
        try:
            check(Group(root))
        finally:
            shutil.rmtree(root)

    return run


@prop("formation.first_leader_comes_at_once")
@with_new_group
def check_first_leader(group):
    """Replicas that start without a leader elect one within an election timeout."""
    assert group.elect(ELECTION_TIMEOUT_S) < ELECTION_TIMEOUT_S


class StartingGroup(Group):
    """Five replicas of a group that has lost all power; they start one after the other."""

    NAMES = "abcde"

    def __init__(self, root, seed):
        super().__init__(root)
        self.seed = seed
        rng = random.Random(seed)
        self.starts = {name: self.now + rng.uniform(0.0, 0.3) for name in self.replicas}
        self.down = set(self.replicas)
        self.stores = {name: each._store for name, each in self.replicas.items()}

    def step(self):
        """Start the replicas that are due and advance time."""
        for name in list(self.down):
            if self.starts[name] <= self.now:
                self.down.discard(name)
                self.replicas[name] = self.new_replica(self.stores[name], random.Random(name))
        super().step()


@prop("formation.leader_follows_a_majority")
def check_starting_group():
    """A leader is elected within 0.15 s after a majority has started, in nine cases of ten.

    It took half a second from running processes to a leader after all power was lost.
    """
    delays = []
    for seed in range(60):
        root = Path(tempfile.mkdtemp(prefix="lentilcourse-"))
        try:
            group = StartingGroup(root, seed)
            majority_at = sorted(group.starts.values())[2]
            group.elect(5.0)
            delays.append(group.elected_at - majority_at)
        finally:
            shutil.rmtree(root)
    delays.sort()
    assert delays[int(0.9 * len(delays))] <= 0.15, delays
    assert delays[-1] <= ELECTION_TIMEOUT_S, delays


@prop("formation.election_keeps_subscribers")
@with_new_group
def check_freshness(group):
    """A follower names the age of its state also while a new leader is elected."""
    assert all(each.freshness_s(group.now) == float("inf") for each in group.replicas.values())
    group.elect(5.0)
    (leader,) = group.leaders()
    group.down.add(leader)
    for _ in range(100):
        group.step()
        alive = group.replicas.keys() - group.down
        assert all(group.replicas[name].freshness_s(group.now) < 2.0 for name in alive)


def confirms_read(group, name, asked_at):
    """Return whether a replica confirms a read within 0.5 s while the group keeps stepping."""
    results = []
    replica = group.replicas[name]
    task = threading.Thread(
        target=lambda: results.append(replica.wait_for_leadership_confirmation(asked_at, 0.5))
    )
    task.start()
    while task.is_alive():
        group.step()
        task.join(0.005)
    return results[0]


@prop("formation.read_needs_a_quorum")
@with_new_group
def check_read(group):
    """A leader confirms a read by a quorum, and not when partitioned or superseded."""
    group.elect(5.0)
    (leader,) = group.leaders()
    assert confirms_read(group, leader, group.now + 0.001)
    old_leader = group.replicas[leader]
    group.down.add(leader)
    group.elect(5.0)
    assert old_leader.role is Role.LEADER
    assert not old_leader.wait_for_leadership_confirmation(group.now + 0.001, 0.05)
    group.down.clear()
    assert not confirms_read(group, leader, group.now + 0.001)


def publish(number, document=b"{}"):
    """Return a change that publishes a catalogue."""
    catalogue = Catalogue(number=number, document=document)
    return change_of(PublishCatalogue(name="catalogue", catalogue=catalogue))


def change_of(action):
    """Return a change with an action."""
    return Change(
        change_id=str(id(action)),
        operator="o",
        source="",
        at_ms=0,
        edit_version=ANY_VERSION,
        action=action,
    )


@prop("formation.highest_number_is_in_force")
@given(st.lists(st.tuples(st.integers(1, 6), st.binary(max_size=2)), max_size=20))
def check_numbers(sent):
    """Every catalogue is accepted; the highest number is in force, as first published."""
    state, first = State(), {}
    for number, document in sent:
        if number > state.catalogue.number:
            first[number] = document
        outcome, delta = decide_change(state, publish(number, document))
        assert outcome.verdict is Verdict.ACCEPTED
        state = apply_delta(state, delta) if delta is not None else state
    if sent:
        highest = max(number for number, _ in sent)
        assert (state.catalogue.number, state.catalogue.document) == (highest, first[highest])


@prop("formation.domain_without_listed_targets")
def check_domain():
    """A domain without listed targets can be taken out; a repeat is refused, changing nothing."""
    state = State(version=1, catalogue=Catalogue(number=1))
    outcome, delta = decide_change(state, change_of(SetDomain(name="z", state="out")))
    assert outcome.verdict is Verdict.ACCEPTED
    state = apply_delta(state, delta)
    outcome, delta = decide_change(state, change_of(SetDomain(name="z", state="out")))
    assert (outcome.verdict, outcome.field, delta) == (Verdict.INVALID, "state", None)


@prop("formation.batches_are_bounded")
@settings(max_examples=30)
@given(st.lists(st.integers(0, MAX_BATCH_BYTES), min_size=1, max_size=12))
def check_batches(sizes):
    """A batch has at least one entry, and exceeds the size limit by at most its last entry."""
    entries = tuple(
        LogEntry(index=index, term=1, change=publish(index, bytes(size)))
        for index, size in enumerate(sizes, 1)
    )
    batch = bounded_batch(entries)
    carried = sizes[: len(batch)]
    assert batch == entries[: len(batch)] and batch
    assert sum(carried[:-1]) < MAX_BATCH_BYTES
    assert len(batch) == len(entries) or sum(carried) >= MAX_BATCH_BYTES


@prop("formation.only_the_meant_replica_answers")
@with_new_group
def check_receiver(group):
    """A request to the replica id of a lost data folder is refused.

    A reply would make the leader count the lost replica as live.
    """
    group.elect(5.0)
    (leader,) = group.leaders()
    peer = next(name for name in group.replicas if name != leader)
    req = None
    while req is None:
        group.now += 0.05
        req = group.replicas[leader].next_request(peer, group.now)
    try:
        group.replicas[peer].on_append_request(attrs.evolve(req, receiver_id="former"), group.now)
    except WrongReplicaError:
        return
    raise AssertionError("a request to another replica id was answered")


@prop("formation.restarted_controllers_exchange_agents_at_once")
def check_relay():
    """Agent records reach a controller that starts slightly later, well within 1 s."""
    lifecycle = Lifecycle()
    known, received = Directory(), Directory()
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        address = Address(host="127.0.0.1", port=sock.getsockname()[1])
    key = b"0123456789abcdef"
    other = Member(replica_id="b", name="b", address=str(address), voter=True)
    replica = SimpleNamespace(
        replica_id="a", membership=lambda: Membership(members=(member("a"), other))
    )
    relay = DirectoryRelay(
        replica=replica,
        identity=Identity(name="a", kind=KIND_PROCESS, key=key),
        directory=known,
        lifecycle=lifecycle,
    )

    def serve(stream):
        while True:
            received.offer(stream.receive().notices, time.monotonic())
            stream.send(Done())

    tasks = lifecycle.pool(name="test", limit=4)
    try:
        relay.handle_local_notice(AgentNotice(record=agent_record()), time.monotonic())
        tasks.submit(relay.run)
        time.sleep(0.25)
        listener = StreamListener(
            name="b",
            address=address,
            keys=KeyRing(cluster_key=key),
            pool=tasks,
            lifecycle=lifecycle,
            serve=serve,
        )
        tasks.submit(listener.run)
        began = time.monotonic()
        while not received.records() and time.monotonic() - began < 5.0:
            time.sleep(0.01)
        assert time.monotonic() - began < 0.5
    finally:
        lifecycle.stopped.set()


def agent_record():
    """Return a record of an agent."""
    return AgentRecord(
        name="a1",
        address=Address(host="10.0.0.1", port=1),
        service="board",
        domain="d",
        state="serving",
        slots=1,
    )


@prop("formation.late_commit_ends_no_task")
def check_late_commit():
    """A commit timeout raises a `LentilcourseError`, which background tasks handle."""
    try:
        await_commit(Future(), 0.01)
    except LentilcourseError:
        return
    raise AssertionError("await_commit returned for a change that was not committed")


@prop("formation.many_agents_are_registered_in_parts")
@given(st.integers(0, 200))
def check_parts(count):
    """Any number of new agents is registered, at most `MAX_ACTIONS_PER_CALL` per call."""
    records = [attrs.evolve(agent_record(), name=f"a{number}") for number in range(count)]
    state, registrations = State(), Registrations()
    for _ in range(count // MAX_ACTIONS_PER_CALL + 1):
        due = registrations.due(state, records, set(), 0.0)
        assert len(due) <= MAX_ACTIONS_PER_CALL
        for action in due:
            _, delta = decide_change(state, change_of(action))
            state = apply_delta(state, delta)
    assert state.agents.keys() == {record.name for record in records}


@prop("formation.defect_in_one_datagram_stops_no_loop")
def check_loop():
    """A loop continues after an unexpected exception in its handler, and counts it."""
    lifecycle = Lifecycle()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        address = Address(host="127.0.0.1", port=sock.getsockname()[1])
    loop, handled = DatagramLoop(address=address, lifecycle=lifecycle), []

    def handle(datagram, now):
        if datagram == b"bad":
            raise KeyError(datagram)
        handled.append(datagram)
        lifecycle.stopped.set()

    for datagram in (b"bad", b"good"):
        loop.send(datagram, address.pair())
    loop.run(handle)
    assert handled == [b"good"] and loop.failed == 1
    for closer in lifecycle._closers:
        closer()
