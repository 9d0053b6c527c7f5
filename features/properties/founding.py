"""Properties of bootstrapping: under partitions, seeds form at most one group."""

from __future__ import annotations

import random
import shutil
import tempfile
from pathlib import Path

from hypothesis import example, given, settings
from hypothesis import strategies as st

from lentilcourse.controller.formation import (
    Formation,
    FoundRequest,
    IdentifyRequest,
    JoinReply,
    JoinRequest,
)
from lentilcourse.controller.log_store import LogStore
from lentilcourse.controller.machine import CatalogueMachine
from lentilcourse.controller.progress import Role
from lentilcourse.controller.replica import Replica
from lentilcourse.errors import ChangeRefusedError, StreamClosedError
from lentilcourse.kernel.lifecycle import Lifecycle
from lentilcourse.messages.base import Done, Failure
from lentilcourse.options import Address, DiscoverySettings
from lentilcourse.streams import KIND_PROCESS, Identity
from properties import prop
from properties.formation import exchange_request

NAMES = ("a", "b", "c")
SEEDS = tuple(Address(host=f"10.0.0.{number}", port=1) for number in (1, 2, 3))
ELECTION_TIMEOUT_S = 0.6
RECOVERY_LIMIT_S = 10.0


class SimulatedFormation(Formation):
    """A formation that sends its requests through a simulated network."""

    def __init__(self, *, cluster, **settings):
        super().__init__(**settings)
        self._cluster = cluster

    def _send_request(self, address, msg):
        return self._cluster.call(self._address, address, msg)


class SeedCluster:
    """Three empty seeds and their simulated network; each link direction can be cut separately."""

    def __init__(self, root):
        self.now = 10.0
        self.root = root
        self.cut = set()
        self.faults = []
        self.wiped = False
        self.replicas = [None, None, None]
        self.formations = [None, None, None]
        for number in range(3):
            self.start(number, root / NAMES[number])

    def start(self, number, folder):
        """Start a seed on a data folder."""
        name, address = NAMES[number], SEEDS[number]
        replica = self.replicas[number] = Replica(
            store=LogStore(folder=folder, name=name),
            machine=CatalogueMachine(),
            election_timeout_s=ELECTION_TIMEOUT_S,
            snapshot_records=1000,
            group_commit=True,
            rng=random.Random(number),
            now=self.now,
        )
        self.formations[number] = SimulatedFormation(
            cluster=self,
            replica=replica,
            identity=Identity(name=name, kind=KIND_PROCESS, key=b"k"),
            address=address,
            discovery=DiscoverySettings(seeds=SEEDS, first_start=True, lost_at_once=1),
            seeds=lambda: SEEDS,
            lifecycle=Lifecycle(),
        )

    def wipe(self, number):
        """Restart a seed with an empty data folder; at most one restart per cluster."""
        if not self.wiped:
            self.wiped = True
            self.start(number, self.root / f"{NAMES[number]}-new")

    def call(self, sender, receiver, msg):
        """Deliver a request and return its reply; either is lost on a cut link or by a fault."""
        src, dst = SEEDS.index(sender), SEEDS.index(receiver)
        fault = self.faults.pop(0) if self.faults else ""
        if (src, dst) in self.cut or fault == "request":
            raise StreamClosedError("lost")
        reply = self.handle(self.formations[dst], self.replicas[dst], msg)
        if (dst, src) in self.cut or fault == "reply":
            raise StreamClosedError("lost")
        return reply

    def handle(self, formation, replica, msg):
        """Handle a request like a controller, but refuse joins, which other properties cover."""
        try:
            if isinstance(msg, IdentifyRequest):
                return formation.identify()
            if isinstance(msg, FoundRequest):
                replica.bootstrap(msg.membership)
                return Done()
            assert isinstance(msg, JoinRequest)
            return JoinReply(added=False, addresses=())
        except ChangeRefusedError as exc:
            return Failure(code=type(exc).__name__, text=str(exc))

    def form(self, number, faults=()):
        """Run one formation step of a seed; `faults` apply to its requests in order."""
        self.faults = list(faults)
        try:
            self.formations[number].step(self.now)
        except StreamClosedError:
            return
        finally:
            self.faults = []

    def exchange(self):
        """Advance time by 50 ms and exchange every due request between connected replicas."""
        self.now += 0.05
        for src, replica in enumerate(self.replicas):
            replica.tick(self.now)
            replica.write_proposals(self.now)
            for dst, other in enumerate(self.replicas):
                if src == dst or {(src, dst), (dst, src)} & self.cut:
                    continue
                req = replica.next_request(other.replica_id, self.now)
                if req is not None:
                    exchange_request(replica, other, req, self.now)

    def groups(self):
        """Return the distinct memberships that the seeds hold, each as a set of replica ids."""
        memberships = (replica.membership().members for replica in self.replicas)
        return {
            frozenset(each.replica_id for each in members) for members in memberships if members
        }


links = st.sampled_from([(src, dst) for src in range(3) for dst in range(3) if src != dst])
faults = st.lists(st.sampled_from(["", "", "", "request", "reply"]), max_size=5)
steps = st.lists(
    st.one_of(
        st.tuples(st.just("form"), st.tuples(st.sampled_from([0, 0, 1, 2]), faults)),
        st.tuples(st.just("wipe"), st.integers(0, 2)),
        st.tuples(st.just("exchange"), st.integers(1, 30)),
        st.tuples(st.just("cut"), st.frozensets(links, max_size=6)),
    ),
    min_size=6,
    max_size=25,
)
BOOTSTRAP_SEED_WIPED = [("form", (0, [])), ("wipe", 0), ("form", (0, []))]


@prop("formation.parted_seeds_found_one_group")
@settings(max_examples=200)
@example(BOOTSTRAP_SEED_WIPED)
@given(steps)
def check_founding(plan):
    """Partitions, lost messages and a wiped data folder never lead to more than one group.

    After recovery all seeds belong to it, unless one was wiped: joins are refused here, so a
    wiped seed is not added again.
    """
    root = Path(tempfile.mkdtemp(prefix="lentilcourse-"))
    try:
        cluster = SeedCluster(root)
        for action, value in plan:
            if action == "form":
                cluster.form(*value)
            elif action == "wipe":
                cluster.wipe(value)
            elif action == "cut":
                cluster.cut = set(value)
            else:
                for _ in range(value):
                    cluster.exchange()
            assert len(cluster.groups()) <= 1
        check_recovery(cluster)
    finally:
        shutil.rmtree(root)


def check_recovery(cluster):
    """Restore all links and check for one group, complete and led unless a seed was wiped."""
    cluster.cut = set()
    deadline = cluster.now + RECOVERY_LIMIT_S
    while cluster.now < deadline and not is_complete(cluster):
        for number in range(3):
            cluster.form(number)
        for _ in range(4):
            cluster.exchange()
        assert len(cluster.groups()) <= 1
    assert cluster.wiped or is_complete(cluster), [
        replica.membership() for replica in cluster.replicas
    ]


def is_complete(cluster):
    """Return whether all seeds hold the same group of three voters and one of them leads it."""
    leaders = [each for each in cluster.replicas if each.role is Role.LEADER]
    memberships_complete = all(len(each.membership().voters()) == 3 for each in cluster.replicas)
    return memberships_complete and len(leaders) == 1 and len(cluster.groups()) == 1
