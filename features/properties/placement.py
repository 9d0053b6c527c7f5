"""Properties of placement: which agent is offered a new flow, and what is known of its load."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from lentilcourse.steering.load_meter import LoadMeter
from lentilcourse.steering.peers import Peer
from lentilcourse.steering.placement import (
    AVOIDED_FOR_S,
    SILENT_AFTER_S,
    AgentLoads,
    usable_peers,
)
from lentilcourse.steering.placement_policies import PLACEMENT_POLICIES, Offer
from properties import prop

BASELINES = ("random", "rendezvous")


def peer(number, domain="d0", slots=1):
    """Return an agent."""
    return Peer(name=f"a{number}", address=(f"10.0.0.{number}", 1), domain=domain, slots=slots)


@prop("steering.silent_agent_is_avoided")
def check_silent_agent():
    """An agent that leaves offers unanswered gets none for a while, then one more chance."""
    loads, peers = AgentLoads(), (peer(1), peer(2))
    loads.hear(peers[1].address, 0.9, 0.0)
    loads.place(peers[0].address, 0.0)
    later = SILENT_AFTER_S + 0.1
    assert usable_peers(peers, loads, later) == peers[1:]
    loads.hear(peers[0].address, 0.0, later + 0.1)
    loads.hear(peers[1].address, 0.0, later + 0.1)
    assert usable_peers(peers, loads, later + 0.2) == peers
    loads.place(peers[0].address, later + 1.0)
    again = later + 1.0 + SILENT_AFTER_S + AVOIDED_FOR_S + 0.2
    loads.avoided(peers[0].address, later + 1.1 + SILENT_AFTER_S)
    assert not loads.avoided(peers[0].address, again)


@prop("steering.all_avoided_are_used")
def check_all_avoided():
    """Where every agent is avoided, all may be offered flows."""
    loads, peers = AgentLoads(), (peer(1), peer(2))
    for each in peers:
        loads.place(each.address, 0.0)
    assert usable_peers(peers, loads, SILENT_AFTER_S + 0.1) == peers


@prop("steering.same_flow_same_agent_by_hash")
@given(st.binary(min_size=1, max_size=12), st.permutations(range(5)), st.integers(0, 4))
def check_rendezvous(flow, order, left):
    """By hash, order does not matter, and an agent that leaves moves only its own flows."""
    choose = PLACEMENT_POLICIES.get("rendezvous")
    chosen = choose(offer(flow, tuple(peer(number) for number in order)), 0.0)
    fewer = choose(offer(flow, tuple(peer(number) for number in order if number != left)), 0.0)
    assert fewer == chosen or chosen == peer(left)


def offer(flow, peers, loads=None, rng=None):
    """Return an offer of a new flow."""
    return Offer(
        flow=flow,
        peers=peers,
        loads=loads or AgentLoads(),
        domain="d0",
        rng=rng or random.Random(1),
    )


def imbalance(policy, speeds, seed):
    """Return busiest over mean of long flows on targets of unequal speed.

    Each flow asks for the same work; a target's load is its flows over its speed.
    """
    rng = random.Random(seed)
    peers = tuple(peer(number) for number in range(len(speeds)))
    flows = [0] * len(speeds)
    loads = AgentLoads()
    for number in range(140):
        now = number * 0.05
        if number % 5 == 0:
            for index, each in enumerate(peers):
                loads.hear(each.address, 0.04 * flows[index] / speeds[index], now)
        flow = f"{seed}/{number}".encode()
        chosen = PLACEMENT_POLICIES.get(policy)(offer(flow, peers, loads, rng), now)
        flows[peers.index(chosen)] += 1
        loads.place(chosen.address, now)
    busy = [count / speed for count, speed in zip(flows, speeds, strict=True)]
    return max(busy) / (sum(busy) / len(busy))


@prop("steering.long_flows_on_unequal_targets")
def check_imbalance():
    """Long flows spread by load: the busiest of unequal targets stays nearer to the mean.

    Measured against two baselines that know nothing of load.
    """
    speeds = (0.6, 1.0, 1.6, 0.6, 1.0, 1.6, 1.0)
    mean = {
        policy: sum(imbalance(policy, speeds, seed) for seed in range(20)) / 20
        for policy in PLACEMENT_POLICIES.names()
    }
    assert mean["two-choices"] < 1.25
    assert all(mean[policy] > 1.25 for policy in BASELINES), mean


@prop("steering.load_follows_requests")
@given(st.integers(1, 6))
def check_meter(in_flight):
    """A queue counts in part at once, and whole after a while."""
    meter = LoadMeter(now=0.0)
    meter.change(in_flight, 0.0)
    assert meter.load(2, 0.0) == in_flight / 4
    for tick in range(1, 40):
        load = meter.load(2, tick * 0.25)
    assert abs(load - in_flight / 2) < 0.05 * in_flight
