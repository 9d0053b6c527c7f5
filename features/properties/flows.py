"""Properties of flows: admission, limits, and owners under uneven versions of the state."""

from __future__ import annotations

import random

import attrs
from hypothesis import example, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from lentilcourse.agent.admission import AdmissionView, Decline, cold_limit, decide_new_flow
from lentilcourse.agent.flow_plane import FlowPlane
from lentilcourse.agent.pulse import (
    MIN_RECENT_SAMPLES,
    MIN_SAMPLES,
    RELEARN_S,
    TargetPulse,
    answers_turned_slow,
)
from lentilcourse.agent.rate_window import RateWindow
from lentilcourse.agent.target import TargetAnnouncement, TargetHealth
from lentilcourse.balancer.packet_path import build_routes
from lentilcourse.buckets import bucket_of
from lentilcourse.changes import (
    ANY_VERSION,
    DrainTarget,
    JoinTarget,
    LoseTarget,
    PutEntry,
    SetDomain,
    decide_change,
)
from lentilcourse.controller.shares import LIMIT_FIELDS, due_shares
from lentilcourse.messages import Announcement, EntryUsage
from lentilcourse.model import Limits, State, apply_delta, share_name
from lentilcourse.options import Address
from lentilcourse.packets import build_udp, flow_key, parse_host, read_refusal
from lentilcourse.refusals import RefusalCounts
from properties import prop
from properties.catalogue import as_change

NAMES = ("t1", "t2", "t3", "t4")
FABRIC = ("127.0.9.9", 1)
SETTLE_STEPS = 12


def change_state(state, action):
    """Return the state after an action, the same if it is refused."""
    _, delta = decide_change(state, as_change(f"{state.version}", action, ANY_VERSION))
    return apply_delta(state, delta) if delta is not None else state


def join(name):
    """Return the action by which a target joins."""
    number = name[1:]
    return JoinTarget(
        name=name,
        service="board",
        domain=f"d{number}",
        incarnation="run-1",
        draining=False,
        data_address=f"127.0.0.{number}:1",
        stream_address=f"127.0.0.{number}:2",
        slots=1,
        connections=100,
    )


ENTRY = PutEntry(
    name="price-board",
    service="board",
    owner="desk",
    traffic_class="standard",
    protocol="udp",
    address="10.0.0.1:4000",
)


class FakeMonitor:
    """A target that always serves."""

    health = TargetHealth.SERVING
    last = TargetAnnouncement(service="board", incarnation="run-1", slots=1, connections=100)

    def flow_address(self):
        return Address(host="127.0.0.1", port=9)


class FakeChannel:
    """Records what is delivered to the target."""

    counter = 10

    def __init__(self, local_port):
        FakeChannel.counter += 1
        self.number = FakeChannel.counter
        self.local_port = local_port or self.number
        self.delivered = []

    def fileno(self):
        return self.number

    def send(self, packet):
        self.delivered.append(packet)

    def receive(self):
        return None

    def close(self):
        pass


class FakePeers:
    """Ordered streams between agents, whose delivery the test decides."""

    def __init__(self, world, name):
        self.world = world
        self.name = name

    def on_state(self, state, service):
        pass

    def is_connected(self, name):
        return self.world.is_up(name)

    def send(self, name, msg):
        if not self.is_connected(name):
            return
        self.world.streams.setdefault((self.name, name), []).append(msg)

    def broadcast(self, msg):
        for name in NAMES:
            if name != self.name:
                self.send(name, msg)


class FlowWorld(RuleBasedStateMachine):
    """Four agents on uneven versions, and balancers on any version."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0
        self.streams = {}
        self.datagrams = []
        self.refused = set()
        self.owners = {}
        self.ports = {}
        self.flows = []
        state = change_state(State(), ENTRY)
        for name in NAMES[:3]:
            state = change_state(state, join(name))
        self.states = [state]
        self.applied = dict.fromkeys(NAMES, 0)
        self.planes = {name: self.plane(name) for name in NAMES}
        for name in NAMES:
            self.planes[name].on_state(state, self.now)
        self.now += 100.0
        self.settle()
        for _ in range(3):
            self.open_flow(0)

    def plane(self, name):
        plane = FlowPlane(
            name=name,
            monitor=FakeMonitor(),
            open_channel=lambda address, port: FakeChannel(port),
            send=lambda datagram, address, source=name: self.sent(source, datagram, address),
            watch=lambda flow: None,
            unwatch=lambda flow: None,
            fabric=FABRIC,
            idle_s=1e9,
            refusals=RefusalCounts(),
            pulse=TargetPulse(),
            rng=random.Random(name),
        )
        plane.peers = FakePeers(self, name)
        return plane

    def sent(self, source, datagram, address):
        if address == FABRIC:
            refusal = read_refusal(datagram[8:])
            if refusal is not None and self.holders(refusal[0]):
                self.refused.add(refusal[0])
            return
        self.datagrams.append((source, datagram, address))

    def is_up(self, name):
        return True

    @property
    def newest(self):
        return self.states[-1]

    @rule(name=st.sampled_from(NAMES), what=st.sampled_from(("join", "drain", "lose", "join")))
    def change_membership(self, name, what):
        """Accept a planned change, or the loss of a lease by an agent that lives on."""
        action = {
            "join": join(name),
            "drain": DrainTarget(name=name),
            "lose": LoseTarget(name=name, incarnation="run-1"),
        }[what]
        after = change_state(self.newest, action)
        if after is not self.newest:
            self.states.append(after)

    @rule(name=st.sampled_from(NAMES))
    def apply_next(self, name):
        """Let one agent learn the next version."""
        if self.is_up(name) and self.applied[name] + 1 < len(self.states):
            self.applied[name] += 1
            self.planes[name].on_state(self.states[self.applied[name]], self.now)

    def apply_all(self, name):
        """Let one agent learn all versions, one by one."""
        while self.is_up(name) and self.applied[name] + 1 < len(self.states):
            self.apply_next(name)

    @rule(
        name=st.sampled_from(NAMES),
        what=st.sampled_from(("join", "drain", "lose")),
        learners=st.sets(st.sampled_from(NAMES)),
        age=st.integers(0, 1),
    )
    def move_unevenly(self, name, what, learners, age):
        """Change the table, let some agents learn it, and send on every flow at once."""
        self.change_membership(name, what)
        for each in sorted(learners):
            self.apply_all(each)
        for key in list(self.owners):
            self.send(key, age)
            self.run_datagrams()

    @rule(index=st.integers(0, 11), count=st.integers(1, 5))
    def run_stream(self, index, count):
        """Deliver messages of one stream in order."""
        filled = [pair for pair, msgs in self.streams.items() if msgs]
        if not filled:
            return
        pair = filled[index % len(filled)]
        for msg in self.streams[pair][:count]:
            self.planes[pair[1]].on_message(msg, pair[0], self.now)
        del self.streams[pair][:count]

    @rule(index=st.integers(0, 5), age=st.integers(0, 3))
    def send_packet(self, index, age):
        """Send a packet of an established flow through a balancer with an old table."""
        established = [key for key in self.flows if key in self.owners]
        if established:
            self.send(established[index % len(established)], age)
            self.run_datagrams()

    @rule(age=st.integers(0, 2))
    def open_flow(self, age):
        """Open a flow and let it be accepted while all messages pass."""
        number = len(self.flows) + 1
        packet = build_udp(
            parse_host("10.9.0.1"),
            parse_host("10.0.0.1"),
            number.to_bytes(2, "big") + (4000).to_bytes(2, "big"),
            b"hello",
        )
        key = flow_key(packet)
        self.flows.append(key)
        for _ in range(4):
            self.send(key, age)
            self.run_datagrams()
            self.run_all_streams()
            self.now += 0.3
        holders = self.holders(key)
        if holders:
            self.owners[key] = holders[0]
            self.ports[key] = self.local_port(key, holders[0])

    @rule()
    def settle(self):
        """Let everybody learn the newest version, and all messages pass."""
        for name in NAMES:
            self.apply_all(name)
        self.run_all_streams()
        self.now += 0.5
        for name in filter(self.is_up, NAMES):
            self.planes[name].on_tick(self.now)
        self.run_all_streams()

    def run_all_streams(self):
        for _ in range(SETTLE_STEPS):
            for pair in list(self.streams):
                msgs, self.streams[pair] = self.streams[pair], []
                for msg in msgs:
                    self.planes[pair[1]].on_message(msg, pair[0], self.now)

    def send(self, key, age):
        state = self.states[max(0, len(self.states) - 1 - age)]
        route = next(iter(build_routes(state).values()))
        packet = build_udp(key[0:4], key[4:8], key[8:12], b"more")
        self.datagrams.append(("balancer", route.header + packet, route.homes[bucket_of(key)]))

    def run_datagrams(self):
        for _ in range(60):
            if not self.datagrams:
                return
            source, datagram, address = self.datagrams.pop(0)
            name = f"t{address[0].rpartition('.')[2]}"
            if not self.is_up(name):
                continue
            source_address = (f"127.0.0.{source[1:]}", 1) if source in NAMES else ("127.1.1.1", 1)
            self.planes[name].on_datagram(datagram, source_address, self.now)

    def holders(self, key):
        up = filter(self.is_up, NAMES)
        return [name for name in up if self.planes[name].flows.get(key) is not None]

    def local_port(self, key, name):
        """Return the port from which an owner speaks to its target."""
        return self.planes[name].flows.get(key).channel.local_port

    @invariant()
    def owner_stays(self):
        """An established flow has its one owner, whatever versions are in force."""
        for key, owner in self.owners.items():
            assert self.holders(key) == [owner], (key.hex(), self.holders(key), owner)
            assert key not in self.refused

    def teardown(self):
        """In the end each flow still reaches its owner, through the newest table."""
        self.settle()
        self.now += 2.0
        self.settle()
        for key, owner in self.owners.items():
            channel = self.planes[owner].flows.get(key).channel
            before = len(channel.delivered)
            self.send(key, 0)
            self.run_datagrams()
            assert len(channel.delivered) == before + 1, key.hex()


@prop("flows.owner_stays")
def check_owner():
    """Planned changes in any order, learnt unevenly, never move an established flow."""
    run_state_machine_as_test(FlowWorld, settings=settings(max_examples=80, stateful_step_count=40))


@prop("flows.unknown_home_learns_owner")
def check_unknown_home():
    """A new home learns the owners of flows from agents that do not know it yet."""
    world = FlowWorld()
    world.change_membership("t4", "join")
    world.move_unevenly("t2", "drain", set(), 0)
    world.move_unevenly("t3", "drain", {"t4"}, 0)
    for _ in range(9):
        world.open_flow(0)
    world.owner_stays()
    for key in list(world.owners):
        world.send(key, 0)
        world.run_datagrams()
        world.owner_stays()
    world.teardown()


@attrs.define(kw_only=True)
class FakeStream:
    """The outgoing side of a stream that was just opened."""

    world: FlowWorld
    source: str
    target: object

    def send_first(self, msg):
        self.world.streams.setdefault((self.source, self.target.name), []).append(msg)


class RestartWorld(FlowWorld):
    """The same agents, of which one at a time stops and starts again without its memory."""

    def __init__(self):
        self.down = None
        super().__init__()

    def is_up(self, name):
        return name != self.down

    @rule(name=st.sampled_from(NAMES))
    def stop_agent(self, name):
        """End an agent as planned: it waits for its own loss and for what it has sent.

        One whose lease has expired cannot tell anybody; its flows may be given up.
        """
        lose = LoseTarget(name=name, incarnation="run-1", planned=True)
        after = change_state(self.newest, lose)
        if self.down is not None or after is self.newest:
            return
        self.states.append(after)
        self.apply_all(name)
        for pair in [pair for pair in self.streams if pair[0] == name]:
            for msg in self.streams.pop(pair):
                self.planes[pair[1]].on_message(msg, name, self.now)
        self.kill_agent(name)

    def kill_agent(self, name):
        """End an agent; what is under way to it and from it is lost."""
        self.down = name
        for pair in [pair for pair in self.streams if name in pair]:
            del self.streams[pair]
        for other in NAMES:
            if other != name:
                self.planes[other].on_peer_lost(name)

    @rule(rejoins=st.booleans())
    def start_agent(self, rejoins):
        """Start the agent that is down; its target has run on."""
        name = self.down
        if name is None:
            return
        self.down = None
        if rejoins:
            self.change_membership(name, "join")
        self.planes[name] = self.plane(name)
        self.applied[name] = len(self.states) - 1
        self.planes[name].on_state(self.newest, self.now)
        for other in NAMES:
            if other != name:
                self.open_stream(name, other)
                self.open_stream(other, name)

    def open_stream(self, source, target):
        """Let one side of a stream greet the other, if it knows it."""
        state = self.states[self.applied[source]]
        record = state.targets.get(target)
        if record is not None and source in state.targets:
            stream = FakeStream(world=self, source=source, target=record)
            self.planes[source].greet(stream, self.now)

    @rule()
    def settle(self):
        """Start what is down, then settle as before."""
        self.start_agent(True)
        super().settle()

    @invariant()
    def owner_stays(self):
        """No other agent ever takes a flow, and no caller is refused."""
        for key, owner in self.owners.items():
            holders = self.holders(key)
            assert holders in ([], [owner]), (key.hex(), holders, owner)
            assert key not in self.refused
            for name in holders:
                assert self.local_port(key, name) == self.ports[key], key.hex()


@prop("flows.restarted_owner_keeps_flows")
def check_restart():
    """Restarts amid table changes, learnt unevenly, never move an established flow."""
    run_state_machine_as_test(
        RestartWorld, settings=settings(max_examples=80, stateful_step_count=40)
    )


@prop("flows.new_home_asks_recorders")
def check_recorders():
    """A home that appears while an owner is down learns the owner from those that recorded it."""
    world = RestartWorld()
    for _ in range(12):
        world.open_flow(0)
    world.stop_agent("t2")
    world.change_membership("t4", "join")
    for name in ("t1", "t3", "t4"):
        world.apply_all(name)
    world.run_all_streams()
    for _ in range(8):
        for key in list(world.owners):
            world.send(key, 0)
            world.run_datagrams()
            world.run_all_streams()
            world.owner_stays()
        world.now += 0.5
    world.teardown()


@prop("flows.early_word_is_not_believed")
def check_early_word():
    """A home does not take an owner's word before that owner has its flows back."""
    world = RestartWorld()
    for _ in range(12):
        world.open_flow(0)
    world.stop_agent("t2")
    world.change_membership("t4", "join")
    for name in ("t1", "t3", "t4"):
        world.apply_all(name)
    world.run_all_streams()
    world.start_agent(False)
    for source in ("t1", "t2", "t3"):
        for msg in world.streams.pop((source, "t4"), []):
            world.planes["t4"].on_message(msg, source, world.now)
    for key in list(world.owners):
        world.send(key, 0)
        world.run_datagrams()
        world.owner_stays()
    world.teardown()


LOADS = {
    "open_flows": st.integers(0, 120),
    "connections": st.integers(1, 100),
    "cold_since": st.floats(0, 100),
    "entry_flows": st.integers(0, 50),
    "open_share": st.none() | st.integers(0, 50),
    "rate_left": st.none() | st.integers(-2, 5),
}
views = st.builds(
    AdmissionView,
    health=st.sampled_from(TargetHealth),
    draining=st.booleans(),
    domain_out=st.booleans(),
    stopping=st.booleans(),
    **LOADS,
)
ready_views = st.builds(
    AdmissionView,
    health=st.just(TargetHealth.SERVING),
    draining=st.just(False),
    domain_out=st.just(False),
    stopping=st.just(False),
    **LOADS,
)


@prop("flows.admission_is_safe")
@settings(max_examples=400)
@given(views | ready_views, st.floats(0, 12))
def check_admission(view, age):
    """A flow is accepted only by a serving target with room, share and warmth."""
    now = view.cold_since + age
    decline = decide_new_flow(view, now)
    fits = (
        view.health is TargetHealth.SERVING
        and not (view.draining or view.domain_out or view.stopping)
        and view.open_flows
        < min(view.connections, cold_limit(view.connections, view.cold_since, now))
        and (view.open_share is None or view.entry_flows < view.open_share)
        and (view.rate_left is None or view.rate_left > 0)
    )
    assert (decline is Decline.NONE) == fits


@prop("flows.cold_limit_grows")
@given(st.integers(1, 10_000), st.floats(0, 100), st.floats(0, 100))
def check_cold(full, first, second):
    """The cold limit starts small, never shrinks with time and ends at the full limit."""
    early, late = sorted((first, second))
    assert 1 <= cold_limit(full, 0.0, early) <= cold_limit(full, 0.0, late) <= full
    assert cold_limit(full, 0.0, 0.0) <= max(1, full // 10)
    assert cold_limit(full, 0.0, 60.0) == full


@prop("flows.pulse_notices_coldness")
@given(
    st.lists(st.floats(0.05, 0.1), min_size=30, max_size=60),
    st.floats(4.5, 20.0),
    st.booleans(),
)
def check_pulse(answers, factor, fails):
    """Even answers keep a target warm; slow or failed ones make it cold at once or soon."""
    pulse = TargetPulse()
    for number, seconds in enumerate(answers):
        pulse.observe_answer(seconds, float(number))
    assert pulse.turned_cold == 0
    if fails:
        pulse.observe_failure(500.0)
        assert pulse.cold_since == 500.0
        return
    slow = max(answers) * factor
    for number in range(12):
        pulse.observe_answer(slow, 600.0 + number)
    assert pulse.turned_cold >= 1
    assert not answers_turned_slow(1.0, 0.1, 0)


@prop("flows.cold_target_stays_cold")
@given(
    st.floats(0.03, 1.0),
    st.floats(4.0, 20.0),
    st.integers(1, 200),
    st.sampled_from(("domain", "start", "failure")),
)
def check_stays_cold(warm_s, factor, cold_answers, why):
    """Admission grows only when answers are as fast as before, or slow for a very long time."""
    pulse, now = TargetPulse(), 1000.0
    for _ in range(60):
        now += warm_s
        pulse.observe_answer(warm_s, now)
    if why == "failure":
        pulse.observe_failure(now)
    else:
        pulse.start_cold(now)
    began = now
    for _ in range(cold_answers):
        now += warm_s * factor
        pulse.observe_answer(warm_s * factor, now)
        if now - began < RELEARN_S:
            assert now - pulse.cold_since <= MIN_RECENT_SAMPLES * warm_s * factor + 1e-9
    for _ in range(MIN_SAMPLES * 10):
        now += warm_s
        pulse.observe_answer(warm_s, now)
    assert now - pulse.cold_since > MIN_SAMPLES * warm_s


@prop("flows.slow_target_is_learnt")
@given(st.floats(0.03, 0.3), st.floats(4.0, 20.0))
def check_relearns(warm_s, factor):
    """A target that stays slow gets its full limit in the end."""
    pulse, now = TargetPulse(), 1000.0
    for _ in range(60):
        now += warm_s
        pulse.observe_answer(warm_s, now)
    end = now + 2 * RELEARN_S
    while now < end:
        now += warm_s * factor
        pulse.observe_answer(warm_s * factor, now)
    assert cold_limit(100, pulse.cold_since, now) == 100


@prop("flows.rate_never_exceeded")
@given(st.lists(st.floats(0, 0.4), max_size=60), st.integers(1, 6))
def check_rate(gaps, limit):
    """No second holds more events than the share allows."""
    window = RateWindow()
    now, accepted = 0.0, []
    for gap in gaps:
        now += gap
        if window.count(7, now) < limit:
            window.add(7, now)
            accepted.append(now)
    for start in accepted:
        assert sum(start <= each <= start + 1.0 for each in accepted) <= limit


@attrs.define(kw_only=True)
class LaggingAgent:
    """An agent that knows an old state and uses all that it may."""

    state: State
    used: int = 0


SHRINK_WHILE_USED = [
    ("join", "t1", 1),
    ("share", "t1", 1),
    ("learn", "t1", 1),
    ("join", "t2", 1),
    ("share", "t1", 1),
    ("share", "t1", 1),
    ("learn", "t2", 1),
]


@prop("limits.never_exceeded")
@example(SHRINK_WHILE_USED)
@settings(max_examples=300)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(("join", "drain", "out", "in", "learn", "share", "end", "limit")),
            st.sampled_from(NAMES),
            st.integers(1, 12),
        ),
        max_size=60,
    )
)
def check_limits(steps):
    """Agents that use their whole share on old versions never exceed an unchanged limit."""
    state = change_state(State(), attrs.evolve(ENTRY, open_flows=12))
    agents = {name: LaggingAgent(state=state) for name in NAMES}
    for what, name, number in steps:
        agent = agents[name]
        if what == "join":
            state = change_state(state, join(name))
        elif what == "drain":
            state = change_state(state, DrainTarget(name=name))
        elif what in ("out", "in"):
            state = change_state(state, SetDomain(name=f"d{name[1:]}", state=what))
        elif what == "learn":
            agent.state = state
        elif what == "end":
            agent.used = max(0, agent.used - number)
        elif what == "share":
            announcements = {
                each: announce(each, agents[each]) for each in NAMES if each in state.targets
            }
            for action in due_shares(state, announcements):
                state = change_state(state, action)
        for each in NAMES:
            share = agents[each].state.shares.get(share_name("price-board", each))
            if share is not None:
                agents[each].used = max(agents[each].used, share.granted.open_flows)
        assert sum(each.used for each in agents.values()) <= 12
        bounds = sum(share.bound.open_flows for share in state.shares.values())
        assert bounds <= 12


def announce(name, agent):
    """Return what a lagging agent announces."""
    entry = agent.state.entries["price-board"]
    return Announcement(
        service="board",
        domain=f"d{name[1:]}",
        incarnation="run-1",
        draining=False,
        leaving=False,
        data_address="127.0.0.1:1",
        stream_address="127.0.0.1:2",
        slots=1,
        connections=100,
        version=agent.state.version,
        usage=(EntryUsage(entry_id=entry.entry_id, used=Limits(open_flows=agent.used)),),
    )


@prop("limits.whole_limit_is_usable")
@given(st.integers(1, 200), st.integers(1, 4))
def check_usable(limit, count):
    """Once everybody has confirmed, the shares add up to the limit."""
    state = change_state(State(), attrs.evolve(ENTRY, open_flows=limit, new_flows_per_s=limit))
    for name in NAMES[:count]:
        state = change_state(state, join(name))
    for _ in range(4):
        agents = {name: LaggingAgent(state=state) for name in NAMES[:count]}
        announcements = {name: announce(name, agents[name]) for name in agents}
        for action in due_shares(state, announcements):
            state = change_state(state, action)
    for field in LIMIT_FIELDS[:2]:
        assert sum(getattr(share.granted, field) for share in state.shares.values()) == limit
