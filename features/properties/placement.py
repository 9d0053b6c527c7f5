"""Properties of placement: selection of agents for new flows, and load tracking."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from lentilcourse.steering.load_meter import LoadMeter
from lentilcourse.steering.peers import Peer
from lentilcourse.steering.placement import (
    AVOIDANCE_PERIOD_S,
    OFFER_ANSWER_TIMEOUT_S,
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
    """An agent that does not answer offers is avoided for a while, then offered flows again."""
    loads, peers = AgentLoads(), (peer(1), peer(2))
    loads.record_report(peers[1].address, 0.9, 0.0)
    loads.record_offer(peers[0].address, 0.0)
    later = OFFER_ANSWER_TIMEOUT_S + 0.1
    assert usable_peers(peers, loads, later) == peers[1:]
    loads.record_report(peers[0].address, 0.0, later + 0.1)
    loads.record_report(peers[1].address, 0.0, later + 0.1)
    assert usable_peers(peers, loads, later + 0.2) == peers
    loads.record_offer(peers[0].address, later + 1.0)
    again = later + 1.0 + OFFER_ANSWER_TIMEOUT_S + AVOIDANCE_PERIOD_S + 0.2
    loads.is_avoided(peers[0].address, later + 1.1 + OFFER_ANSWER_TIMEOUT_S)
    assert not loads.is_avoided(peers[0].address, again)


@prop("steering.all_avoided_are_used")
def check_all_avoided():
    """If all agents are avoided, all of them may be offered flows."""
    loads, peers = AgentLoads(), (peer(1), peer(2))
    for each in peers:
        loads.record_offer(each.address, 0.0)
    assert usable_peers(peers, loads, OFFER_ANSWER_TIMEOUT_S + 0.1) == peers


@prop("steering.same_flow_same_agent_by_hash")
@given(st.binary(min_size=1, max_size=12), st.permutations(range(5)), st.integers(0, 4))
def check_rendezvous(flow, order, left):
    """Rendezvous hashing ignores agent order; removing an agent moves only its own flows."""
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
    """Return the ratio of maximum to mean load for long flows on targets of unequal speed.

    All flows cause the same work; the load of a target is its number of flows over its speed.
    """
    rng = random.Random(seed)
    peers = tuple(peer(number) for number in range(len(speeds)))
    flows = [0] * len(speeds)
    loads = AgentLoads()
    for number in range(140):
        now = number * 0.05
        if number % 5 == 0:
            for index, each in enumerate(peers):
                loads.record_report(each.address, 0.04 * flows[index] / speeds[index], now)
        flow = f"{seed}/{number}".encode()
        chosen = PLACEMENT_POLICIES.get(policy)(offer(flow, peers, loads, rng), now)
        flows[peers.index(chosen)] += 1
        loads.record_offer(chosen.address, now)
    busy = [count / speed for count, speed in zip(flows, speeds, strict=True)]
    return max(busy) / (sum(busy) / len(busy))


@prop("steering.long_flows_on_unequal_targets")
def check_imbalance():
    """Long flows are balanced by load: the maximum load of unequal targets is closer to the mean.

    This is compared with two baselines that ignore load.
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
    """A new queue counts partly at once and fully after a while."""
    meter = LoadMeter(now=0.0)
    meter.change(in_flight, 0.0)
    assert meter.load(2, 0.0) == in_flight / 4
    for tick in range(1, 40):
        load = meter.load(2, tick * 0.25)
    assert abs(load - in_flight / 2) < 0.05 * in_flight
