"""Properties of the replicated log under loss, reordering, duplication, restarts and damage."""

from __future__ import annotations

import random
import shutil
import tempfile
import zlib
from pathlib import Path

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from lentilcourse.actions import Change, PutEntry
from lentilcourse.controller.files import RECORD_HEADER, RecordFile, scan_records
from lentilcourse.controller.log_store import LogStore
from lentilcourse.controller.machine import CatalogueMachine
from lentilcourse.controller.membership import due_membership_change
from lentilcourse.controller.progress import Role
from lentilcourse.controller.quorum import committed_index, quorum_size
from lentilcourse.controller.replica import Replica
from lentilcourse.errors import ChangeRefusedError, NotLeaderError, StorageError
from lentilcourse.messages.consensus import AppendReply, Member, Membership, VoteReply, VoteRequest
from properties import prop

TIMEOUT_S = 1.0
NAMES = ("a", "b", "c")
ROUNDS = 6
MAX_IN_FLIGHT = 60


@attrs.frozen(kw_only=True)
class Envelope:
    """One message in flight: a request, or the reply to it if `reply` is set."""

    source: str
    destination: str
    req: object
    reply: object
    sent: float


def address_of(name):
    """Return the address of a controller; it stays the same with a new data folder."""
    return f"127.0.0.1:{1 + NAMES.index(name)}"


class GroupMachine(RuleBasedStateMachine):
    """Three controllers with real data folders on a network that loses, reorders and repeats."""

    def __init__(self):
        super().__init__()
        self.root = Path(tempfile.mkdtemp(prefix="lentilcourse-"))
        self.now = 100.0
        self.in_flight = []
        self.replicas = {}
        self.folders = {}
        self.stores = {}
        self.sequence = 0
        self.committed = {}
        self.leaders_by_term = {}
        self.futures = {}
        self.proposed = []
        self.highest_commit = 0
        for name in NAMES:
            self.folders[name] = self.root / f"{name}-0"
            self.start(name)
        membership = Membership(
            members=tuple(
                Member(
                    replica_id=self.replicas[name].replica_id,
                    name=name,
                    address=address_of(name),
                    voter=True,
                )
                for name in NAMES
            )
        )
        for name in NAMES:
            self.replicas[name].bootstrap(membership)
        self.elect("a", None)

    def teardown(self):
        for store in self.stores.values():
            store.close()
        shutil.rmtree(self.root)

    def start(self, name):
        if name in self.stores:
            self.stores[name].close()
        self.stores[name] = LogStore(folder=self.folders[name], name=name)
        self.replicas[name] = Replica(
            store=self.stores[name],
            machine=CatalogueMachine(),
            election_timeout_s=TIMEOUT_S,
            snapshot_records=6,
            group_commit=True,
            rng=random.Random(f"{name}{self.sequence}"),
            now=self.now,
        )

    def by_id(self, replica_id):
        return next((r for r in self.replicas.values() if r.replica_id == replica_id), None)

    def send_due(self):
        for replica in self.replicas.values():
            for member in replica.membership().members:
                req = replica.next_request(member.replica_id, self.now)
                if req is not None:
                    self.in_flight.append(
                        Envelope(
                            source=replica.replica_id,
                            destination=member.replica_id,
                            req=req,
                            reply=None,
                            sent=self.now,
                        )
                    )
        del self.in_flight[:-MAX_IN_FLIGHT]

    def deliver(self, envelope):
        receiver = self.by_id(envelope.destination)
        if receiver is None:
            return
        if envelope.reply is None:
            reply = self.answer(receiver, envelope.req)
            reply_envelope = attrs.evolve(
                envelope, source=envelope.destination, destination=envelope.source, reply=reply
            )
            self.in_flight.append(reply_envelope)
        elif isinstance(envelope.reply, VoteReply):
            receiver.on_vote_reply(envelope.source, envelope.req, envelope.reply, self.now)
        elif isinstance(envelope.reply, AppendReply):
            receiver.on_append_reply(
                envelope.source, envelope.req, envelope.reply, envelope.sent, self.now
            )
        self.check_safety()

    def answer(self, receiver, req):
        if isinstance(req, VoteRequest):
            return receiver.on_vote_request(req, self.now)
        if hasattr(req, "entries"):
            return receiver.on_append_request(req, self.now)
        return receiver.on_install_request(req, self.now)

    def check_safety(self):
        """Check that committed entries never change and that each term has at most one leader."""
        for name, replica in self.replicas.items():
            store = self.stores[name]
            first = store.snapshot.last_index + 1
            for entry in store.entries_from(first, replica.commit_index - first + 1):
                identity = (entry.term, entry.change and entry.change.change_id)
                assert self.committed.setdefault(entry.index, identity) == identity, entry.index
            if replica.role is Role.LEADER:
                leader = self.leaders_by_term.setdefault(replica.term, replica.replica_id)
                assert leader == replica.replica_id, replica.term

    @rule(name=st.sampled_from(NAMES))
    def expire(self, name):
        """Expire the election timer of one replica."""
        self.now += 2.1 * TIMEOUT_S
        self.replicas[name].tick(self.now)
        self.send_due()

    @rule(seconds=st.sampled_from((0.05, 0.2, 1.5)))
    def pass_time(self, seconds):
        self.now += seconds
        for replica in self.replicas.values():
            replica.tick(self.now)
        self.send_due()

    @rule(index=st.integers(0, MAX_IN_FLIGHT), fate=st.sampled_from(("once", "twice", "lost")))
    def deliver_one(self, index, fate):
        """Deliver, duplicate or drop any message in flight, in any order."""
        if not self.in_flight:
            return
        envelope = self.in_flight[index % len(self.in_flight)]
        if fate != "twice":
            self.in_flight.remove(envelope)
        if fate != "lost":
            self.deliver(envelope)

    @rule(isolated=st.sampled_from((None, *NAMES)))
    def settle(self, isolated):
        """Deliver all messages in flight and their replies; one replica may be isolated."""
        isolated_id = self.replicas[isolated].replica_id if isolated else None
        for _ in range(ROUNDS):
            self.now += 0.2
            self.send_due()
            envelopes, self.in_flight = self.in_flight, []
            for envelope in envelopes:
                if isolated_id not in (envelope.source, envelope.destination):
                    self.deliver(envelope)
            for replica in self.replicas.values():
                replica.write_proposals(self.now)

    @rule(name=st.sampled_from(NAMES), isolated=st.sampled_from((None, None, *NAMES)))
    def elect(self, name, isolated):
        """Let one replica start an election; one replica may be isolated."""
        self.expire(name)
        self.settle(isolated)

    @rule(
        count=st.integers(1, 4), isolated=st.sampled_from((None, None, *NAMES)), wait=st.booleans()
    )
    def propose(self, count, isolated, wait):
        """Propose changes at every replica that considers itself the leader."""
        for replica in list(self.replicas.values()):
            if replica.role is Role.LEADER:
                for _ in range(count):
                    self.propose_at(replica)
        if wait:
            self.settle(isolated)

    def propose_at(self, replica):
        self.sequence += 1
        change = Change(
            change_id=f"change-{self.sequence}",
            operator="operator-1",
            source="127.0.0.1",
            at_ms=0,
            edit_version=0,
            action=PutEntry(
                name=f"entry-{self.sequence}",
                service="s",
                owner="o",
                traffic_class="bulk",
                protocol="udp",
                address=f"10.0.0.1:{1000 + self.sequence}",
            ),
        )
        fut = replica.propose(change, self.now)
        self.futures[change.change_id] = fut
        self.proposed.append(change)
        replica.write_proposals(self.now)
        self.send_due()

    @rule(index=st.integers(0, 30))
    def resend(self, index):
        """Resend an earlier change; it must return its first outcome."""
        if not self.proposed:
            return
        change = self.proposed[index % len(self.proposed)]
        for replica in list(self.replicas.values()):
            if replica.role is Role.LEADER:
                fut = replica.propose(change, self.now)
                replica.write_proposals(self.now)
                self.settle(None)
                first = self.futures[change.change_id]
                if fut.done() and fut.exception() is None and first.done():
                    assert first.exception() is not None or first.result() == fut.result()

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name):
        self.start(name)

    @rule(name=st.sampled_from(NAMES), lost_bytes=st.integers(1, 400))
    def tear_log(self, name, lost_bytes):
        """Truncate a synced log, but only while the other replicas hold every entry."""
        if any(self.is_impaired(other) for other in NAMES):
            return
        path = self.folders[name] / "log"
        raw = path.read_bytes()
        if len(raw) > lost_bytes:
            self.stores[name].close()
            path.write_bytes(raw[:-lost_bytes])
            del self.stores[name]
            self.start(name)

    @rule(name=st.sampled_from(NAMES))
    def lose_folder(self, name):
        """Replace a data folder by an empty one, only while the others hold every entry."""
        if any(self.is_impaired(other) for other in NAMES):
            return
        self.sequence += 1
        self.folders[name] = self.root / f"{name}-{self.sequence}"
        self.start(name)

    def is_impaired(self, name):
        replica = self.replicas[name]
        own = replica.membership().find(replica.replica_id)
        return replica.damaged or own is None or not own.voter

    @rule(name=st.sampled_from(NAMES))
    def repair(self, name):
        """Take the next step of an operator's repair of one replica, at the leader."""
        leader = next((r for r in self.replicas.values() if r.role is Role.LEADER), None)
        if leader is None or self.replicas[name] is leader:
            return
        own = self.replicas[name].replica_id
        members = leader.membership().members
        stale = [each for each in members if each.name == name and each.replica_id != own]
        known = leader.membership().find(own)
        fresh = Member(replica_id=own, name=name, address=address_of(name), voter=False)
        step = ("remove", stale[0]) if stale else ("add", fresh)
        if known is not None:
            step = ("promote", known)
        try:
            leader.propose_membership(*step, self.now)
        except (ChangeRefusedError, NotLeaderError):
            return
        leader.write_proposals(self.now)

    @invariant()
    def accepted_changes_stay(self):
        """The replica with the highest commit index holds every accepted change's outcome."""
        self.check_safety()
        newest = max(self.replicas.values(), key=lambda replica: replica.commit_index)
        self.highest_commit = max(self.highest_commit, newest.commit_index)
        if newest.commit_index < self.highest_commit:
            return
        for change_id, fut in self.futures.items():
            if fut.done() and fut.exception() is None:
                assert newest.machine.outcome_of(change_id) == fut.result(), change_id

    @invariant()
    def versions_agree(self):
        """Replicas at the same state version have the same state."""
        states = {}
        for replica in self.replicas.values():
            state = replica.machine.state
            assert states.setdefault(state.version, state) == state


class SelfRepairMachine(GroupMachine):
    """The same group without an operator: it replaces replicas with lost folders automatically.

    The next folder may be lost as soon as the previous replica is replaced, even while the old
    replica is still a member.
    """

    @rule(name=st.sampled_from(NAMES))
    def repair(self, name):
        """Add a replica that is not a member, or else apply the leader's due membership change."""
        leader = next((r for r in self.replicas.values() if r.role is Role.LEADER), None)
        if leader is None:
            return
        own = self.replicas[name].replica_id
        change = due_membership_change(leader.peer_views(self.now), leader.replica_id, len(NAMES))
        step = (change.verb, change.member) if change is not None else None
        if leader.membership().find(own) is None:
            fresh = Member(replica_id=own, name=name, address=address_of(name), voter=False)
            step = ("add", fresh)
        if step is None:
            return
        try:
            leader.propose_membership(*step, self.now)
        except (ChangeRefusedError, NotLeaderError):
            return
        leader.write_proposals(self.now)

    def repair_until_complete(self):
        """Run elections and repair steps until all replicas are voters; fail after 40 turns."""
        for turn in range(40):
            self.expire(NAMES[turn % len(NAMES)])
            self.settle(None)
            for name in NAMES:
                self.repair(name)
                self.settle(None)
            if not any(self.is_impaired(name) for name in NAMES) and self.has_expected_voters():
                return
        raise AssertionError("the group was not fully repaired within 40 turns")

    def has_expected_voters(self):
        """Return whether the leader's voters are exactly the three running replicas."""
        leader = next((r for r in self.replicas.values() if r.role is Role.LEADER), None)
        if leader is None:
            return False
        members = leader.membership().members
        living = {replica.replica_id for replica in self.replicas.values()}
        return {each.replica_id for each in members if each.voter} == living

    def teardown(self):
        self.repair_until_complete()
        super().teardown()


@prop("consensus.group_repairs_itself")
def check_self_repair():
    """Accepted changes survive the loss of one folder after another, and each repair completes."""
    run_state_machine_as_test(
        SelfRepairMachine, settings=settings(max_examples=40, stateful_step_count=40)
    )


@prop("consensus.second_loss_right_after_a_repair")
def check_second_loss_right_after_repair():
    """A second folder is lost as soon as the first is repaired; the group repairs both."""
    for first, second in (("b", "c"), ("c", "b"), ("b", "a")):
        machine = SelfRepairMachine()
        try:
            machine.propose(count=3, isolated=None, wait=True)
            machine.lose_folder(first)
            for _ in range(40):
                machine.settle(None)
                machine.repair(first)
                machine.settle(None)
                if not machine.is_impaired(first):
                    break
            machine.lose_folder(second)
            machine.accepted_changes_stay()
            machine.repair_until_complete()
            machine.propose(count=1, isolated=None, wait=True)
            machine.accepted_changes_stay()
        finally:
            machine.teardown()


@prop("consensus.log_never_reverts")
def check_group():
    """Committed entries never change, a term has one leader, and accepted changes survive."""
    run_state_machine_as_test(
        GroupMachine, settings=settings(max_examples=80, stateful_step_count=60)
    )


@prop("consensus.quorum")
@given(st.lists(st.integers(0, 20), min_size=1, max_size=9))
def check_quorum(matches):
    """The committed index is held by a quorum, and no higher one is."""
    index = committed_index(matches)
    size = quorum_size(len(matches))
    assert sum(match >= index for match in matches) >= size
    assert sum(match > index for match in matches) < size


@prop("storage.scan")
@given(st.lists(st.binary(max_size=40), max_size=6), st.integers(0, 300), st.integers(0, 7))
def check_scan(payloads, position, bit):
    """A flipped bit or a torn end never yields a record that was not written."""
    raw = b"".join(RECORD_HEADER.pack(len(p), zlib.crc32(p)) + p for p in payloads)
    whole = scan_records(raw)
    assert list(whole.payloads) == payloads and not whole.damage
    torn = scan_records(raw[:position])
    assert list(torn.payloads) == payloads[: len(torn.payloads)]
    assert bool(torn.damage) == (torn.end != min(position, len(raw)))
    if raw:
        flipped = bytearray(raw)
        flipped[position % len(raw)] ^= 1 << bit
        read = scan_records(bytes(flipped))
        assert list(read.payloads) == payloads[: len(read.payloads)] and read.damage


@prop("storage.full_disk")
@given(st.lists(st.binary(min_size=1, max_size=30), min_size=1, max_size=5))
def check_full_disk(payloads):
    """An append that fails half-way leaves the file as it was, and the next one works."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "log"
        file = RecordFile(path=path)
        file.append(payloads)
        before = path.read_bytes()
        sync = file._sync
        failures = [OSError(28, "No space left on device")]

        def fail_once():
            if failures:
                raise failures.pop()
            sync()

        file._sync = fail_once
        try:
            file.append(payloads)
        except StorageError:
            pass
        else:
            raise AssertionError("the failure was not reported")
        assert path.read_bytes() == before
        file.append(payloads)
        file.close()
        again = RecordFile(path=path)
        assert list(again.take_payloads()) == payloads * 2 and not again.damage
        again.close()


def group():
    """Return a group with leader "a" after its first election."""
    machine = GroupMachine()
    assert machine.replicas["a"].role is Role.LEADER
    return machine


@prop("consensus.torn_log_never_votes")
def check_torn_log_never_votes():
    """A replica that lost synced entries does not vote for one that never had them.

    Otherwise the two would elect a leader without entries that were committed.
    """
    machine = group()
    machine.propose(count=2, isolated="c", wait=True)
    assert machine.stores["b"].last_index > machine.stores["c"].last_index
    raw = (machine.folders["b"] / "log").read_bytes()
    machine.tear_log("b", len(raw) - scan_records(raw).offsets[-2] - 5)
    assert machine.stores["b"].last_index <= machine.stores["c"].last_index
    machine.in_flight.clear()
    machine.now += 10
    for _ in range(5):
        machine.replicas["c"].tick(machine.now)
        machine.settle("a")
        machine.now += 10
    assert machine.replicas["c"].role is not Role.LEADER
    machine.elect("a", None)
    machine.elect("a", None)
    machine.settle(None)
    machine.accepted_changes_stay()
    assert machine.replicas["a"].role is Role.LEADER
    assert not machine.replicas["b"].damaged
    machine.teardown()


@prop("consensus.short_log_never_leads")
def check_short_log():
    """A replica that lacks committed entries gets no vote from one that holds them."""
    machine = group()
    machine.propose(count=2, isolated="c", wait=True)
    for _ in range(5):
        machine.now += 10
        machine.replicas["c"].tick(machine.now)
        machine.settle("a")
    assert machine.replicas["c"].role is not Role.LEADER
    machine.elect("b", "a")
    assert machine.replicas["b"].role is Role.LEADER
    machine.accepted_changes_stay()
    machine.teardown()


@prop("consensus.second_loss_after_repair")
def check_second_loss_after_operator_repair():
    """No accepted change is lost when a second folder is lost right after the first repair."""
    machine = group()
    machine.propose(count=3, isolated=None, wait=True)
    machine.lose_folder("b")
    for _ in range(6):
        machine.repair("b")
        machine.settle(None)
    assert not machine.is_impaired("b")
    machine.lose_folder("a")
    machine.elect("c", None)
    machine.accepted_changes_stay()
    held = machine.replicas["c"].machine.state.entries
    assert set(held) == {"entry-1", "entry-2", "entry-3"}, held
    machine.teardown()


@prop("consensus.silent_leader_steps_down")
def check_silent_leader():
    """A leader steps down after one election timeout without contact to a quorum."""
    machine = group()
    replica = machine.replicas["a"]
    replica.tick(machine.now + 1.1 * TIMEOUT_S)
    assert replica.role is Role.FOLLOWER
    machine.teardown()


@prop("consensus.return_needs_no_election")
def check_return():
    """A replica that was isolated for long does not depose the leader when it returns."""
    machine = group()
    for _ in range(10):
        machine.now += 2.1 * TIMEOUT_S
        machine.replicas["b"].tick(machine.now)
        machine.settle("b")
    term = machine.replicas["a"].term
    if machine.replicas["a"].role is not Role.LEADER:
        machine.elect("a", "b")
        term = machine.replicas["a"].term
    machine.settle(None)
    machine.settle(None)
    assert machine.replicas["a"].role is Role.LEADER and machine.replicas["a"].term == term
    machine.teardown()
