"""Properties of requests: slots, retries, idempotency keys and key history."""

from __future__ import annotations

import threading
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

from lentilcourse.actions import SetDomain
from lentilcourse.agent.cold_detection import ColdDetector
from lentilcourse.agent.idempotency import KeyRecord, KeyRecords, fingerprint
from lentilcourse.agent.key_history import (
    CLOCK_MARGIN_MS,
    KEY_LIFE_S,
    Confirmation,
    KeyHistory,
    KeyVerdict,
    ServiceView,
    key_time_ms,
    run_name,
)
from lentilcourse.agent.request_plane import RequestPlane
from lentilcourse.agent.slots import QUEUE_PER_SLOT, SlotQueue
from lentilcourse.agent.target import TargetHealth
from lentilcourse.balancer.request_path import (
    RequestRefusedError,
    final_refusal,
    find_entry,
    may_repeat,
    read_work,
)
from lentilcourse.balancer.retry_budget import MAX_SAVED_RETRIES, RETRY_SHARE, RetryBudget
from lentilcourse.buckets import BUCKETS, bucket_of, rendezvous_table
from lentilcourse.http_server import HttpRequest
from lentilcourse.kernel.lifecycle import Lifecycle
from lentilcourse.lab.cluster import wait_until
from lentilcourse.messages.base import Header
from lentilcourse.messages.requests import KeyState, Refusal, RequestStart
from lentilcourse.model import Protocol, State
from lentilcourse.options import Address
from lentilcourse.refusals import Cause, RefusalCounts, http_body, http_status, system_refusal
from lentilcourse.subscription import StateCopy
from properties import prop
from properties.members import ENTRY, change_state, join

NAMES = ("a", "b", "c", "d")


refusals = st.builds(
    Refusal,
    refusal_id=st.just("r"),
    reason=st.sampled_from(("owner-limit", "system")),
    ran=st.sampled_from(("no", "unknown")),
    entry=st.just("orders"),
    cause=st.sampled_from([cause.value for cause in Cause]),
)


@prop("requests.retry_only_when_safe")
@given(refusals, st.booleans(), st.booleans())
def check_retry(refusal, repeatable, keyed):
    """A request that may have run is retried only if it is repeatable or has an idempotency key."""
    if may_repeat(repeatable, keyed, refusal):
        assert refusal.reason == "system"
        assert refusal.ran == "no" or repeatable or keyed


@prop("requests.final_refusal_is_honest")
@given(st.lists(refusals, min_size=1, max_size=6))
def check_final(attempts):
    """One unknown attempt makes the final outcome unknown; a system refusal is not hidden."""
    final = final_refusal(attempts, "orders")
    system = [each for each in attempts if each.reason == "system"]
    assert (final.reason == "owner-limit") == (not system)
    if any(each.ran == "unknown" for each in system):
        assert final.ran == "unknown"
    assert final in attempts


@prop("requests.budget_bounds_retries")
@given(st.integers(0, 500))
def check_budget(requests):
    """Retries stay within a tenth of the requests, plus the bounded saved budget."""
    budget = RetryBudget()
    retries = 0
    for _ in range(requests):
        budget.add_request()
        retries += budget.take()
    assert retries <= MAX_SAVED_RETRIES + RETRY_SHARE * requests + 1


@prop("requests.foreign_headers")
@given(
    st.lists(
        st.tuples(
            st.sampled_from((b"host", b"idempotency-key", b"request-timeout-ms", b"x")),
            st.binary(max_size=150),
        ),
        max_size=5,
    )
)
def check_headers(fields):
    """Any header fields without a known entry give a refusal as not run, with a valid response."""
    req = HttpRequest(
        method=b"POST",
        target=b"/",
        headers=tuple(Header(name=name, value=value) for name, value in fields),
        body=b"",
    )
    try:
        read_work(req, State(version=1), 0.0)
    except RequestRefusedError as exc:
        assert exc.refusal.ran == "no"
        assert http_status(exc.refusal) in (400, 404)
        assert http_body(exc.refusal)
    else:
        raise AssertionError("request accepted without an entry")


@prop("requests.every_cause_has_a_status")
@given(st.sampled_from(Cause), st.sampled_from(("no", "unknown")))
def check_status(cause, ran):
    """Each cause maps to an HTTP client or server error."""
    assert 400 <= http_status(system_refusal(cause, ran, "orders")) < 600


@prop("requests.no_state_is_not_unknown")
@given(st.sampled_from((b"orders", b"10.77.0.1:80", b"")), st.integers(0, 3))
def check_no_state(host, version):
    """A balancer without a state refuses with no-state, never with unknown-entry."""
    headers = (Header(name=b"host", value=host),)
    req = HttpRequest(method=b"GET", target=b"/", headers=headers, body=b"")
    try:
        find_entry(req, State(version=version))
    except RequestRefusedError as exc:
        refusal = exc.refusal
    cause = Cause.NO_STATE if version == 0 else Cause.UNKNOWN_ENTRY
    assert refusal.cause == cause.value and refusal.ran == "no"
    assert http_status(refusal) == (503 if version == 0 else 404)


@prop("requests.slots_never_exceeded")
@settings(max_examples=15)
@given(
    st.integers(1, 3),
    st.lists(st.tuples(st.integers(0, 2), st.integers(0, 4)), min_size=1, max_size=20),
)
def check_slots(limit, jobs):
    """Concurrent requests never exceed the slots, and every acquire call returns."""
    slots = SlotQueue(limit=limit)
    lock = threading.Lock()
    running, most, answers = [0], [0], []

    def run(rank, wait):
        cause = slots.acquire(rank, time.monotonic() + 5.0, lambda: False)
        if cause is not None:
            answers.append(cause)
            return
        with lock:
            running[0] += 1
            most[0] = max(most[0], running[0])
        time.sleep(wait / 1000)
        with lock:
            running[0] -= 1
        slots.release()
        answers.append(None)

    with ThreadPoolExecutor(max_workers=20) as pool:
        for rank, wait in jobs:
            pool.submit(run, rank, wait)
    assert len(answers) == len(jobs)
    assert most[0] <= limit
    assert slots.in_use == 0 and slots.waiting == 0
    assert set(answers) <= {None, Cause.TARGET_FULL, Cause.DISPLACED}


@prop("requests.class_ranks_the_queue")
@given(st.lists(st.integers(0, 2), min_size=2, max_size=QUEUE_PER_SLOT))
def check_ranks(ranks):
    """Waiters are served by class, then by arrival."""
    slots = SlotQueue(limit=1)
    assert slots.acquire(0, time.monotonic() + 1, lambda: False) is None
    served = []
    with ThreadPoolExecutor(max_workers=8) as pool:
        for number, rank in enumerate(ranks):
            pool.submit(wait_for_slot, slots, rank, number, served)
            while slots.waiting <= number:
                time.sleep(0.0002)
        slots.release()
    assert served == sorted(served), (ranks, served)


def wait_for_slot(slots, rank, number, served):
    """Acquire a slot with a class rank and record the order of service."""
    assert slots.acquire(rank, time.monotonic() + 5, lambda: False) is None
    served.append((rank, number))
    slots.release()


@prop("requests.higher_class_displaces")
@given(st.integers(1, 2))
def check_displaced(lower):
    """In a full queue, a higher class displaces the newest waiter of the lowest class."""
    slots = SlotQueue(limit=1)
    assert slots.acquire(0, time.monotonic() + 1, lambda: False) is None
    answers = []

    def wait(rank):
        answers.append((rank, slots.acquire(rank, time.monotonic() + 5, lambda: False)))
        if answers[-1][1] is None:
            slots.release()

    with ThreadPoolExecutor(max_workers=8) as pool:
        for count in range(QUEUE_PER_SLOT):
            pool.submit(wait, lower)
            while slots.waiting <= count:
                time.sleep(0.0002)
        assert slots.acquire(lower, time.monotonic() + 5, lambda: False) is Cause.TARGET_FULL
        pool.submit(wait, 0)
        while not answers:
            time.sleep(0.0002)
        slots.release()
    assert answers[0] == (lower, Cause.DISPLACED)
    assert answers[1] == (0, None)


class KeyCluster(RuleBasedStateMachine):
    """Four agents that hold keys by a changing bucket table; agents crash and lose records."""

    def __init__(self):
        super().__init__()
        self.wall_ms = 1_000_000_000_000
        self.members = list(NAMES)
        self.dead = set()
        self.silent = set()
        self.version = 0
        self.runs = {}
        self.keys = []
        self.starts = dict.fromkeys(NAMES, 1)
        self.records = {name: KeyRecords() for name in NAMES}
        self.history = {name: self.new_history(name) for name in NAMES}
        self.previous_members = {}
        self.apply_table(first=True)

    @property
    def now(self):
        return self.wall_ms / 1000

    def run_of(self, name):
        return run_name(name, str(self.starts[name]))

    def new_history(self, name):
        return KeyHistory(name=name, run=self.run_of(name))

    def table(self):
        lost = self.dead | self.silent
        alive = [name for name in self.members if name not in lost]
        return rendezvous_table("s", tuple(alive or self.members))

    def apply_table(self, first=False):
        """Apply the table at all live agents, then transfer and confirm records between them."""
        table = self.table()
        self.version += 1
        for name in self.members:
            if name not in self.dead:
                view = ServiceView(
                    version=self.version,
                    table=table,
                    runs={each: self.run_of(each) for each in self.members if each != name},
                    lost=frozenset(self.dead | self.silent),
                )
                self.history[name].on_view(
                    view,
                    restarted=not first and name not in self.previous_members,
                    versions_skipped=False,
                    now=self.now,
                    wall_ms=self.wall_ms,
                )
        told = {name: self.confirmation(name) for name in self.members}
        for name in self.members:
            for peer in self.members:
                if name != peer and not {name, peer} & (self.dead | self.silent):
                    self.hand_over(name, peer, table, told[name])
        self.previous_members = {name: True for name in self.members if name not in self.dead}

    def confirmation(self, name):
        history = self.history[name]
        partial = {each.bucket: each for each in history.partial(self.now)}
        return Confirmation(
            version=self.version, partial=partial, lost_ms=history.lost_ms(self.now)
        )

    def hand_over(self, name, peer, table, confirmation):
        for (entry_id, key), record in self.records[name].items():
            if peer in table.candidates[bucket_of(key.encode())][:2]:
                self.records[peer].merge(key_state(entry_id, key, record))
        self.history[peer].confirm(self.run_of(name), confirmation, self.now, self.wall_ms)

    @rule(fresh=st.booleans(), index=st.integers(0, 20), ordered=st.booleans())
    def send(self, fresh, index, ordered):
        """Send a request with a new key, or an old key again, to the key's home."""
        self.wall_ms += 5_000
        if fresh or not self.keys:
            raw = (self.wall_ms << 80) | (7 << 76) | (2 << 62) | len(self.keys)
            number = uuid.UUID(int=raw) if ordered else f"key-{len(self.keys)}"
            self.keys.append(str(number))
        key = self.keys[-1] if fresh else self.keys[index % len(self.keys)]
        table = self.table()
        bucket = bucket_of(key.encode())
        home = table.home(bucket)
        if home is None:
            return
        req = request(key)
        if self.records[home].find(req.entry_id, key) is not None:
            return
        if home in self.dead | self.silent:
            return
        verdict = self.history[home].judge(bucket, key, self.now, self.wall_ms)
        if verdict is not KeyVerdict.NEW:
            return
        record, first = self.records[home].claim(req, home)
        assert first
        for backup in table.candidates[bucket][1:2]:
            self.records[backup].merge(key_state(1, key, record))
        self.runs[key] = self.runs.get(key, 0) + 1
        assert self.runs[key] == 1, key

    def assert_all_certain(self):
        """Check that each home treats a key without a record as new."""
        table = self.table()
        for bucket in range(BUCKETS):
            home = table.home(bucket)
            verdict = self.history[home].judge(bucket, "fresh", self.now, self.wall_ms)
            assert verdict is KeyVerdict.NEW, (bucket, home, verdict)

    @rule(name=st.sampled_from(NAMES))
    def die(self, name):
        """Kill an agent, which loses its records."""
        if name not in self.dead:
            self.wall_ms += 5_000
            self.dead.add(name)
            self.records[name] = KeyRecords()
            self.previous_members.pop(name, None)
            self.apply_table()

    @rule(first=st.sampled_from(NAMES), second=st.sampled_from(NAMES))
    def die_together(self, first, second):
        """Kill two agents before the table changes."""
        self.wall_ms += 5_000
        for name in {first, second} - self.dead:
            self.dead.add(name)
            self.records[name] = KeyRecords()
            self.previous_members.pop(name, None)
        self.apply_table()

    @rule(name=st.sampled_from(NAMES))
    def come_back(self, name):
        """Restart a dead agent with no records."""
        if name in self.dead:
            self.wall_ms += 5_000
            self.dead.discard(name)
            self.starts[name] += 1
            self.history[name] = self.new_history(name)
            self.apply_table()

    @rule(name=st.sampled_from(NAMES))
    def restart_unnoticed(self, name):
        """Restart an agent before the others notice that it was gone."""
        if name not in self.dead:
            self.wall_ms += 5_000
            self.records[name] = KeyRecords()
            self.starts[name] += 1
            self.history[name] = self.new_history(name)
            self.previous_members.pop(name, None)
            for each in self.history.values():
                each.revoke(name)
            self.apply_table()


class SilentKeyCluster(KeyCluster):
    """Agents that crash, and agents whose leases expire although they live on."""

    @rule(names=st.frozensets(st.sampled_from(NAMES)), pause_ms=st.sampled_from((500, 2_000)))
    def go_silent(self, names, pause_ms):
        """Let the leases of some agents expire that live on and keep their records."""
        self.wall_ms += pause_ms
        self.silent = set(names)
        self.apply_table()


def request(key):
    """Return a request with an idempotency key."""
    return RequestStart(
        request_id="r",
        entry_id=1,
        version=1,
        method=b"POST",
        path=b"/",
        headers=(),
        body=b"",
        timeout_ms=0,
        idempotency_key=key,
    )


def key_state(entry_id, key, record):
    """Return the message that replicates a record."""
    return KeyState(
        entry_id=entry_id,
        key=key,
        fingerprint=record.fingerprint,
        owner=record.owner,
        ended=False,
        start=None,
        body=None,
        refusal=None,
        claim_id="",
    )


@prop("requests.key_runs_at_most_once")
def check_keys():
    """No key is treated as new twice, whichever agents crash, return or lose their records."""
    for machine in (KeyCluster, SilentKeyCluster):
        run_state_machine_as_test(
            machine, settings=settings(max_examples=60, stateful_step_count=40)
        )


@prop("requests.single_losses_lose_no_key")
@settings(max_examples=200)
@given(st.lists(st.tuples(st.sampled_from(NAMES), st.booleans()), max_size=16))
def check_single_losses(losses):
    """While one holder of each bucket survives, no new key is refused as possibly used."""
    cluster = KeyCluster()
    for name, quickly in losses:
        if quickly:
            cluster.restart_unnoticed(name)
        else:
            for dead in list(cluster.dead):
                cluster.come_back(dead)
            cluster.die(name)
        cluster.assert_all_certain()


@prop("requests.clock_steps_forgive_no_loss")
@given(st.integers(-9_000, 9_000), st.integers(-7_200_000, 7_200_000))
def check_clock_steps(caller_step_ms, agent_step_ms):
    """A jump of the time of day makes no key new that may have been used before a loss.

    The life of a loss was counted on the wall clock, and a caller's clock that was 2.4 s ahead
    made its time-ordered keys look newer than the loss.
    """
    wall_ms, now = 1_000_000_000_000, 100.0
    history = KeyHistory(name="a", run=run_name("a", "1"))
    view = ServiceView(version=1, table=rendezvous_table("s", ("a",)), runs={})
    history.on_view(view, restarted=True, versions_skipped=False, now=now, wall_ms=wall_ms)
    key = str(uuid.UUID(int=((wall_ms + caller_step_ms) << 80) | (7 << 76) | (2 << 62)))
    for each in (key, "untimed"):
        verdict = history.judge(bucket_of(each.encode()), each, now + 1, wall_ms + agent_step_ms)
        assert verdict is KeyVerdict.MAYBE_USED
    newer = str(uuid.UUID(int=((wall_ms + CLOCK_MARGIN_MS + 1) << 80) | (7 << 76) | (2 << 62)))
    bucket = bucket_of(newer.encode())
    assert history.judge(bucket, newer, now + 1, wall_ms) is KeyVerdict.NEW
    handed_on = KeyHistory(name="b", run=run_name("b", "1"))
    runs = {"a": run_name("a", "1")}
    for version, names in ((1, ("a",)), (2, ("b",))):
        moved = ServiceView(version=version, table=rendezvous_table("s", names), runs=runs)
        handed_on.on_view(
            moved, restarted=False, versions_skipped=False, now=now + 1800, wall_ms=wall_ms
        )
    told = {each.bucket: each for each in history.partial(now + 1800)}
    confirmation = Confirmation(version=2, partial=told, lost_ms=0)
    handed_on.confirm(runs["a"], confirmation, now + 1800, wall_ms)
    for age_s, verdict in ((3590.0, KeyVerdict.MAYBE_USED), (KEY_LIFE_S + 1, KeyVerdict.NEW)):
        assert handed_on.judge(0, "untimed", now + age_s, wall_ms) is verdict
    later = now + KEY_LIFE_S + 1
    assert history.judge(bucket_of(b"untimed"), "untimed", later, wall_ms) is KeyVerdict.NEW


@prop("requests.key_time")
@given(st.integers(0, 2**48 - 1), st.text(max_size=40))
def check_key_time(time_ms, text):
    """Only a UUID version 7 key has a timestamp."""
    raw = (time_ms << 80) | (7 << 76) | (2 << 62)
    assert key_time_ms(str(uuid.UUID(int=raw))) == time_ms
    assert key_time_ms(str(uuid.uuid4())) is None
    assert text.count("-") == 4 or len(text) >= 32 or key_time_ms(text) is None


@prop("requests.known_outcome_stays")
@given(st.binary(max_size=10), st.booleans())
def check_merge(body, ended):
    """A known outcome is never replaced by a later message."""
    records = KeyRecords()
    req = request("k")
    record, _ = records.claim(req, "a")
    record.body = b"first"
    record.ended.set()
    other = KeyRecord(fingerprint=fingerprint(req), owner="b")
    other.body = body
    records.merge(key_state(1, "k", other))
    assert records.find(1, "k").body == b"first"


class RecordingStream:
    """A balancer's stream that keeps what the agent answers."""

    def __init__(self):
        self.sent = []

    def send(self, msg):
        self.sent.append(msg)


def waiting_plane():
    """Return a request plane with one slot, its state copy, and a stream."""
    state = change_state(change_state(State(), ENTRY), join("t1"))
    entry = attrs.evolve(state.entries["price-board"], protocol=Protocol.HTTP)
    copy = StateCopy()
    copy.offer(attrs.evolve(state, entries={entry.name: entry}), 0.0)
    monitor = SimpleNamespace(
        health=TargetHealth.SERVING,
        last=None,
        request_address=lambda: Address(host="127.0.0.1", port=9),
    )
    plane = RequestPlane(
        name="t1",
        copy=copy,
        monitor=monitor,
        lifecycle=Lifecycle(),
        refusals=RefusalCounts(),
        records=KeyRecords(),
        keys=None,
        cold_detector=ColdDetector(),
    )
    return plane, copy, RecordingStream()


def turn_cold(plane):
    """Let the target turn cold right after the next request has been given a slot."""

    def address():
        plane.slots.set_limit(0)
        return Address(host="127.0.0.1", port=9)

    plane._monitor.request_address = address


@prop("requests.change_while_waiting_is_seen")
def check_waiting():
    """A request that waits for a slot is not delivered to a domain that has gone out meanwhile.

    Nor is one that has its slot already when the target turns cold and bears fewer.
    """
    for change in ("out", "cold"):
        plane, copy, stream = waiting_plane()
        plane.slots.set_limit(1)
        assert plane.slots.acquire(0, time.monotonic() + 5, lambda: False) is None
        (entry,) = copy.current.entries.values()
        plane._start_request(attrs.evolve(request(""), entry_id=entry.entry_id), stream, {})
        wait_until(lambda plane=plane: plane.slots.waiting, 5.0, "the request waits")
        if change == "out":
            out = change_state(copy.current, SetDomain(name="d1", state="out"))
            copy.offer(out, 0.0)
        else:
            turn_cold(plane)
        plane.slots.release()
        wait_until(lambda stream=stream: stream.sent, 5.0, "the request is refused")
        refusal = stream.sent[0].refusal
        expected = Cause.DOMAIN_OUT if change == "out" else Cause.TARGET_COLD
        assert (refusal.cause, refusal.ran) == (expected.value, "no")
