"""In-memory simulation of balancers, agents and targets, connected by a queue of datagrams.

Targets behave as the platform specifies: they accept flows, hold them, and return packets of
flows that they do not hold.
"""

from __future__ import annotations

import random
import struct
from collections import Counter, deque

import attrs

from lentilcourse.catalogue import Catalogue, PublishedEntry, ServicePolicy, WeightedService
from lentilcourse.directory import STATE_IDLE, STATE_SERVING, AgentNotice, AgentRecord, Directory
from lentilcourse.model import RegisteredAgent, State
from lentilcourse.options import Address
from lentilcourse.platform.packets import (
    FLAG_ACK,
    FLAG_BOUNCED,
    FLAG_RST,
    FLAG_SYN,
    PlatformPackets,
)
from lentilcourse.steering.admission import AgentLimits
from lentilcourse.steering.agent_flows import AgentFlows, AgentOutputs
from lentilcourse.steering.agent_role import HANDOVER_TIMEOUT_S
from lentilcourse.steering.balancer_flows import BalancerFlows
from lentilcourse.steering.datagrams import Kind, decode_kind, pack_address
from lentilcourse.steering.handover import RESEND_INTERVAL_S
from lentilcourse.steering.owner_searches import FIRST_ROUND_INTERVAL_S, ROUND_INTERVAL_S
from lentilcourse.steering.peers import Peers
from lentilcourse.steering.placement_policies import PLACEMENT_POLICIES
from lentilcourse.steering.target_watch import TargetReport, TargetWatch, Verdict
from lentilcourse.subscription import StateCopy

HEAD = struct.Struct(">IIIB3xHI6s6s")
ENTRY = Address(host="198.18.0.1", port=443)
CALLER_PORT = 9000
FLOW_LIFE_S = 60.0
STEP_S = 0.001


def packet(caller, flags, data=b"", ack=0, entry=ENTRY):
    """Return a packet from a caller (packed address, 6 bytes) to an entry."""
    head = HEAD.pack(7, 1, ack, flags, len(data), 0, caller, pack_address(entry))
    return head + data


def caller(number):
    """Return the packed address of a caller."""
    return bytes((100, 64, number >> 8, number & 255)) + (40_000).to_bytes(2, "big")


def catalogue(number=1, service="board", cold_rate=0.0):
    """Return a catalogue with one entry."""
    entry = PublishedEntry(
        name="price-board",
        address=ENTRY,
        services=(WeightedService(service=service, weight=1),),
        rank=0,
        repeatable=True,
    )
    policy = ServicePolicy(name=service, connections=2000, cold_start_s=2.0, cold_rate=cold_rate)
    return Catalogue(number=number, document=b"{}", entries=(entry,), services=(policy,))


@attrs.define(kw_only=True)
class FakeTarget:
    """A simulated target.

    Attributes:
        agent: name of its agent.
        resets: whether it answers packets of unknown flows with a reset instead of returning them.
        full: whether it returns opening packets.
        flows: flows that it holds.
        received: all packets that it received.
        misdelivered: flows of received packets that it does not hold.
    """

    agent: str
    resets: bool = False
    full: bool = False
    flows: set = attrs.field(factory=set)
    received: list = attrs.field(factory=list)
    misdelivered: list = attrs.field(factory=list)


class SteeringWorld:
    """Simulated system; agents are named "a1", "a2" etc., balancers "b1", "b2" etc."""

    def __init__(self, agents=3, balancers=2, seed=1, service="board", cold_rate=0.0, domains=3):
        self.now = 100.0
        self.delivery_s = STEP_S / 10
        self.format = PlatformPackets()
        self.rng = random.Random(seed)
        self.queue = deque()
        self.to_callers = []
        self.down = set()
        self.state = State(version=1, catalogue=catalogue(service=service, cold_rate=cold_rate))
        self.agents = {}
        self.balancers = {}
        self.targets = {}
        self.watches = {}
        self.directories = {}
        self.copies = {}
        self.sequences = Counter()
        self.records = {}
        for number in range(1, agents + 1):
            name = f"a{number}"
            self.records[name] = AgentRecord(
                name=name,
                address=Address(host=f"10.0.0.{number}", port=1),
                service=service,
                domain=f"d{number % domains}",
                state=STATE_SERVING,
                slots=1,
                takes_passed=True,
            )
            self.targets[name] = FakeTarget(agent=name)
            self.start_agent(name)
        for number in range(1, balancers + 1):
            self.start_balancer(f"b{number}")
        self.register(*self.records)
        self.advance_time(2.0)

    # Processes.

    def start_agent(self, name, announced=True):
        """Start an agent without records; its target announces itself, now or later."""
        self.watches[name] = TargetWatch(
            address=Address(host="10.0.0.9", port=2), announcement_life_s=1e9
        )
        limits = AgentLimits(
            cold_overrun=1.5,
            cold_slack=5,
            flow_life_s=FLOW_LIFE_S,
            domain=self.records[name].domain,
            own_address=self.records[name].address.pair(),
            target_address=("target", 0),
            caller_port=CALLER_PORT,
        )
        outputs = AgentOutputs(
            to_peer=self._send_to_peer,
            to_endpoint=lambda raw, to: self._send_to_endpoint(name, raw, to),
        )
        self.agents[name] = AgentFlows(
            packet_format=self.format,
            watch=self.watches[name],
            peers=self._new_peers(name),
            state=lambda: self.state,
            limits=limits,
            outputs=outputs,
            started_ms=int(self.now * 1000),
            now=self.now,
        )
        if announced:
            self.announce(name)
        self.play_recall(name)

    def add_agent(self, name, service="board"):
        """Start an agent with a target; all processes get to know it."""
        self.records[name] = attrs.evolve(
            self.records["a1"],
            name=name,
            address=Address(host=f"10.0.0.{name[1:]}", port=1),
            service=service,
        )
        self.targets[name] = FakeTarget(agent=name)
        self.start_agent(name)
        for known in self.directories:
            self.refresh_directory(known)

    def add_idle_agent(self, name):
        """Start an agent without a target; packets that it delivers are lost."""
        self.records[name] = attrs.evolve(
            self.records["a1"],
            name=name,
            address=Address(host=f"10.0.0.{name[1:]}", port=1),
            state=STATE_IDLE,
            service="",
        )
        self.targets[name] = None
        self.start_agent(name)
        self.watches[name].report = None
        self.watches[name].run = 0
        for known in self.directories:
            self.refresh_directory(known)

    def start_balancer(self, name, domain="d0"):
        """Start a balancer without hints."""
        self.balancers[name] = BalancerFlows(
            packet_format=self.format,
            placement=PLACEMENT_POLICIES.get("two-choices"),
            peers=self._new_peers(name),
            state=lambda: self.state,
            own_address=(f"10.1.0.{name[1:]}", 1),
            domain=domain,
            to_peer=lambda flow, datagram, to: self._send_from_balancer(name, flow, datagram, to),
            to_caller=lambda raw, to: self.to_callers.append(raw),
            caller_port=CALLER_PORT,
            rng=self.rng,
        )

    def restart_target(self, name):
        """Restart a target: it loses its flows and starts a new run."""
        self.targets[name].flows.clear()
        self.announce(name, born=int(self.now * 1000))

    def register(self, *names):
        """Register agents in the replicated state."""
        agents = {name: RegisteredAgent(name=name, version=1) for name in names}
        self.state = attrs.evolve(self.state, version=self.state.version + 1, agents=agents)
        for copy in self.copies.values():
            copy.current = self.state

    def announce(self, name, born=1, draining=False, cold_s=0.0):
        """Send an announcement of a target to its agent."""
        self.sequences[name, born] += 1
        report = TargetReport(
            target_id=name,
            born_ms=born,
            sequence=self.sequences[name, born],
            service=self.records[name].service,
            address=Address(host="10.0.0.9", port=2),
            slots=1,
            draining=draining,
            cold_s=cold_s,
        )
        verdict = self.watches[name].record_announcement(report, self.now)
        if verdict is Verdict.NEW_RUN:
            self.agents[name].on_new_run(self.now)
        return verdict

    def _new_peers(self, name):
        directory = self.directories[name] = Directory()
        copy = self.copies[name] = StateCopy()
        copy.current = self.state
        self.refresh_directory(name)
        return Peers(directory=directory, copy=copy)

    def refresh_directory(self, name):
        """Offer the records of all running agents to a process."""
        up = [record for key, record in self.records.items() if key not in self.down]
        notices = tuple(AgentNotice(record=record) for record in up)
        self.directories[name].offer(notices, self.now)

    # Packets.

    def send(self, balancer, raw):
        """Send a caller's packet to a balancer and deliver all resulting datagrams."""
        self.now += STEP_S
        self.balancers[balancer].on_caller(raw, self.now)
        self.deliver_all()

    def open_flow(self, number, balancer="b1"):
        """Open a flow; returns the target that holds it, None if it was refused."""
        who = caller(number)
        self.send(balancer, packet(who, FLAG_SYN))
        return self.holder(number)

    def send_data(self, number, balancer="b1"):
        """Send data on a flow."""
        self.send(balancer, packet(caller(number), FLAG_ACK, b"GET", ack=5))

    def holder(self, number):
        """Return the target that holds a flow."""
        flow = caller(number) + pack_address(ENTRY)
        return next(
            (each for each in self.targets.values() if each is not None and flow in each.flows),
            None,
        )

    def resets(self):
        """Return the resets that callers received, and clear the received packets."""
        found = [raw for raw in self.to_callers if raw[12] & FLAG_RST]
        self.to_callers.clear()
        return found

    def advance_time(self, seconds):
        """Advance the time and refresh the directories every second."""
        for _ in range(max(1, int(seconds))):
            self.now += min(1.0, seconds)
            for name in self.directories:
                self.refresh_directory(name)

    def deliver_all(self):
        """Deliver all datagrams in flight, and run the searches that wait for their round."""
        while True:
            while self.queue:
                datagram, to = self.queue.popleft()
                self._deliver(datagram, to)
            waiting = [
                agent
                for name, agent in self.agents.items()
                if name not in self.down and agent.wait_for_search(0.0)
            ]
            if not waiting:
                return
            self.now += FIRST_ROUND_INTERVAL_S
            for agent in waiting:
                agent.search_owners(self.now)

    def play_round(self):
        """Let the time of a round of searches pass, and each agent run its own."""
        self.now += ROUND_INTERVAL_S + STEP_S
        for name, agent in self.agents.items():
            if name not in self.down:
                agent.search_owners(self.now)
        self.deliver_all()

    def play_recall(self, name):
        """Let a started agent ask for the flows of its process before, until it stops asking."""
        while self.agents[name].recall_flows(self.now):
            self.deliver_all()
            self.now += RESEND_INTERVAL_S

    def stop_agent(self, name):
        """Stop an agent as planned: it hands its flows over, then it is down."""
        self.agents[name].hand_over(int(self.now * 1000), self.now)
        self.deliver_all()
        deadline = self.now + HANDOVER_TIMEOUT_S
        while not self.agents[name].continue_hand_over(self.now) and self.now < deadline:
            self.now += RESEND_INTERVAL_S
            self.deliver_all()
        self.down.add(name)

    def resume_agent(self, name, announced=True):
        """Start the process that follows a stopped agent."""
        self.now += 0.5
        self.down.discard(name)
        self.start_agent(name, announced)
        for known in self.directories:
            self.refresh_directory(known)

    def _deliver(self, datagram, to):
        self.now += self.delivery_s
        if to[0].startswith("target-"):
            name = to[0].removeprefix("target-")
            if name not in self.down:
                self.agents[name].on_target(datagram, self.now)
            return
        if to[0].startswith("10.1."):
            name = f"b{to[0].rsplit('.', 1)[1]}"
            if decode_kind(datagram) in (Kind.OWNER, Kind.LOAD, Kind.DENIAL):
                self.balancers[name].on_notice(datagram, self.now)
            return
        name = f"a{to[0].rsplit('.', 1)[1]}"
        if name in self.agents and name not in self.down:
            self.agents[name].on_peer(datagram, self.now)

    def _send_from_balancer(self, name, flow, datagram, to):
        self._send_to_peer(datagram, to)

    def _send_to_peer(self, datagram, to):
        self.queue.append((datagram, to))

    def _send_to_endpoint(self, name, raw, to):
        if to == ("target", 0):
            self._deliver_to_target(name, raw)
        else:
            self.to_callers.append(raw)

    def _deliver_to_target(self, name, raw):
        target = self.targets[name]
        if target is None:
            return
        flow = raw[22:34]
        flags = raw[12]
        target.received.append(raw)
        if flags & FLAG_SYN and target.full:
            self._return(name, raw)
        elif flags & FLAG_SYN:
            target.flows.add(flow)
            self._answer(name, flow, FLAG_SYN | FLAG_ACK, b"")
        elif flow in target.flows:
            self._answer(name, flow, FLAG_ACK, b"OK")
        elif target.resets:
            target.misdelivered.append(flow)
            self._answer(name, flow, FLAG_RST | FLAG_ACK, b"")
        else:
            target.misdelivered.append(flow)
            self._return(name, raw)

    def _return(self, name, raw):
        returned = raw[:12] + bytes((raw[12] | FLAG_BOUNCED,)) + raw[13:]
        self.queue.append((returned, (f"target-{name}", 0)))

    def _answer(self, name, flow, flags, data):
        head = HEAD.pack(7, 1, 1, flags, len(data), 0, flow[6:], flow[:6])
        self.queue.append((head + data, (f"target-{name}", 0)))
