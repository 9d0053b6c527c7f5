"""Properties of steering: flow ownership, resets, target announcements and agent records."""

from __future__ import annotations

from collections import Counter

import attrs
from hypothesis import given
from hypothesis import strategies as st

from lentilcourse.actions import ForgetAgent, PublishCatalogue, RegisterAgent
from lentilcourse.changes import build_delta
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
from lentilcourse.errors import PacketError
from lentilcourse.model import RegisteredAgent, State
from lentilcourse.options import Address
from lentilcourse.platform.packets import FLAG_ACK, FLAG_SYN
from lentilcourse.steering.balancer_flows import EARLY_LIFE_S, MAX_EARLY_PACKETS
from lentilcourse.steering.candidates import FAR_LOOKUPS, NEAR_LOOKUPS
from lentilcourse.steering.datagrams import (
    FLOW_BYTES,
    MAX_FLOWS_PER_QUERY,
    Envelope,
    FlowQuery,
    FlowReply,
    Kind,
    Possession,
    decode_query,
    decode_reply,
    encode_envelope,
    encode_query,
    encode_reply,
)
from lentilcourse.steering.owner_lookups import LOOKUP_RETRY_S, MAX_BUFFERED_PACKETS
from lentilcourse.steering.owner_searches import ROUND_INTERVAL_S
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
LOOKUPS = NEAR_LOOKUPS + FAR_LOOKUPS
MAX_DATAGRAM_BYTES = 1472
"""UDP payload that fits an Ethernet frame of 1,500 bytes."""


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
    """Packets of an open flow reach its target without a reset, whichever process restarts."""
    world = SteeringWorld(agents=4, balancers=3, seed=seed)
    opened = {}
    for action, number, process in plan:
        if action == "open" and number not in opened:
            opened[number] = world.open_flow(number, f"b{process}")
            assert opened[number] is not None
        elif action == "talk" and number in opened:
            before = len(opened[number].received)
            world.send_data(number, f"b{process}")
            assert len(opened[number].received) > before
        elif action == "restart-balancer":
            world.start_balancer(f"b{process}")
        elif action == "restart-agent":
            world.start_agent(f"a{process}")
    assert world.resets() == []


@prop("steering.restarted_agent_asks_its_target")
@given(st.integers(0, 1000))
def check_restarted_agent(seed):
    """A restarted agent gives its target a packet of a flow that the agent has no record of."""
    world = SteeringWorld(agents=4, balancers=2, seed=seed)
    holder = world.open_flow(1, "b1")
    world.start_agent(holder.agent)
    world.send_data(1, "b2")
    assert len(holder.received) == 2
    assert world.resets() == []


@prop("steering.wrong_tries_are_few")
@given(st.integers(0, 1000))
def check_tries(seed):
    """A balancer without a hint finds the target of a flow without trying other targets."""
    world = SteeringWorld(agents=5, balancers=2, seed=seed)
    holder = world.open_flow(1, "b1")
    world.advance_time(FLOW_LIFE_S + 1)
    world.send_data(1, "b2")
    assert all(not target.misdelivered for target in world.targets.values())
    assert len(holder.received) == 2


@prop("steering.lookup_loses_no_packet")
@given(st.integers(0, 1000), st.integers(1, MAX_BUFFERED_PACKETS + 1))
def check_lookup(seed, packets):
    """Packets that arrive during an owner lookup reach the owner in order after one lookup."""
    world = SteeringWorld(agents=4, balancers=2, seed=seed)
    holder = world.open_flow(1, "b1")
    taken = len(holder.received)
    sent = [packet(caller(1), FLAG_ACK, b"%03d" % each, ack=5) for each in range(packets)]
    for raw in sent:
        world.balancers["b2"].on_caller(raw, world.now)
    world.deliver_all()
    assert [raw[-3:] for raw in holder.received[taken:]] == [raw[-3:] for raw in sent]
    assert sum(world.balancers["b2"].lookups.counts) == 1
    assert world.balancers["b2"].lookups.total_s < LOOKUP_RETRY_S
    assert world.balancers["b2"].counts.sought == 1


@prop("steering.nobody_holds_is_reset")
@given(st.integers(0, 1000), st.booleans())
def check_reset(seed, known):
    """A flow whose target has restarted is reset at once, with or without a balancer hint."""
    world = SteeringWorld(agents=4, balancers=2, seed=seed)
    holder = world.open_flow(1, "b1")
    world.restart_target(holder.agent)
    world.resets()
    world.send_data(1, "b1" if known else "b2")
    (reset,) = world.resets()
    assert reset[4:8] == (5).to_bytes(4, "big")
    assert reset[22:28] == packet(b"\0" * 6, 0)[28:34] and reset[28:34] == caller(1)


@prop("steering.reset_by_another_target_ends_no_flow")
@given(st.integers(0, 1000), st.booleans())
def check_other_reset(seed, held):
    """A reset by a target that does not hold a flow does not end it if another target holds it.

    If no target holds the flow, the caller receives one reset.
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
    taken = len(holder.received)
    world.send_data(1, "b2")
    assert len(world.resets()) == (0 if held else 1)
    if held:
        world.send_data(1, "b2")
        assert len(holder.received) == taken + 2


@prop("steering.no_reset_while_an_agent_is_missing")
@given(st.integers(0, 1000), st.booleans())
def check_no_reset(seed, restarted):
    """A flow is not reset while an agent whose target may hold it is missing from the directory.

    This also applies when all processes have restarted and the agent with the flow appears last.
    """
    world = SteeringWorld(agents=4, balancers=2, seed=seed)
    holder = world.open_flow(1, "b1")
    world.down.add(holder.agent)
    if restarted:
        for name in ("a1", "a2", "a3", "a4"):
            world.start_agent(name)
        world.start_balancer("b2")
    world.advance_time(RECORD_LIFE_S + 2)
    for name in world.directories:
        world.directories[name].expire(world.now)
    world.send_data(1, "b2")
    assert world.resets() == []
    world.down.clear()
    world.advance_time(2)
    world.send_data(1, "b2")
    assert len(holder.received) == 2


@prop("steering.opening_copies_meet_one_target")
@given(st.integers(0, 1000))
def check_copies(seed):
    """Retransmitted opening packets reach the target that accepted the first one."""
    world = SteeringWorld(agents=4, balancers=1, seed=seed)
    for number in range(5):
        world.open_flow(number)
        world.send("b1", packet(caller(number), FLAG_SYN, ack=1))
    holders = Counter(flow for target in world.targets.values() for flow in target.flows)
    assert set(holders.values()) == {1}


@prop("steering.returned_opening_finds_a_target")
@given(st.integers(0, 1000), st.booleans())
def check_full(seed, busy):
    """An opening packet that a full target returns is accepted by another one at once.

    This also holds if a busy agent has passed the packet on before.
    """
    world = SteeringWorld(agents=9, balancers=1, seed=seed)
    free = f"a{1 + seed % 9}"
    for name, target in world.targets.items():
        target.full = name != free
        if busy and name != free and int(name[1:]) % 2:
            world.agents[name].meter.change(3, world.now)
    holder = world.open_flow(1)
    assert holder is world.targets[free]


@prop("steering.wrong_service_gets_nothing")
@given(st.integers(0, 1000), st.booleans())
def check_service(seed, balancer_lags):
    """A target gets no new flows of an entry that is no longer routed to its service."""
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
    """A draining target gets no new flows, even if balancers do not know that it is draining."""
    world = SteeringWorld(agents=3, balancers=1, seed=seed)
    world.announce("a1", draining=True)
    holders = {world.open_flow(number).agent for number in range(12)}
    assert "a1" not in holders


@prop("steering.nothing_is_refused_before_all_is_known")
@given(st.booleans())
def check_young(told):
    """A flow that can't be placed is dropped while an agent is missing, and refused afterwards.

    The balancer decides this if the agent records show draining targets; otherwise an agent does.
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
    world.advance_time(1)
    world.open_flow(2)
    assert len(world.resets()) == 1


@prop("steering.early_packets_wait")
@given(st.integers(0, 1000), st.booleans(), st.floats(0.1, 2.0))
def check_early(seed, agents_missing, wait_s):
    """Packets that reach a balancer before it knows the catalogue or an agent are not lost.

    Their callers would send them again only after 0.2 to 1.6 s (all power lost).
    """
    world = SteeringWorld(agents=4, balancers=1, seed=seed)
    holder = world.open_flow(1, "b1")
    known, records = world.state, world.records
    if agents_missing:
        world.down.update(records)
    else:
        world.state = State()
    world.start_balancer("b2")
    world.send_data(1, "b2")
    world.open_flow(2, "b2")
    assert world.holder(2) is None and world.resets() == []
    world.down.clear()
    world.state = world.copies["b2"].current = known
    world.now += wait_s
    world.refresh_directory("b2")
    world.balancers["b2"].on_view_changed(world.now)
    world.deliver_all()
    received = [raw for raw in holder.received if raw[22:28] == caller(1)]
    if wait_s < 0.9 * EARLY_LIFE_S:
        assert world.holder(2) is not None and len(received) == 2
    if wait_s > EARLY_LIFE_S:
        assert world.holder(2) is None and len(received) == 1


@prop("steering.early_packets_are_bounded")
def check_early_bound():
    """A balancer that waits for its catalogue keeps a bounded number of packets."""
    world = SteeringWorld(agents=2, balancers=1)
    world.state = State()
    world.start_balancer("b2")
    for number in range(2 * MAX_EARLY_PACKETS):
        world.send("b2", packet(caller(number), FLAG_SYN))
    assert len(world.balancers["b2"]._early) == MAX_EARLY_PACKETS


@prop("steering.cold_budget_holds")
@given(st.lists(st.floats(0.0, 0.4), max_size=80), st.integers(1, 20))
def check_cold(pauses, limit):
    """A cold target never gets more openings than its limit within any second."""
    watch = TargetWatch(address=HERE, announcement_life_s=1e9)
    watch.record_announcement(report(cold_s=1e6), 0.0)
    now, taken = 0.0, []
    for pause in pauses:
        now += pause
        if watch.admit_opening(limit, now):
            taken.append(now)
    for start in taken:
        assert sum(start <= each <= start + 1.0 for each in taken) <= limit


@prop("steering.returned_domain_is_cold")
def check_return():
    """A target is cold from the return of its failure domain until its next announcement."""
    watch = TargetWatch(address=HERE, announcement_life_s=2.0)
    watch.record_announcement(report(sequence=1), 0.0)
    assert not watch.is_cold(0.1)
    watch.on_domain_returned()
    assert watch.is_cold(0.2)
    watch.record_announcement(report(sequence=2), 0.3)
    assert not watch.is_cold(0.4)


@prop("steering.last_run_is_believed")
@given(st.permutations([(run, sequence) for run in (1, 2, 3) for sequence in (1, 2, 3)]))
def check_runs(order):
    """The last announcement of the last run is current, in whatever order they arrive."""
    watch = TargetWatch(address=HERE, announcement_life_s=2.0)
    for run, sequence in order:
        watch.record_announcement(report(born=run, sequence=sequence), 0.0)
    assert (watch.report.born_ms, watch.report.sequence) == (3, 3)


@prop("steering.silent_target_is_not_believed")
@given(st.floats(2.01, 100.0))
def check_silence(pause):
    """A silent target gets no new flows: its address may have been reassigned."""
    watch = TargetWatch(address=HERE, announcement_life_s=2.0)
    watch.record_announcement(report(), 0.0)
    assert watch.accepts_flows(1.9)
    assert not watch.accepts_flows(pause)
    assert watch.record_announcement(report(sequence=1), pause) is Verdict.OUTDATED


@prop("steering.left_run_does_not_return")
def check_left():
    """A delayed announcement does not restore a run that has departed."""
    watch = TargetWatch(address=HERE, announcement_life_s=2.0)
    watch.record_announcement(report(sequence=5), 0.0)
    assert not watch.remove("another")
    assert watch.remove("t")
    assert watch.record_announcement(report(sequence=6), 0.1) is Verdict.OUTDATED
    assert watch.record_announcement(report(born=2, sequence=1), 0.2) is Verdict.NEW_RUN


def record(name="a1", state="serving"):
    """Return an agent record."""
    address = Address(host="10.0.0.1", port=1)
    return AgentRecord(
        name=name, address=address, service="board", domain="d", state=state, slots=1
    )


@prop("steering.newest_record_stays")
@given(st.permutations([0, 300, 900, 2000]))
def check_directory(ages):
    """The newest record of an agent is kept when records arrive out of order."""
    directory = Directory()
    for age in ages:
        notice = AgentNotice(record=record(state=f"s{age}"), age_ms=age)
        directory.offer((notice,), 10.0)
    assert [each.state for each in directory.records()] == ["s0"]
    directory.expire(10.1 + RECORD_LIFE_S)
    assert directory.records() == ()


@prop("steering.planned_end_is_told")
def check_gone():
    """An agent that stops as planned is removed from the records and listed as gone."""
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
    """Agents with a target are registered; stopped or long-silent agents are unregistered."""
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


@prop("steering.departed_target_is_not_waited_for")
@given(st.integers(0, 1000))
def check_departed(seed):
    """A dead flow is reset although an agent whose target left before never comes back.

    The agent's machine was to stop two seconds after its target; all power was lost in between, and
    no dead flow was reset for the rest of the day (fynbos-lbl scale-2).
    """
    watch = TargetWatch(address=HERE, announcement_life_s=2.0)
    assert not watch.has_left
    watch.record_announcement(report(), 0.0)
    assert not watch.has_left
    watch.remove("t")
    assert watch.has_left
    world = SteeringWorld(agents=4, balancers=2, seed=seed)
    holder = world.open_flow(1, "b1")
    left = next(name for name in world.agents if name != holder.agent)
    records = [
        attrs.evolve(each, state=STATE_IDLE, vacant=True) if each.name == left else each
        for each in world.records.values()
    ]
    (due,) = Registrations().due(world.state, records, set(), world.now)
    assert due == ForgetAgent(name=left)
    world.register(*(name for name in world.records if name != left))
    world.down.add(left)
    world.advance_time(RECORD_LIFE_S + 2)
    for directory in world.directories.values():
        directory.expire(world.now)
    world.restart_target(holder.agent)
    world.resets()
    world.send_data(1, "b2")
    assert len(world.resets()) == 1


@prop("steering.agent_without_target_is_not_waited_for")
def check_idle_agent():
    """An agent that has never had a target does not delay resets, though it can't deny yet."""
    world = SteeringWorld(agents=3, balancers=1)
    holder = world.open_flow(1)
    world.add_idle_agent("a4")
    world.restart_target(holder.agent)
    world.resets()
    world.send_data(1)
    assert len(world.resets()) == 1


@prop("steering.returned_packet_finds_its_target")
@given(st.integers(0, 1000))
def check_wrong_hint(seed):
    """Packets sent to the wrong agent by a stale hint reach the target after one wrong delivery."""
    world = SteeringWorld(agents=4, balancers=2, seed=seed)
    holder = world.open_flow(1, "b1")
    wrong = next(name for name in world.agents if name != holder.agent)
    flow = caller(1) + packet(b"\0" * 6, 0)[28:34]
    world.balancers["b1"]._hints[flow].owner = world.records[wrong].address.pair()
    for _ in range(3):
        world.send_data(1, "b1")
    assert len(holder.received) == 4
    assert len(world.targets[wrong].misdelivered) == 1
    assert world.resets() == []


@prop("steering.whole_runs")
def check_whole_runs():
    """A run counts as seen from its start if its first announcement or its start was observed."""
    seen, late = (TargetWatch(address=HERE, announcement_life_s=2.0) for _ in range(2))
    seen.record_announcement(report(sequence=1), 0.0)
    late.record_announcement(report(sequence=2), 0.0)
    assert seen.seen_from_start and not late.seen_from_start
    late.record_announcement(report(born=2, sequence=7), 1.0)
    assert late.seen_from_start


@prop("steering.search_tries_no_other_target")
def check_search():
    """An owner lookup tries only targets whose agents may lack a record of the flow."""
    world = SteeringWorld(agents=5, balancers=2)
    world.open_flow(1, "b1")
    world.send_data(1, "b2")
    assert all(not target.misdelivered for target in world.targets.values())


@prop("steering.searches_are_paced")
@given(st.integers(0, 1000), st.integers(2, 16))
def check_pace(seed, packets):
    """Any number of packets causes one lookup, and all of them reach the target in order.

    Replies are delayed, as on a congested link: without rate limiting, each packet would be
    broadcast to every agent and add to the congestion.
    """
    world = SteeringWorld(agents=12, balancers=2, seed=seed)
    holder = world.open_flow(1, "b1")
    taken = len(holder.received)
    balancer = world.balancers["b2"]
    for number in range(packets):
        raw = packet(caller(1), FLAG_ACK, bytes((number,)), ack=5)
        balancer.on_caller(raw, world.now + number * 0.001)
    assert len(world.queue) == 1
    world.deliver_all()
    assert [raw[34:] for raw in holder.received[taken:]] == [bytes((n,)) for n in range(packets)]
    assert balancer.counts.sought == 1


@prop("steering.dead_flow_costs_a_balancer_few_datagrams")
@given(st.integers(0, 1000), st.sampled_from([4, 20, 72]))
def check_dead_flow_cost(seed, agents):
    """A dead flow is reset after one lookup, which costs its balancer few datagrams.

    They are as few with 72 agents as with 4: copies to all agents, or their denials, would fill
    the link of a balancer, which is much slower than that of an agent.
    """
    world = SteeringWorld(agents=agents, balancers=2, seed=seed)
    holder = world.open_flow(1, "b1")
    world.restart_target(holder.agent)
    world.resets()
    counts = world.balancers["b2"].counts
    notices = counts.notices
    world.send_data(1, "b2")
    assert len(world.resets()) == 1
    assert counts.searches == 1
    assert counts.notices == notices


@prop("steering.lookup_sends_a_packet_once")
@given(st.integers(0, 1000), st.booleans())
def check_lookup_bytes(seed, held):
    """A lookup sends a caller's packet to one agent, and only a few bytes to the others.

    Three copies of large packets for each flow of a balancer that stops fill the links of those
    that take its flows over (hundreds of machines, links of 1.5 Mbit/s).
    """
    world = SteeringWorld(agents=40, balancers=2, seed=seed)
    holder = world.open_flow(1, "b1")
    if not held:
        world.restart_target(holder.agent)
    raw = packet(caller(1), FLAG_ACK, b"G" * 1200, ack=5)
    world.send("b2", raw)
    assert world.balancers["b2"].counts.lookup_bytes <= 1.2 * len(raw)


@prop("steering.search_ends_once_all_agents_are_known")
@given(st.integers(0, 1000), st.booleans())
def check_late_completeness(seed, planned):
    """A flow that all others have denied is reset as soon as the last agent is known to have gone.

    It had ended as planned, or its registration ends: no further reply or packet is needed.
    """
    world = SteeringWorld(agents=4, balancers=2, seed=seed)
    holder = world.open_flow(1, "b1")
    world.down.add(holder.agent)
    world.advance_time(RECORD_LIFE_S + 2)
    for directory in world.directories.values():
        directory.expire(world.now)
    world.send_data(1, "b2")
    assert world.resets() == []
    if planned:
        gone = attrs.evolve(world.records[holder.agent], state=STATE_GONE)
        for directory in world.directories.values():
            directory.offer((AgentNotice(record=gone),), world.now)
    else:
        world.register(*(name for name in world.records if name != holder.agent))
    world.now += ROUND_INTERVAL_S
    for agent in world.agents.values():
        agent.search_owners(world.now)
    assert len(world.resets()) == 1


@prop("steering.unsure_agents_answer_the_searcher")
@given(st.integers(0, 1000))
def check_unsure(seed):
    """Denials of restarted agents reach the agent that searches, not the balancer's slow link."""
    world = SteeringWorld(agents=40, balancers=2, seed=seed)
    holder = world.open_flow(1, "b1")
    world.restart_target(holder.agent)
    for name in list(world.agents):
        world.start_agent(name)
    world.resets()
    notices = world.balancers["b2"].counts.notices
    world.send_data(1, "b2")
    assert len(world.resets()) == 1
    assert world.balancers["b2"].counts.notices == notices


@prop("steering.searches_share_datagrams")
@given(st.integers(0, 1000), st.integers(2, 60))
def check_search_rounds(seed, flows):
    """Searches for many flows send each agent one query in a round, not one for each flow.

    The number of queries would otherwise grow with callers times agents when many targets are lost.
    """
    world = SteeringWorld(agents=6, balancers=1, seed=seed)
    searcher = world.agents["a1"]
    header = encode_envelope(Envelope(kind=Kind.SEARCH, hops=0, balancer=("10.1.0.1", 1)), b"")
    for number in range(flows):
        raw = packet(caller(number), FLAG_ACK, b"GET", ack=5)
        searcher.on_peer(header + raw, world.now)
    assert searcher.counts.queries == len(world.agents)
    world.now += ROUND_INTERVAL_S
    searcher.search_owners(world.now)
    assert searcher.counts.queries == 2 * len(world.agents)
    world.deliver_all()
    assert len(world.resets()) == flows


@prop("steering.owner_is_among_first_candidates")
@given(st.integers(0, 1000))
def check_candidates(seed):
    """A new flow is placed at a candidate that a lookup asks first, also after an agent joins."""
    world = SteeringWorld(agents=40, balancers=2, seed=seed)
    agents = world.agents.values()
    for number in range(10):
        world.open_flow(number, "b1")
    world.add_agent("a41")
    for number in range(10):
        world.send_data(number, "b2")
    assert all(agent.counts.queries <= agent.counts.sought * LOOKUPS for agent in agents)
    assert all(not target.misdelivered for target in world.targets.values())


@prop("steering.moved_entry_keeps_its_flows")
@given(st.integers(0, 1000))
def check_moved_entry(seed):
    """An open flow is found at its target after its entry was routed to another service."""
    world = SteeringWorld(agents=3, balancers=2, seed=seed)
    holder = world.open_flow(1, "b1")
    for name in ("a4", "a5", "a6"):
        world.add_agent(name, service="other")
    moved = PublishCatalogue(name="catalogue", catalogue=catalogue(number=2, service="other"))
    delta = build_delta(moved, world.state, 0)
    world.state = attrs.evolve(world.state, catalogue=delta.catalogue)
    world.send_data(1, "b2")
    assert len(holder.received) == 2
    assert world.resets() == []


@prop("steering.queries_round_trip")
@given(
    st.dictionaries(
        st.binary(min_size=FLOW_BYTES, max_size=FLOW_BYTES),
        st.sampled_from(Possession),
        max_size=MAX_FLOWS_PER_QUERY,
    )
)
def check_queries(answers):
    """Queries and replies are decoded as they were encoded, and fit an Ethernet frame."""
    address = ("10.0.0.1", 7)
    query = FlowQuery(searcher=address, flows=tuple(answers))
    reply = FlowReply(agent=address, answers=answers)
    assert decode_query(encode_query(query)) == query
    assert decode_reply(encode_reply(reply)) == reply
    assert len(encode_reply(reply)) <= MAX_DATAGRAM_BYTES


@prop("steering.foreign_queries_are_refused")
@given(st.binary(max_size=60))
def check_foreign_queries(body):
    """Bytes that are no query or reply raise `PacketError` and nothing else."""
    for kind, decode in ((Kind.QUERY, decode_query), (Kind.REPLY, decode_reply)):
        try:
            decode(bytes((kind,)) + body)
        except PacketError:
            continue
