"""Properties on planned restarts of agents: the next process knows the flows of the one before."""

from __future__ import annotations

import contextlib
import random

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from lentilcourse.directory import STATE_DRAINING, STATE_GONE, STATE_IDLE, STATE_SERVING
from lentilcourse.errors import PacketError
from lentilcourse.options import Address
from lentilcourse.platform.packets import FLAG_SYN
from lentilcourse.steering.agent_flows import FIRST_ANNOUNCEMENT_TIMEOUT_S
from lentilcourse.steering.agent_role import target_state
from lentilcourse.steering.datagrams import Kind
from lentilcourse.steering.flow_lists import (
    FLOWS_PER_PART,
    MAX_PARTS,
    FlowList,
    ListRecall,
    PartKept,
    decode_kept,
    decode_part,
    decode_recall,
    encode_kept,
    encode_part,
    encode_recall,
    split_list,
)
from lentilcourse.steering.handover import KEEP_LIFE_S, MAX_KEPT_LISTS, FlowListKeeper
from lentilcourse.steering.target_watch import TargetReport, TargetWatch
from properties import prop
from properties.steering_world import SteeringWorld, caller, packet

FLOWS = 8


def opened_world(agents, seed, balancers=2):
    """Return a world with open flows, and the target of each."""
    world = SteeringWorld(agents=agents, balancers=balancers, seed=seed)
    holders = {number: world.open_flow(number) for number in range(FLOWS)}
    return world, holders


def check_flows(world, holders, balancer):
    """Packets reach their targets within a round of searches, and nothing else happens to them."""
    world.resets()
    for number, holder in holders.items():
        before = len(holder.received)
        world.send_data(number, balancer)
        world.play_round()
        assert len(holder.received) == before + 1
    assert world.resets() == []
    assert not any(target.misdelivered for target in world.targets.values())


def check_unreachable(world, holders, stopped):
    """Packets of flows whose agents are stopped reach no other target, and cause no reset."""
    world.resets()
    world.start_balancer("b1")
    for number, holder in holders.items():
        if holder.agent in stopped:
            world.send_data(number, "b1")
            world.play_round()
    assert world.resets() == []
    assert not any(target.misdelivered for target in world.targets.values())


@prop("handover.restarts_cost_no_flow")
@settings(max_examples=60)
@given(st.integers(0, 1000), st.integers(1, 3))
def check_restarts(seed, overlap):
    """Rounds of overlapping planned restarts of all agents and balancers cost no flow.

    After one round all agents were unsure of all flows, and each search gave a packet to many
    targets; flows were reset whose agents denied them for lack of knowledge.
    """
    rng = random.Random(seed)
    world, holders = opened_world(9, seed)
    for _ in range(2):
        names = list(world.agents)
        rng.shuffle(names)
        for start in range(0, len(names), overlap):
            group = names[start : start + overlap]
            for name in group:
                world.stop_agent(name)
            check_unreachable(world, holders, group)
            for name in group:
                world.resume_agent(name, announced=rng.random() < 0.5)
            world.start_balancer(f"b{rng.randint(1, 2)}")
            check_flows(world, holders, f"b{rng.randint(1, 2)}")
            for name in group:
                world.announce(name)
            check_flows(world, holders, f"b{rng.randint(1, 2)}")


@prop("handover.first_announcement_ends_no_flow")
@given(st.integers(0, 1000))
def check_first_announcement(seed):
    """A flow that passes a killed agent's successor before the first announcement stays held.

    The record was taken for one of an earlier run of the target, and the flow was denied.
    """
    world, holders = opened_world(4, seed)
    for name in world.agents:
        world.start_agent(name, announced=False)
    for number in holders:
        world.send_data(number, "b1")
    for name in world.agents:
        world.announce(name)
    world.resets()
    for number, holder in holders.items():
        before = len(holder.received)
        world.send_data(number, "b2")
        assert len(holder.received) == before + 1
    assert world.resets() == []


@prop("handover.dead_flows_are_reset")
@given(st.integers(0, 1000), st.booleans())
def check_dead(seed, announced):
    """A flow whose target has restarted beside its agent is reset at its first packet."""
    world, holders = opened_world(6, seed)
    restarted = holders[0].agent
    world.stop_agent(restarted)
    world.targets[restarted].flows.clear()
    world.resume_agent(restarted, announced=False)
    if announced:
        world.announce(restarted, born=int(world.now * 1000))
    dead = {number for number, holder in holders.items() if holder.agent == restarted}
    world.resets()
    for number in dead:
        world.send_data(number, "b2")
        world.play_round()
    assert len(world.resets()) == len(dead)
    living = {number: holder for number, holder in holders.items() if number not in dead}
    for target in world.targets.values():
        target.misdelivered.clear()
    check_flows(world, living, "b2")


@prop("handover.list_is_given_once")
@given(st.integers(0, 1000))
def check_once(seed):
    """A process that follows a killed one does not get the list of the process before that."""
    world, _ = opened_world(6, seed)
    world.stop_agent("a1")
    world.resume_agent("a1")
    assert not world.agents["a1"].may_hold_unrecorded_flows(world.now)
    world.resume_agent("a1")
    assert world.agents["a1"].may_hold_unrecorded_flows(world.now)


@prop("handover.stopping_agent_takes_no_flow")
@given(st.integers(0, 1000))
def check_stopping(seed):
    """A flow that is opened at a stopping agent is passed on, so that its list stays complete."""
    world = SteeringWorld(agents=5, balancers=1, seed=seed)
    holder = world.open_flow(1)
    world.agents[holder.agent].hand_over(int(world.now * 1000), world.now)
    world.targets[holder.agent].flows.clear()
    for number in range(2, 12):
        world.send("b1", packet(caller(number), FLAG_SYN))
        assert world.holder(number).agent != holder.agent


ADDRESSES = st.tuples(st.just("10.0.0.7"), st.integers(0, 65535))
KEYS = st.binary(min_size=12, max_size=12)


@prop("handover.datagrams_round_trip")
@given(
    ADDRESSES,
    ADDRESSES,
    st.integers(0, 2**64 - 1),
    st.binary(min_size=8, max_size=8),
    st.booleans(),
    st.integers(0, MAX_PARTS * FLOWS_PER_PART),
)
def check_datagrams(owner, sender, stopped_ms, run, complete, count):
    """Lists come back whole from their parts; recalls and acknowledgements come back equal."""
    flows = tuple(number.to_bytes(12, "big") for number in range(count))
    content = FlowList(
        owner=owner, stopped_ms=stopped_ms, target_run=run, complete=complete, flows=flows
    )
    parts = [decode_part(encode_part(Kind.KEEP, each)) for each in split_list(content, sender)]
    assert parts == split_list(content, sender)
    assert tuple(flow for part in parts for flow in part.content.flows) == flows
    recall = ListRecall(owner=owner, started_ms=stopped_ms)
    assert decode_recall(encode_recall(recall)) == recall
    kept = PartKept(owner=owner, stopped_ms=stopped_ms, part=3, keeper=sender)
    assert decode_kept(encode_kept(kept)) == kept


@prop("handover.foreign_datagrams_are_refused")
@given(st.sampled_from((Kind.KEEP, Kind.KEPT, Kind.RECALL, Kind.RECALLED)), st.binary(max_size=90))
def check_foreign(kind, body):
    """Bytes of another writer raise `PacketError` at most, and leave the agent's flows alone."""
    world, holders = opened_world(3, 1)
    with contextlib.suppress(PacketError):
        world.agents["a1"].on_peer(bytes((kind,)) + body, world.now)
    world.deliver_all()
    check_flows(world, holders, "b2")


@prop("handover.keepers_are_bounded")
def check_bounds():
    """A keeper holds a bounded number of lists, forgets old ones and takes newer ones."""
    keeper = FlowListKeeper()
    lists = [
        FlowList(owner=("10.0.0.1", port), stopped_ms=5, target_run=bytes(8), complete=True)
        for port in range(MAX_KEPT_LISTS + 1)
    ]
    sender = ("10.0.0.2", 1)
    taken = [keeper.keep(split_list(each, sender)[0], 0.0) for each in lists]
    assert taken == [True] * MAX_KEPT_LISTS + [False]
    recall = ListRecall(owner=lists[0].owner, started_ms=6)
    assert keeper.recall(recall, KEEP_LIFE_S) and not keeper.recall(recall, KEEP_LIFE_S + 1)
    assert keeper.keep(split_list(lists[-1], sender)[0], KEEP_LIFE_S + 1)
    late = ListRecall(owner=lists[-1].owner, started_ms=5)
    assert not keeper.recall(late, KEEP_LIFE_S + 1)


@prop("handover.stop_says_nothing_of_an_unheard_target")
def check_state():
    """An agent that stops right after its start does not report its target as gone.

    Searches left the agent out then, and flows that its target held were reset.
    """
    address = Address(host="10.0.0.9", port=2)
    report = TargetReport(
        target_id="t",
        born_ms=1,
        sequence=7,
        service="s",
        address=address,
        slots=1,
        draining=False,
        cold_s=0.0,
    )
    unheard = TargetWatch(address=address, announcement_life_s=5.0)
    serving, draining, left = (
        TargetWatch(address=address, announcement_life_s=5.0) for _ in range(3)
    )
    for watch in (serving, left):
        watch.record_announcement(report, 10.0)
    draining.record_announcement(attrs.evolve(report, draining=True), 10.0)
    left.remove("t")
    young_s, old_s = 0.1, FIRST_ANNOUNCEMENT_TIMEOUT_S
    for watch, age_s, at, running, stopping in (
        (unheard, young_s, 10.0, STATE_IDLE, STATE_IDLE),
        (unheard, old_s, 10.0, STATE_IDLE, STATE_GONE),
        (serving, young_s, 10.0, STATE_SERVING, STATE_SERVING),
        (draining, young_s, 10.0, STATE_DRAINING, STATE_DRAINING),
        (left, young_s, 10.0, STATE_IDLE, STATE_GONE),
        (serving, old_s, 16.0, STATE_IDLE, STATE_GONE),
    ):
        assert target_state(watch, age_s, False, at) == running
        assert target_state(watch, age_s, True, at) == stopping


@prop("handover.newest_list_is_used")
@given(st.integers(0, 1000), st.booleans())
def check_newest(seed, older_first):
    """Of two lists that keepers give back, the one of the process right before is used."""
    world, holders = opened_world(6, seed)
    name = holders[0].agent
    world.stop_agent(name)
    old_keepers = [(each, agent._handover._keeper._lists) for each, agent in world.agents.items()]
    owner = world.records[name].address.pair()
    kept = {each: lists[owner] for each, lists in old_keepers if owner in lists}
    world.resume_agent(name)
    late = world.open_flow(100)
    world.stop_agent(name)
    for each, old in kept.items():
        old.taken_by_ms = 0
        if older_first:
            world.agents[each]._handover._keeper._lists[owner] = old
            break
    world.resume_agent(name)
    if late.agent == name:
        check_flows(world, {100: late}, "b2")
    check_flows(world, holders, "b2")
