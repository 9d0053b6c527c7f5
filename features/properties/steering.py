"""Properties of steering: owners of flows, resets, targets that announce themselves, placement."""

from __future__ import annotations

from collections import Counter

import attrs
from hypothesis import given
from hypothesis import strategies as st

from lentilcourse.actions import ForgetAgent, RegisterAgent
from lentilcourse.controller.registrations import FORGET_AFTER_S, Registrations
from lentilcourse.directory import (
    RECORD_LIFE_S,
    STATE_DRAINING,
    STATE_GONE,
    STATE_IDLE,
    AgentNotice,
    AgentRecord,
    Directory,
)
from lentilcourse.model import RegisteredAgent, State
from lentilcourse.options import Address
from lentilcourse.platform.packets import FLAG_ACK, FLAG_SYN
from lentilcourse.steering.balancer_flows import (
    MAX_DENIALS_AT_ONCE,
    MAX_KEPT_PACKETS,
    SEARCH_PAUSE_S,
)
from lentilcourse.steering.target_watch import TargetReport, TargetWatch, Verdict
from properties import prop
from properties.steering_world import (
    FLOW_LIFE_S,
    SteeringWorld,
    caller,
    catalogue,
    packet,
)

HERE = Address(host="10.0.0.9", port=2)


def report(born=1, sequence=1, target_id="t", **changes):
    """Return an announcement."""
    known = TargetReport(
        target_id=target_id,
        born_ms=born,
        sequence=sequence,
        service="board",
        address=HERE,
        slots=1,
        draining=False,
        cold_s=0.0,
    )
    return attrs.evolve(known, **changes)


steps = st.lists(
    st.tuples(
        st.sampled_from(["open", "talk", "restart-balancer", "restart-agent"]),
        st.integers(0, 7),
        st.integers(1, 3),
    ),
    min_size=4,
    max_size=40,
)


@prop("steering.open_flow_keeps_its_target")
@given(steps, st.integers(0, 1000))
def check_owner(plan, seed):
    """Whatever restarts, a packet of an open flow reaches its target, and no reset is sent."""
    world = SteeringWorld(agents=4, balancers=3, seed=seed)
    opened = {}
    for what, number, which in plan:
        if what == "open" and number not in opened:
            opened[number] = world.open_flow(number, f"b{which}")
            assert opened[number] is not None
        elif what == "talk" and number in opened:
            before = len(opened[number].took)
            world.talk(number, f"b{which}")
            assert len(opened[number].took) > before
        elif what == "restart-balancer":
            world.start_balancer(f"b{which}")
        elif what == "restart-agent":
            world.start_agent(f"a{which}")
    assert world.resets() == []


@prop("steering.wrong_tries_are_few")
@given(st.integers(0, 1000))
def check_tries(seed):
    """A balancer that has forgotten a flow finds its target without a try at another."""
    world = SteeringWorld(agents=5, balancers=2, seed=seed)
    holder = world.open_flow(1, "b1")
    world.pass_time(FLOW_LIFE_S + 1)
    world.talk(1, "b2")
    assert all(not target.wrong for target in world.targets.values())
    assert len(holder.took) == 2


@prop("steering.lookup_loses_no_packet")
@given(st.integers(0, 1000), st.integers(1, MAX_KEPT_PACKETS + 1))
def check_lookup(seed, packets):
    """Packets that come while the owner is sought reach it in order; the first finds it."""
    world = SteeringWorld(agents=4, balancers=2, seed=seed)
    holder = world.open_flow(1, "b1")
    taken = len(holder.took)
    sent = [packet(caller(1), FLAG_ACK, b"%03d" % each, ack=5) for each in range(packets)]
    for raw in sent:
        world.balancers["b2"].on_caller(raw, world.now)
    world.settle()
    assert [raw[-3:] for raw in holder.took[taken:]] == [raw[-3:] for raw in sent]
    assert sum(world.balancers["b2"].lookups.counts) == 1
    assert world.balancers["b2"].lookups.total_s < SEARCH_PAUSE_S
    assert world.balancers["b2"].counts.sought == 1


@prop("steering.nobody_holds_is_reset")
@given(st.integers(0, 1000), st.booleans())
def check_reset(seed, known):
    """A flow whose target has restarted is reset at once, by a balancer that knew it or not."""
    world = SteeringWorld(agents=4, balancers=2, seed=seed)
    holder = world.open_flow(1, "b1")
    world.restart_target(holder.agent)
    world.resets()
    world.talk(1, "b1" if known else "b2")
    (reset,) = world.resets()
    assert reset[4:8] == (5).to_bytes(4, "big")
    assert reset[22:28] == packet(b"\0" * 6, 0)[28:34] and reset[28:34] == caller(1)


@prop("steering.reset_by_another_target_ends_no_flow")
@given(st.integers(0, 1000), st.booleans())
def check_other_reset(seed, held):
    """A target that resets what it does not hold ends no flow that another target holds.

    Where nobody holds it, the caller gets one reset.
    """
    world = SteeringWorld(agents=4, balancers=2, seed=seed)
    holder = world.open_flow(1, "b1")
    for name, target in world.targets.items():
        if target is not holder:
            target.resets = True
            world.start_agent(name)
    if not held:
        world.restart_target(holder.agent)
    world.resets()
    taken = len(holder.took)
    world.talk(1, "b2")
    assert len(world.resets()) == (0 if held else 1)
    if held:
        world.talk(1, "b2")
        assert len(holder.took) == taken + 2


@prop("steering.no_reset_while_an_agent_is_missing")
@given(st.integers(0, 1000), st.booleans())
def check_no_reset(seed, restarted):
    """A flow is not given up while an agent that may hold it is not heard.

    So too when all processes have just restarted and the agent with the flow is the last.
    """
    world = SteeringWorld(agents=4, balancers=2, seed=seed)
    holder = world.open_flow(1, "b1")
    world.down.add(holder.agent)
    if restarted:
        for name in ("a1", "a2", "a3", "a4"):
            world.start_agent(name)
        world.start_balancer("b2")
    world.pass_time(RECORD_LIFE_S + 2)
    for name in world.directories:
        world.directories[name].expire(world.now)
    world.talk(1, "b2")
    assert world.resets() == []
    world.down.clear()
    world.pass_time(2)
    world.talk(1, "b2")
    assert len(holder.took) == 2


@prop("steering.opening_copies_meet_one_target")
@given(st.integers(0, 1000))
def check_copies(seed):
    """Copies of an opening packet reach the target that took the first."""
    world = SteeringWorld(agents=4, balancers=1, seed=seed)
    for number in range(5):
        world.open_flow(number)
        world.send("b1", packet(caller(number), FLAG_SYN, ack=1))
    holders = Counter(flow for target in world.targets.values() for flow in target.flows)
    assert set(holders.values()) == {1}


@prop("steering.wrong_service_gets_nothing")
@given(st.integers(0, 1000), st.booleans())
def check_service(seed, balancer_lags):
    """A target whose service no longer has the entry takes no new flow of it."""
    world = SteeringWorld(agents=3, balancers=1, seed=seed)
    newer = attrs.evolve(world.state, catalogue=catalogue(number=2, service="other"))
    if balancer_lags:
        old = world.state
        world.balancers["b1"]._state = lambda: old
        world.balancers["b1"]._routes._catalogue = lambda: old.catalogue
    world.state = newer
    assert world.open_flow(1) is None


@prop("steering.drained_target_gets_no_flow")
@given(st.integers(0, 1000))
def check_drain(seed):
    """A target that has said it is draining takes no new flow, whatever balancers know."""
    world = SteeringWorld(agents=3, balancers=1, seed=seed)
    world.announce("a1", draining=True)
    holders = {world.open_flow(number).agent for number in range(12)}
    assert "a1" not in holders


@prop("steering.nothing_is_refused_before_all_is_known")
@given(st.booleans())
def check_young(told):
    """What can't be placed is dropped while an agent is not heard; later it is refused.

    The balancer decides so where records say that targets drain, else an agent does.
    """
    world = SteeringWorld(agents=2, balancers=1)
    for name in ("a1", "a2"):
        world.announce(name, draining=True)
        if told:
            world.records[name] = attrs.evolve(world.records[name], state=STATE_DRAINING)
    world.down.add("a2")
    world.start_balancer("b1")
    world.start_agent("a1")
    world.announce("a1", draining=True)
    world.open_flow(1)
    assert world.resets() == []
    world.down.clear()
    world.pass_time(1)
    world.open_flow(2)
    assert len(world.resets()) == 1


@prop("steering.cold_budget_holds")
@given(st.lists(st.floats(0.0, 0.4), max_size=80), st.integers(1, 20))
def check_cold(pauses, limit):
    """In no second does a cold target take more openings than it bears."""
    watch = TargetWatch(address=HERE, life_s=1e9)
    watch.offer(report(cold_s=1e6), 0.0)
    now, taken = 0.0, []
    for pause in pauses:
        now += pause
        if watch.take_opening(limit, now):
            taken.append(now)
    for start in taken:
        assert sum(start <= each <= start + 1.0 for each in taken) <= limit


@prop("steering.returned_domain_is_cold")
def check_return():
    """A target counts as cold from its domain's return until it says how cold it is."""
    watch = TargetWatch(address=HERE, life_s=2.0)
    watch.offer(report(sequence=1), 0.0)
    assert not watch.cold(0.1)
    watch.domain_returned()
    assert watch.cold(0.2)
    watch.offer(report(sequence=2), 0.3)
    assert not watch.cold(0.4)


@prop("steering.last_run_is_believed")
@given(st.permutations([(run, sequence) for run in (1, 2, 3) for sequence in (1, 2, 3)]))
def check_runs(order):
    """Announcements in any order leave the last announcement of the last run in force."""
    watch = TargetWatch(address=HERE, life_s=2.0)
    for run, sequence in order:
        watch.offer(report(born=run, sequence=sequence), 0.0)
    assert (watch.report.born_ms, watch.report.sequence) == (3, 3)


@prop("steering.silent_target_is_not_believed")
@given(st.floats(2.01, 100.0))
def check_silence(pause):
    """A target that fell silent gets no new flow: its address may be another's by now."""
    watch = TargetWatch(address=HERE, life_s=2.0)
    watch.offer(report(), 0.0)
    assert watch.takes_new(1.9)
    assert not watch.takes_new(pause)
    assert watch.offer(report(sequence=1), pause) is Verdict.OUTDATED


@prop("steering.left_run_does_not_return")
def check_left():
    """A late announcement of a run that has left does not bring it back."""
    watch = TargetWatch(address=HERE, life_s=2.0)
    watch.offer(report(sequence=5), 0.0)
    assert not watch.leave("another")
    assert watch.leave("t")
    assert watch.offer(report(sequence=6), 0.1) is Verdict.OUTDATED
    assert watch.offer(report(born=2, sequence=1), 0.2) is Verdict.NEW_RUN


def record(name="a1", state="serving"):
    """Return a record of an agent."""
    address = Address(host="10.0.0.1", port=1)
    return AgentRecord(
        name=name, address=address, service="board", domain="d", state=state, slots=1
    )


@prop("steering.newest_record_stays")
@given(st.permutations([0, 300, 900, 2000]))
def check_directory(ages):
    """Records that arrive by several ways leave the newest in force."""
    directory = Directory()
    for age in ages:
        notice = AgentNotice(record=record(state=f"s{age}"), age_ms=age)
        directory.offer((notice,), 10.0)
    assert [each.state for each in directory.records()] == ["s0"]
    directory.expire(10.1 + RECORD_LIFE_S)
    assert directory.records() == ()


@prop("steering.planned_end_is_told")
def check_gone():
    """An agent that ends as planned leaves the records and is named as gone."""
    directory = Directory()
    directory.offer((AgentNotice(record=record()),), 0.0)
    directory.offer((AgentNotice(record=record(state=STATE_GONE)),), 1.0)
    assert directory.records() == () and directory.gone() == {"a1"}
    moved_to = Directory()
    moved_to.offer((AgentNotice(record=record(state=STATE_GONE)),), 1.0)
    assert moved_to.records() == () and moved_to.gone() == {"a1"}


@prop("steering.registrations_follow_agents")
@given(st.sets(st.sampled_from("abcd")), st.sets(st.sampled_from("abcd")), st.booleans())
def check_registrations(registered, present, idle):
    """Agents with a target get registered; those that ended or stay silent are forgotten."""
    agents = {name: RegisteredAgent(name=name, version=1) for name in registered}
    records = [record(name, STATE_IDLE if idle else "serving") for name in sorted(present)]
    state, registrations = State(agents=agents), Registrations()
    due = registrations.due(state, records, set(), 0.0)
    assert {each.name for each in due} == (set() if idle else present - registered)
    assert all(isinstance(each, RegisterAgent) for each in due)
    silent = registered - present
    due = registrations.due(state, records, silent, 1.0)
    assert {each.name for each in due if isinstance(each, ForgetAgent)} == silent
    late = registrations.due(state, records, set(), FORGET_AFTER_S + 2.0)
    assert {each.name for each in late if isinstance(each, ForgetAgent)} == silent
    registrations.reset()
    anew = registrations.due(state, records, set(), FORGET_AFTER_S + 3.0)
    assert not [each for each in anew if isinstance(each, ForgetAgent)]


@prop("steering.agent_without_target_is_not_waited_for")
def check_idle_agent():
    """An agent that never had a target holds up no reset, though it can't deny at first."""
    world = SteeringWorld(agents=3, balancers=1)
    holder = world.open_flow(1)
    world.add_idle_agent("a4")
    world.restart_target(holder.agent)
    world.resets()
    world.talk(1)
    assert len(world.resets()) == 1


@prop("steering.returned_packet_finds_its_target")
@given(st.integers(0, 1000))
def check_wrong_hint(seed):
    """A packet sent to the wrong agent by an old hint reaches the target after one try."""
    world = SteeringWorld(agents=4, balancers=2, seed=seed)
    holder = world.open_flow(1, "b1")
    wrong = next(name for name in world.agents if name != holder.agent)
    flow = caller(1) + packet(b"\0" * 6, 0)[28:34]
    world.balancers["b1"]._hints[flow].owner = world.records[wrong].address.pair()
    for _ in range(3):
        world.talk(1, "b1")
    assert len(holder.took) == 4
    assert len(world.targets[wrong].wrong) == 1
    assert world.resets() == []


@prop("steering.whole_runs")
def check_whole_runs():
    """A process knows all flows of a run that it saw from the first announcement on."""
    seen, late = (TargetWatch(address=HERE, life_s=2.0) for _ in range(2))
    seen.offer(report(sequence=1), 0.0)
    late.offer(report(sequence=2), 0.0)
    assert seen.whole_run and not late.whole_run
    late.offer(report(born=2, sequence=7), 1.0)
    assert late.whole_run


@prop("steering.search_tries_no_other_target")
def check_search():
    """A search for a flow tries only targets whose agents may have forgotten it."""
    world = SteeringWorld(agents=5, balancers=2)
    world.open_flow(1, "b1")
    world.talk(1, "b2")
    assert all(not target.wrong for target in world.targets.values())


@prop("steering.searches_are_paced")
@given(st.integers(0, 1000), st.integers(2, 16))
def check_pace(seed, packets):
    """However many packets come, a flow is searched for once, and all reach its target in order.

    The answers are late, as on a link that is full: without a pace each packet would be sent to
    every agent, which fills the link further.
    """
    world = SteeringWorld(agents=6, balancers=2, seed=seed)
    holder = world.open_flow(1, "b1")
    taken = len(holder.took)
    balancer = world.balancers["b2"]
    for number in range(packets):
        raw = packet(caller(1), FLAG_ACK, bytes((number,)), ack=5)
        balancer.on_caller(raw, world.now + number * 0.001)
    assert len(world.queue) == len(world.agents)
    world.settle()
    assert [raw[34:] for raw in holder.took[taken:]] == [bytes((n,)) for n in range(packets)]
    assert balancer.counts.sought == 1


@prop("steering.many_agents_deny_only_when_asked_again")
@given(st.integers(0, 1000))
def check_denials(seed):
    """Among many agents a first search brings no denials; a repeated one ends a dead flow."""
    world = SteeringWorld(agents=MAX_DENIALS_AT_ONCE + 1, balancers=2, seed=seed)
    holder = world.open_flow(1, "b1")
    world.restart_target(holder.agent)
    world.resets()
    notices = world.balancers["b2"].counts.notices
    world.talk(1, "b2")
    assert world.balancers["b2"].counts.notices == notices and world.resets() == []
    world.now += 2 * SEARCH_PAUSE_S
    world.talk(1, "b2")
    assert len(world.resets()) == 1
