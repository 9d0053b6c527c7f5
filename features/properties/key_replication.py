"""Properties of recorded keys between agents: what is released is free everywhere again."""

from __future__ import annotations

import attrs
from hypothesis import given
from hypothesis import strategies as st

from lentilcourse.agent.idempotency import KeyRecords
from lentilcourse.agent.key_replication import KeyReplication
from lentilcourse.buckets import bucket_of, build_table
from lentilcourse.model import State
from properties import prop
from properties.members import NAMES, change_state, join
from properties.requests import request

KEY = "key-1"


class Links:
    """The outgoing streams of one agent; the test decides when messages arrive."""

    def __init__(self, world, name):
        self.world = world
        self.name = name

    def send(self, name, msg):
        self.world.links.setdefault((self.name, name), []).append(msg)


class KeyWorld:
    """Agents of one service that hold keys, and the ordered streams between them."""

    def __init__(self):
        self.links = {}
        self.records = {name: KeyRecords() for name in NAMES}
        self.agents = {name: self.agent(name) for name in NAMES}
        self.runs = set()
        self.state = State()
        members = State()
        for name in NAMES:
            members = change_state(members, join(name))
        self.members = {
            name: attrs.evolve(target, agent_run="run-1")
            for name, target in members.targets.items()
        }
        self.put_in_force(frozenset(NAMES))
        self.deliver_all()

    def agent(self, name):
        return KeyReplication(
            name=name,
            agent_run="run-1",
            records=self.records[name],
            peers=Links(self, name),
            claim_timeout_s=0.0,
        )

    def put_in_force(self, present):
        """Let all agents learn a table in which only some targets take new work."""
        targets = {
            name: attrs.evolve(target, lost=name not in present)
            for name, target in self.members.items()
        }
        new = attrs.evolve(self.state, version=self.state.version + 1, targets=targets)
        old, self.state = self.state, new
        for each in self.agents.values():
            each.on_state(old, new)

    def home(self):
        return build_table(self.state, "board").home(bucket_of(KEY.encode()))

    def refuse_at_home(self):
        """Claim the key at its home and free it, since the request is refused as not run."""
        home = self.home()
        record, first = self.records[home].claim(request(KEY), self.agents[home].own_run)
        if not first:
            return
        self.agents[home].claim(request(KEY), record)
        self.records[home].release(request(KEY), record)
        self.agents[home].release(request(KEY))

    def deliver(self, number):
        """Deliver the oldest message of one stream."""
        waiting = [link for link in sorted(self.links) if self.links[link]]
        if waiting:
            sender, receiver = waiting[number % len(waiting)]
            msg = self.links[sender, receiver].pop(0)
            self.agents[receiver].on_message(msg, sender)

    def deliver_all(self):
        while any(self.links.values()):
            self.deliver(0)

    def break_stream(self, number):
        """Lose what one stream still carries; its sender greets the receiver anew."""
        waiting = [link for link in sorted(self.links) if self.links[link]]
        if not waiting:
            return
        sender, receiver = waiting[number % len(waiting)]
        self.links[sender, receiver] = []
        agent = self.agents[sender]
        for state in agent._states_for(receiver, build_table(State(), "board")):
            agent._peers.send(receiver, state)

    def ask_all_owners(self):
        """Let every agent that has no outcome of the key ask for it."""
        for name in NAMES:
            record = self.records[name].find(1, KEY)
            if record and not record.ended.is_set():
                self.agents[name].ask_owner(request(KEY), record)
        self.deliver_all()

    def unknown(self):
        """Return who holds the key without an outcome."""
        records = {name: self.records[name].find(1, KEY) for name in NAMES}
        return {name for name, each in records.items() if each and not each.ended.is_set()}


steps = st.lists(
    st.tuples(
        st.sampled_from(["refuse", "table", "deliver", "break"]),
        st.integers(0, 11),
        st.frozensets(st.sampled_from(NAMES), min_size=1),
    ),
    max_size=40,
)


def play(plan):
    """Return the world after a plan, with all messages delivered."""
    world = KeyWorld()
    for what, number, present in plan:
        if what == "refuse":
            world.refuse_at_home()
        elif what == "table":
            world.put_in_force(present)
        elif what == "deliver":
            world.deliver(number)
        else:
            world.break_stream(number)
    world.deliver_all()
    return world


@prop("requests.released_key_is_not_echoed")
@given(steps)
def check_echo(plan):
    """No agent takes an older word of its peers for a request that it runs itself."""
    world = play(plan)
    for name in world.unknown():
        assert world.records[name].find(1, KEY).owner != world.agents[name].own_run


@prop("requests.owner_frees_a_released_key")
@given(steps)
def check_asked(plan):
    """Whoever waits for a request that was refused as not run learns so from its owner."""
    world = play(plan)
    waiting = [world.records[name].find(1, KEY) for name in world.unknown()]
    world.ask_all_owners()
    assert not world.unknown()
    assert all(record.released and record.ended.is_set() for record in waiting)


@prop("requests.owner_tells_a_known_outcome")
def check_outcome():
    """An outcome that was lost on its way is told on asking, and a running request stays so."""
    world = KeyWorld()
    home = world.home()
    record, _ = world.records[home].claim(request(KEY), world.agents[home].own_run)
    world.agents[home].claim(request(KEY), record)
    world.deliver_all()
    world.ask_all_owners()
    backups = world.unknown() - {home}
    assert len(backups) == 1
    record.ended.set()
    world.ask_all_owners()
    assert not world.unknown()
    (backup,) = backups
    assert not world.records[backup].find(1, KEY).released
