"""Properties of key replication: a released key becomes free at every agent."""

from __future__ import annotations

import attrs
from hypothesis import given
from hypothesis import strategies as st

from lentilcourse.agent.idempotency import KeyRecords
from lentilcourse.agent.key_history import HOLDER_GRACE_S, KeyVerdict
from lentilcourse.agent.key_replication import KeyReplication
from lentilcourse.buckets import bucket_of, build_table
from lentilcourse.model import State
from properties import prop
from properties.members import NAMES, change_state, join
from properties.requests import request

KEY = "key-1"


class Links:
    """Outgoing streams of one agent; the test decides when their messages are delivered."""

    def __init__(self, cluster, name):
        self.cluster = cluster
        self.name = name

    def send(self, name, msg):
        self.cluster.links.setdefault((self.name, name), []).append(msg)


class KeyCluster:
    """Agents of one service with key records, and the ordered streams between them."""

    def __init__(self):
        self.now = 100.0
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
        self.apply_table(frozenset(NAMES))
        self.deliver_all()

    def agent(self, name):
        return KeyReplication(
            name=name,
            agent_run="run-1",
            records=self.records[name],
            peers=Links(self, name),
            claim_timeout_s=0.0,
        )

    def apply_table(self, present):
        """Apply a table at all agents in which only the `present` targets accept new requests."""
        targets = {
            name: attrs.evolve(target, lost=name not in present)
            for name, target in self.members.items()
        }
        new = attrs.evolve(self.state, version=self.state.version + 1, targets=targets)
        old, self.state = self.state, new
        for each in self.agents.values():
            each.on_state(old, new, self.now)

    def home(self):
        return build_table(self.state, "board").home(bucket_of(KEY.encode()))

    def refuse_at_home(self):
        """Claim the key at its home and release it, as for a request refused as not run."""
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
            self.agents[receiver].on_message(msg, sender, self.now)

    def deliver_all(self):
        while any(self.links.values()):
            self.deliver(0)

    def deliver_among(self, names):
        """Deliver the messages between some agents, and lose those of all others."""
        for (sender, receiver), waiting in self.links.items():
            if not {sender, receiver} <= set(names):
                waiting.clear()
        self.deliver_all()

    def break_stream(self, number):
        """Drop the undelivered messages of one stream; its sender then sends all records again."""
        waiting = [link for link in sorted(self.links) if self.links[link]]
        if not waiting:
            return
        sender, receiver = waiting[number % len(waiting)]
        self.links[sender, receiver] = []
        agent = self.agents[sender]
        agent._transfer_records(receiver, build_table(State(), "board"), self.now)

    def ask_all_owners(self):
        """Let every agent that lacks the outcome of the key ask its owner."""
        for name in NAMES:
            record = self.records[name].find(1, KEY)
            if record and not record.ended.is_set():
                self.agents[name].ask_owner(request(KEY), record)
        self.deliver_all()

    def holders_without_outcome(self):
        """Return the agents that have a record of the key without an outcome."""
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


def run_plan(plan):
    """Return the cluster after a plan, with all messages delivered."""
    cluster = KeyCluster()
    for what, number, present in plan:
        if what == "refuse":
            cluster.refuse_at_home()
        elif what == "table":
            cluster.apply_table(present)
        elif what == "deliver":
            cluster.deliver(number)
        else:
            cluster.break_stream(number)
    cluster.deliver_all()
    return cluster


@prop("requests.released_key_is_not_echoed")
@given(steps)
def check_echo(plan):
    """No agent merges an older record from its peers for a request that it owns itself."""
    cluster = run_plan(plan)
    for name in cluster.holders_without_outcome():
        assert cluster.records[name].find(1, KEY).owner != cluster.agents[name].own_run


@prop("requests.owner_frees_a_released_key")
@given(steps)
def check_asked(plan):
    """An agent that waits for a request refused as not run learns so from the owner."""
    cluster = run_plan(plan)
    waiting = [cluster.records[name].find(1, KEY) for name in cluster.holders_without_outcome()]
    cluster.ask_all_owners()
    assert not cluster.holders_without_outcome()
    assert all(record.released and record.ended.is_set() for record in waiting)


@prop("requests.owner_tells_a_known_outcome")
def check_outcome():
    """The owner resends a lost outcome when asked, and a request still running stays so."""
    cluster = KeyCluster()
    home = cluster.home()
    record, _ = cluster.records[home].claim(request(KEY), cluster.agents[home].own_run)
    cluster.agents[home].claim(request(KEY), record)
    cluster.deliver_all()
    cluster.ask_all_owners()
    backups = cluster.holders_without_outcome() - {home}
    assert len(backups) == 1
    record.ended.set()
    cluster.ask_all_owners()
    assert not cluster.holders_without_outcome()
    (backup,) = backups
    assert not cluster.records[backup].find(1, KEY).released


orders = st.permutations(NAMES)


def use_key(cluster, key):
    """Run a request at its key's home; returns the claim, whose record is new if it may run."""
    home = build_table(cluster.state, "board").home(bucket_of(key.encode()))
    claim = cluster.agents[home].open_record(request(key), cluster.now)
    if claim.first:
        cluster.agents[home].claim(request(key), claim.record)
    return claim


def silence_all(cluster, order, delivered, gap_s):
    """Let all leases expire as when all connections go silent; agents return one at a time.

    `delivered` holds, for each return, whether the streams between agents work by then.
    """
    cluster.apply_table(frozenset())
    for count, works in enumerate(delivered, 1):
        cluster.now += gap_s
        cluster.apply_table(frozenset(order[:count]))
        if works:
            cluster.deliver_all()
    cluster.deliver_all()


@prop("requests.silent_agents_lose_no_key")
@given(orders, st.lists(st.booleans(), min_size=4, max_size=4), st.integers(1, 3))
def check_silence(order, delivered, silences):
    """Leases that expire while all agents live lose no key and run none again (fault soak).

    Agents of which only the connections had gone silent counted as lost with all their records:
    requests were refused `key-history-lost` for an hour.
    """
    cluster = KeyCluster()
    used = [f"used-{number}" for number in range(12)]
    assert all(use_key(cluster, key).first for key in used)
    cluster.deliver_all()
    for _ in range(silences):
        silence_all(cluster, order, delivered, HOLDER_GRACE_S / 5)
    fresh = [use_key(cluster, f"fresh-{number}") for number in range(12)]
    assert all(claim.verdict is KeyVerdict.NEW and claim.first for claim in fresh)
    assert not any(use_key(cluster, key).first for key in used)


@prop("requests.unfinished_transfer_is_not_trusted")
@given(orders)
def check_unfinished(order):
    """An agent that still waits for records does not make the next holder believe in its own."""
    cluster = KeyCluster()
    used = [f"used-{number}" for number in range(40)]
    assert all(use_key(cluster, key).first for key in used)
    cluster.deliver_all()
    cluster.apply_table(frozenset())
    for count in (1, 2, 3):
        present = order[:count]
        cluster.apply_table(frozenset(present))
        cluster.deliver_among(present)
        assert not any(use_key(cluster, key).first for key in used)


@prop("requests.silent_agents_are_waited_for")
@given(orders, st.floats(0.1, HOLDER_GRACE_S - 0.1))
def check_wait(order, silent_s):
    """While former holders are out of reach, their keys are neither refused for good nor run."""
    cluster = KeyCluster()
    cluster.deliver_all()
    cluster.apply_table(frozenset())
    cluster.apply_table(frozenset(order[:1]))
    cluster.links.clear()
    cluster.now += silent_s
    foreign = [f"key-{number}" for number in range(64)]
    verdicts = {use_key(cluster, key).verdict for key in foreign}
    assert verdicts == {KeyVerdict.NEW, KeyVerdict.WAIT}
    cluster.now += HOLDER_GRACE_S
    assert KeyVerdict.MAYBE_USED in {use_key(cluster, f"old-{key}").verdict for key in foreign}


@prop("requests.former_home_records_no_key")
@given(st.integers(0, 40))
def check_former_home(number):
    """A backup that knows of a newer home acknowledges no key to the former one."""
    key = f"key-{number}"
    cluster = KeyCluster()
    old = build_table(cluster.state, "board")
    home, backup = old.candidates[bucket_of(key.encode())][:2]
    claim = cluster.agents[home].open_record(request(key), cluster.now)
    stale = cluster.agents.pop(home)
    cluster.apply_table(frozenset(NAMES) - {home})
    cluster.agents[home] = stale
    cluster.links.clear()
    stale.claim(request(key), claim.record)
    cluster.deliver_all()
    assert cluster.records[backup].find(1, key) is None
    assert not cluster.links.get((backup, home))
