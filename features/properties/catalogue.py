"""Properties of changes, deltas, bucket tables and leases."""

from __future__ import annotations

import random

import attrs
from hypothesis import given
from hypothesis import strategies as st

from lentilcourse.actions import (
    ANY_VERSION,
    Change,
    DeleteEntry,
    DrainTarget,
    JoinTarget,
    LoseTarget,
    PutEntry,
    RemoveTarget,
    SetDomain,
    Verdict,
)
from lentilcourse.buckets import BUCKETS, build_table
from lentilcourse.changes import decide_change
from lentilcourse.codec import pack_record, unpack_record
from lentilcourse.controller.leases import LEASE_S, Lease, due_actions
from lentilcourse.controller.machine import CatalogueMachine
from lentilcourse.messages.state import Announcement, Delta, FullState
from lentilcourse.model import State, TargetState, apply_delta
from lentilcourse.subscription import (
    MAX_RETRY_DELAY_S,
    RETRY_DELAY_S,
    SOURCE_CONNECT_TIMEOUT_S,
    RetryDelays,
    StateCopy,
    Subscription,
)
from properties import prop

names = st.sampled_from(("one", "two", "three", "9bad", ""))
small = st.integers(-1, 3)

puts = st.builds(
    PutEntry,
    name=names,
    service=st.sampled_from(("s1", "s2")),
    owner=st.just("owner"),
    traffic_class=st.sampled_from(("bulk", "standard", "gold")),
    protocol=st.sampled_from(("udp", "http", "sctp")),
    address=st.sampled_from(("10.0.0.1:1", "10.0.0.1:2", "host:1")),
    open_flows=st.sampled_from((0, 5, -1, 10**12)),
)
joins = st.builds(
    JoinTarget,
    name=st.sampled_from(("t1", "t2", "t3")),
    service=st.just("s1"),
    domain=st.sampled_from(("d1", "d2")),
    incarnation=st.sampled_from(("x", "y")),
    draining=st.booleans(),
    data_address=st.just("127.0.0.1:1"),
    stream_address=st.just("127.0.0.1:2"),
    slots=st.integers(0, 3),
    connections=st.integers(0, 3),
)
others = st.one_of(
    st.builds(DeleteEntry, name=names),
    st.builds(
        SetDomain, name=st.sampled_from(("d1", "d9")), state=st.sampled_from(("in", "out", "up"))
    ),
    st.builds(DrainTarget, name=st.sampled_from(("t1", "t2"))),
    st.builds(LoseTarget, name=st.just("t1"), incarnation=st.sampled_from(("x", "y"))),
    st.builds(RemoveTarget, name=st.just("t2"), incarnation=st.sampled_from(("x", "y"))),
)
changes = st.builds(
    Change,
    change_id=st.integers(0, 30).map(str),
    operator=st.just("operator-1"),
    source=st.just("127.0.0.1"),
    at_ms=st.just(0),
    edit_version=st.sampled_from((ANY_VERSION, ANY_VERSION, 0, 1, 2)),
    action=puts | joins | others,
)


@prop("catalogue.applied_whole_or_not_at_all")
@given(st.lists(changes, max_size=25))
def check_whole(sequence):
    """A refused change changes nothing; an accepted one moves the version by one."""
    state = State()
    for change in sequence:
        outcome, delta = decide_change(state, change)
        assert (outcome.verdict is Verdict.ACCEPTED) == (delta is not None)
        if delta is None:
            assert outcome.field or outcome.verdict is Verdict.CONFLICT
            continue
        after = apply_delta(state, delta)
        assert after.version == state.version + 1
        places = [(entry.address, entry.protocol) for entry in after.entries.values()]
        assert len(places) == len(set(places))
        state = after


@prop("catalogue.one_of_two_racers_wins")
@given(puts, puts, st.booleans())
def check_race(first, second, swap):
    """Of two edits of one version exactly one is accepted, and the other hears of it."""
    base = PutEntry(
        name="one",
        service="s1",
        owner="owner",
        traffic_class="bulk",
        protocol="udp",
        address="10.0.0.9:9",
    )
    machine = CatalogueMachine()
    created = machine.apply(as_change("0", base, 0))
    valid = [attrs.evolve(base, open_flows=1), attrs.evolve(base, open_flows=2)]
    if swap:
        valid.reverse()
    outcomes = [
        machine.apply(as_change(str(number), action, created.version))
        for number, action in enumerate(valid, 1)
    ]
    assert [each.verdict for each in outcomes] == [Verdict.ACCEPTED, Verdict.CONFLICT]
    assert outcomes[1].version == machine.state.entries["one"].version
    assert machine.state.entries["one"].limits.open_flows == valid[0].open_flows


def as_change(change_id, action, edit_version):
    """Return a change of an operator."""
    return Change(
        change_id=change_id,
        operator="operator-1",
        source="127.0.0.1",
        at_ms=0,
        edit_version=edit_version,
        action=action,
    )


@prop("catalogue.resend_returns_first_outcome")
@given(st.lists(changes, min_size=1, max_size=20), st.integers(0, 19))
def check_resend(sequence, cut):
    """A change id has one outcome, also over a snapshot."""
    machine = CatalogueMachine()
    first = {}
    for number, change in enumerate(sequence):
        if number == cut:
            restored = CatalogueMachine()
            restored.restore(machine.image())
            machine = restored
        outcome = machine.apply(change)
        assert first.setdefault(change.change_id, outcome) == outcome


@prop("catalogue.delta_or_snapshot_agree")
@given(st.lists(changes, max_size=25), st.integers(0, 25))
def check_deltas(sequence, start):
    """A copy that follows deltas from any version equals the state, also after encoding."""
    machine = CatalogueMachine()
    states = [machine.state]
    for change in sequence:
        machine.apply(change)
        if machine.state.version > states[-1].version:
            states.append(machine.state)
    copy = states[start % len(states)]
    for delta in machine.deltas_after(copy.version):
        copy = apply_delta(copy, unpack_record(pack_record(Delta(delta=delta)), Delta).delta)
    assert copy == machine.state
    assert unpack_record(pack_record(FullState(state=copy)), FullState).state == copy


@prop("subscription.retries_follow_a_start")
@given(st.floats(0.0, 3.0), st.integers(0, 1000))
def check_retries(starts_after_s, seed):
    """A process that starts before its controllers connects soon after one runs.

    It tried again after 0.4 s (fynbos-lbl scale-2, all power lost). Attempts that go on for long
    are further apart, and spread.
    """
    delays = RetryDelays(rng=random.Random(seed))
    now, attempts = 0.0, 0
    while now < starts_after_s:
        now += SOURCE_CONNECT_TIMEOUT_S + delays.next_delay_s()
        attempts += 1
    assert now - starts_after_s <= SOURCE_CONNECT_TIMEOUT_S + 1.5 * MAX_RETRY_DELAY_S
    if starts_after_s <= 0.3:
        assert now - starts_after_s <= 0.25
    assert attempts <= 4 + starts_after_s / (SOURCE_CONNECT_TIMEOUT_S + 0.5 * MAX_RETRY_DELAY_S)
    delays.reset()
    assert delays.next_delay_s() <= 1.5 * RETRY_DELAY_S


@prop("subscription.never_steps_back")
@given(st.lists(changes, max_size=20), st.lists(st.integers(0, 40), max_size=40))
def check_copy(sequence, order):
    """Deltas and snapshots in any order never take a copy back, nor beyond what was agreed."""
    machine = CatalogueMachine()
    states = {0: State()}
    deltas = []
    for change in sequence:
        before = machine.state.version
        machine.apply(change)
        if machine.state.version > before:
            states[machine.state.version] = machine.state
            deltas = machine.deltas_after(0)
    copy = StateCopy()
    follower = Subscription.__new__(Subscription)
    follower._copy = copy
    messages = [Delta(delta=delta) for delta in deltas]
    messages += [FullState(state=state) for state in states.values()]
    seen = 0
    for index in order:
        follower._take(messages[index % len(messages)])
        assert copy.current.version >= seen
        assert copy.current == states[copy.current.version]
        seen = copy.current.version


@prop("buckets.only_moved_where_needed")
@given(st.sets(st.integers(1, 12), min_size=2, max_size=8))
def check_buckets(numbers):
    """Losing a target moves only its own buckets, each to its next candidate."""
    state = joined_state(sorted(numbers))
    before = build_table(state, "s1")
    lost = f"t{min(numbers)}"
    targets = dict(state.targets)
    targets[lost] = attrs.evolve(targets[lost], state=TargetState.DRAINING)
    after = build_table(attrs.evolve(state, targets=targets), "s1")
    for bucket in range(BUCKETS):
        old = before.candidates[bucket]
        expected = old[1] if old[0] == lost else old[0]
        assert after.home(bucket) == expected


def joined_state(numbers):
    """Return a state in which targets have joined."""
    state = State()
    for number in numbers:
        action = JoinTarget(
            name=f"t{number}",
            service="s1",
            domain=f"d{number % 3}",
            incarnation="x",
            draining=False,
            data_address=f"127.0.0.{number}:1",
            stream_address=f"127.0.0.{number}:2",
            slots=1,
            connections=10,
        )
        _, delta = decide_change(state, as_change(str(number), action, ANY_VERSION))
        state = apply_delta(state, delta)
    return state


@prop("leases.lost_only_after_silence")
@given(st.lists(st.floats(0, 3 * LEASE_S), min_size=1, max_size=6), st.floats(0, 3 * LEASE_S))
def check_leases(silences, leader_age):
    """A target is lost exactly when both it and the leader's start are a lease old."""
    state = joined_state(range(1, len(silences) + 1))
    now = 1000.0
    leases = {}
    for number, silence in enumerate(silences, 1):
        target = state.targets[f"t{number}"]
        leases[target.name] = Lease(
            announcement=Announcement(
                service=target.service,
                domain=target.domain,
                incarnation=target.incarnation,
                draining=False,
                leaving=False,
                data_address=str(target.data_address),
                stream_address=str(target.stream_address),
                slots=target.slots,
                connections=target.connections,
            ),
            renewed=now - silence,
        )
    lost = {action.name for action in due_actions(state, leases, now - leader_age, now)}
    expected = {
        f"t{number}"
        for number, silence in enumerate(silences, 1)
        if min(now - (now - silence), now - (now - leader_age)) > LEASE_S
    }
    assert lost == expected
