"""Request handling at the agent: admission, idempotency keys, delivery and the response.

Each request is handled in its own task, and runs at most once under an idempotency key. It is
refused with "ran: no" only before its first byte is sent to the target, or when the target itself
reports that it shed the request.
"""

from __future__ import annotations

import threading
import time
from typing import Final

import attrs

from lentilcourse.agent.admission import cold_limit
from lentilcourse.agent.cold_detection import ColdDetector
from lentilcourse.agent.idempotency import AnswerStore, KeyRecord, KeyRecords, fingerprint
from lentilcourse.agent.key_history import KeyVerdict
from lentilcourse.agent.key_replication import KeyReplication
from lentilcourse.agent.slots import SlotQueue
from lentilcourse.agent.target import TargetHealth, TargetMonitor
from lentilcourse.agent.target_client import (
    DeadlineError,
    NotDeliveredError,
    TargetExchange,
)
from lentilcourse.clocks import MS_PER_S
from lentilcourse.errors import PoolFullError, StreamError, TargetFailedError
from lentilcourse.kernel.lifecycle import Lifecycle
from lentilcourse.messages.requests import (
    AnswerChunk,
    AnswerCut,
    AnswerRefused,
    AnswerStart,
    LoadEvidence,
    Refusal,
    RequestCancel,
    RequestCredit,
    RequestStart,
)
from lentilcourse.model import CLASS_RANK, Entry, State, TargetState
from lentilcourse.refusals import (
    RAN_NO,
    RAN_UNKNOWN,
    Cause,
    RefusalCounts,
    owner_refusal,
    system_refusal,
)
from lentilcourse.streams import Stream
from lentilcourse.subscription import StateCopy

MAX_REQUEST_TASKS: Final = 256
CREDIT_CHUNKS: Final = 16
CREDIT_WAIT_S: Final = 30.0
STORED_WAIT_S: Final = 30.0
OUTCOME_POLL_S: Final = 0.1
ASK_OWNER_S: Final = 0.5
"""Interval at which a waiting request asks the owner of its key for the outcome; equal to the time
that a backup has to record a key (`CLAIM_TIMEOUT_S`)."""
DRAIN_TIMEOUT_S: Final = 30.0


@attrs.define(kw_only=True)
class AgentRequestCounts:
    """Counters of the request plane since the agent started."""

    received: int = 0
    delivered: int = 0
    answered: int = 0
    cut: int = 0
    replayed: int = 0


@attrs.define(kw_only=True, eq=False)
class Job:
    """State of one request in progress.

    Attributes:
        req: the request.
        entry: the entry that the request was sent to.
        stream: stream of the balancer, which receives the response.
        deadline: monotonic time; infinite if the request has no timeout.
        cancelled: set when the caller no longer waits.
        credit: response chunks that may still be sent (flow control).
        exchange: HTTP exchange with the target, once it is connected.
        store: stores the response of a request with an idempotency key.
    """

    req: RequestStart
    entry: Entry
    stream: Stream
    deadline: float
    cancelled: threading.Event = attrs.field(factory=threading.Event)
    credit: threading.Semaphore = attrs.field(factory=lambda: threading.Semaphore(CREDIT_CHUNKS))
    exchange: TargetExchange | None = None
    store: AnswerStore | None = None

    def refuse(self, cause: Cause, ran: str) -> Refusal:
        """Return a system refusal for this request."""
        return system_refusal(cause, ran, self.entry.name)


class RequestPlane:
    """Handles all requests of one agent."""

    def __init__(
        self,
        *,
        name: str,
        copy: StateCopy,
        monitor: TargetMonitor,
        lifecycle: Lifecycle,
        refusals: RefusalCounts,
        records: KeyRecords,
        keys: KeyReplication,
        cold_detector: ColdDetector,
    ) -> None:
        self.counts = AgentRequestCounts()
        self.slots = SlotQueue(limit=1)
        self.records = records
        self._keys = keys
        self._cold_detector = cold_detector
        self._name = name
        self._copy = copy
        self._monitor = monitor
        self._lifecycle = lifecycle
        self._refusals = refusals
        self._pool = lifecycle.pool(name="request", limit=MAX_REQUEST_TASKS)
        self._incarnation = ""
        self._entry_running: dict[int, int] = {}
        self._lock = threading.Lock()

    @property
    def in_flight(self) -> int:
        """Number of requests that run or wait for a slot."""
        return self.slots.in_use + self.slots.waiting

    def serve(self, stream: Stream, first: object) -> None:
        """Handle the messages of one balancer's stream until it closes."""
        jobs: dict[str, Job] = {}
        msg: object = first
        try:
            while True:
                self._handle_message(msg, stream, jobs)
                msg = stream.receive()
        finally:
            for job in list(jobs.values()):
                self._cancel_job(job)

    def drain(self) -> None:
        """Wait until all requests have completed, for at most `DRAIN_TIMEOUT_S`."""
        deadline = time.monotonic() + DRAIN_TIMEOUT_S
        while self._pool.running and time.monotonic() < deadline:
            time.sleep(0.02)

    def refresh_slot_limit(self, now: float) -> None:
        """Update the slot limit from the cold start and warm-up of the target.

        A target stays at the cold-start limit while its failure domain is out.
        """
        last = self._monitor.last
        if last is None:
            return
        if last.incarnation != self._incarnation:
            self._incarnation = last.incarnation
            self._cold_detector.start_cold(now)
        state = self._copy.current
        own = state.targets.get(self._name)
        if own is not None and state.domain_out(own.domain):
            self._cold_detector.start_cold(now)
        self._update_slot_limit(now)

    def _update_slot_limit(self, now: float) -> None:
        last = self._monitor.last
        if last is not None:
            self.slots.set_limit(cold_limit(last.slots, self._cold_detector.cold_since, now))

    def _handle_message(self, msg: object, stream: Stream, jobs: dict[str, Job]) -> None:
        if isinstance(msg, RequestStart):
            self._start_request(msg, stream, jobs)
            return
        if not isinstance(msg, (RequestCancel, RequestCredit)):
            return
        job = jobs.get(msg.request_id)
        if job is None:
            return
        if isinstance(msg, RequestCancel):
            self._cancel_job(job)
            return
        for _ in range(min(msg.chunks, CREDIT_CHUNKS)):
            job.credit.release()

    def _cancel_job(self, job: Job) -> None:
        job.cancelled.set()
        exchange = job.exchange
        if exchange is not None and not job.req.idempotency_key:
            exchange.close()

    def _start_request(self, req: RequestStart, stream: Stream, jobs: dict[str, Job]) -> None:
        self.counts.received += 1
        now = time.monotonic()
        state = self._copy.current
        entry = find_entry(state, self._name, req.entry_id)
        if entry is None:
            known = self._name in state.targets
            cause = Cause.UNKNOWN_ENTRY if known else Cause.TARGET_GONE
            self._send_refusal(stream, req, system_refusal(cause, RAN_NO, str(req.entry_id)))
            return
        deadline = now + req.timeout_ms / MS_PER_S if req.timeout_ms else float("inf")
        job = Job(req=req, entry=entry, stream=stream, deadline=deadline)
        jobs[req.request_id] = job

        def run() -> None:
            try:
                self._run(job)
            finally:
                jobs.pop(req.request_id, None)

        try:
            self._pool.submit(run)
        except PoolFullError:
            jobs.pop(req.request_id, None)
            self._send_refusal(stream, req, job.refuse(Cause.TARGET_FULL, RAN_NO))

    def _run(self, job: Job) -> None:
        refusal = self._run_keyed(job) if job.req.idempotency_key else self._run_admitted(job)
        if refusal is not None:
            self._send_refusal(job.stream, job.req, refusal)
        self._send_message(job.stream, self.evidence())

    def _run_keyed(self, job: Job) -> Refusal | None:
        claim = self._keys.open_record(job.req, time.monotonic())
        if claim.record is None:
            if claim.verdict is KeyVerdict.MAYBE_USED:
                return job.refuse(Cause.KEY_HISTORY_LOST, RAN_UNKNOWN)
            return job.refuse(Cause.NOT_HOME, RAN_NO)
        record = claim.record
        if not claim.first:
            return self._replay(job, record)
        job.store = AnswerStore(record=record)
        refusal = self._run_claimed(job, record)
        if refusal is not None and refusal.ran == RAN_NO:
            self.records.release(job.req, record)
            self._keys.release(job.req)
        record.refusal = refusal
        record.ended.set()
        if refusal is None or refusal.ran != RAN_NO:
            self._keys.publish(job.req, record)
        return refusal

    def _run_claimed(self, job: Job, record: KeyRecord) -> Refusal | None:
        if not self._keys.claim(job.req, record):
            return job.refuse(Cause.BACKUP_UNREACHABLE, RAN_NO)
        return self._run_admitted(job)

    def _replay(self, job: Job, record: KeyRecord) -> Refusal | None:
        if record.fingerprint != fingerprint(job.req):
            return job.refuse(Cause.KEY_REUSED, RAN_NO)
        if not self._await_outcome(job, record):
            return job.refuse(Cause.KEY_HISTORY_LOST, RAN_UNKNOWN)
        if record.released:
            return job.refuse(Cause.NOT_HOME, RAN_NO)
        if record.refusal is not None:
            return record.refusal
        if record.start is None or record.body is None:
            return job.refuse(Cause.KEY_HISTORY_LOST, RAN_UNKNOWN)
        self.counts.replayed += 1
        request_id = job.req.request_id
        self._send_message(job.stream, attrs.evolve(record.start, request_id=request_id))
        self._send_message(
            job.stream, AnswerChunk(request_id=request_id, data=record.body, last=True)
        )
        return None

    def _await_outcome(self, job: Job, record: KeyRecord) -> bool:
        """Wait for the outcome of a record; returns False if it stays unknown.

        The outcome stays unknown if the owner no longer runs, or on a timeout.
        """
        wait_until = min(job.deadline, time.monotonic() + STORED_WAIT_S)
        ask_at = time.monotonic()
        while not record.ended.wait(timeout=OUTCOME_POLL_S):
            now = time.monotonic()
            if not self._keys.owner_runs(record, now) or now >= wait_until:
                return False
            if now >= ask_at:
                self._keys.ask_owner(job.req, record)
                ask_at = now + ASK_OWNER_S
        return True

    def _run_admitted(self, job: Job) -> Refusal | None:
        self.refresh_slot_limit(time.monotonic())
        refusal = self._check_admission(job)
        if refusal is not None:
            return refusal
        if not self._acquire_entry_share(job.entry):
            limit = job.entry.limits.requests_in_flight
            return owner_refusal(job.entry, "requests_in_flight", limit)
        try:
            cause = self.slots.acquire(
                CLASS_RANK[job.entry.traffic_class], job.deadline, job.cancelled.is_set
            )
            if cause is not None:
                return job.refuse(cause, RAN_NO)
            try:
                return self._deliver(job)
            finally:
                self.slots.release()
        finally:
            self._release_entry_share(job.entry)

    def _check_admission(self, job: Job) -> Refusal | None:
        state = self._copy.current
        own = state.targets.get(self._name)
        if own is None or self._monitor.health in (TargetHealth.GONE, TargetHealth.SILENT):
            return job.refuse(Cause.TARGET_GONE, RAN_NO)
        if state.domain_out(own.domain):
            return job.refuse(Cause.DOMAIN_OUT, RAN_NO)
        if own.state is TargetState.DRAINING or self._monitor.health is TargetHealth.DRAINING:
            return job.refuse(Cause.TARGET_DRAINING, RAN_NO)
        if self._lifecycle.stopping.is_set():
            return job.refuse(Cause.STOPPING, RAN_NO)
        return None

    def _acquire_entry_share(self, entry: Entry) -> bool:
        limit = entry.limits.requests_in_flight
        with self._lock:
            running = self._entry_running.get(entry.entry_id, 0)
            if limit and running >= self._granted_requests(entry):
                return False
            self._entry_running[entry.entry_id] = running + 1
            return True

    def _granted_requests(self, entry: Entry) -> int:
        state = self._copy.current
        own = state.targets.get(self._name)
        return state.granted_share(entry, own).requests_in_flight if own is not None else 0

    def in_flight_of_entry(self, entry_id: int) -> int:
        """Return the number of requests of an entry that run or wait at this agent."""
        return self._entry_running.get(entry_id, 0)

    def _release_entry_share(self, entry: Entry) -> None:
        with self._lock:
            self._entry_running[entry.entry_id] -= 1

    def _deliver(self, job: Job) -> Refusal | None:
        """Deliver a request that has a slot, unless the target has changed since it arrived.

        Its domain may have gone out, or the target may have become cold, while the request waited.
        """
        refusal = self._check_admission(job)
        if refusal is not None:
            return refusal
        address = self._monitor.request_address()
        now = time.monotonic()
        if address is None:
            return job.refuse(Cause.TARGET_GONE, RAN_NO)
        if self.slots.in_use > self.slots.limit:
            return job.refuse(Cause.TARGET_COLD, RAN_NO)
        if now >= job.deadline:
            return job.refuse(Cause.DEADLINE, RAN_NO)
        exchange = TargetExchange(address=address, deadline=job.deadline)
        try:
            exchange.connect(now)
            if job.cancelled.is_set():
                return job.refuse(Cause.CANCELLED, RAN_NO)
            job.exchange = exchange
            return self._exchange_with_target(job, exchange)
        except NotDeliveredError:
            return job.refuse(Cause.TARGET_GONE, RAN_NO)
        finally:
            exchange.close()

    def _exchange_with_target(self, job: Job, exchange: TargetExchange) -> Refusal | None:
        started = time.monotonic()
        self.counts.delivered += 1
        try:
            exchange.send(job.req, started)
            head = exchange.read_head()
        except DeadlineError:
            return job.refuse(Cause.DEADLINE, RAN_UNKNOWN)
        except TargetFailedError:
            if not job.cancelled.is_set():
                self._record_failure(time.monotonic())
            return job.refuse(Cause.TARGET_FAILED, RAN_UNKNOWN)
        if head.shed():
            self._record_failure(time.monotonic())
            return job.refuse(Cause.TARGET_SHED, RAN_NO)
        self._send_answer(
            job,
            AnswerStart(request_id=job.req.request_id, status=head.status, headers=head.headers),
        )
        now = time.monotonic()
        self._cold_detector.observe_answer(now - started, now)
        self._relay_body(job, exchange)
        return None

    def _record_failure(self, now: float) -> None:
        """Record a failed or shed request.

        Applies the cold-start limit at once, before the next request gets a slot.
        """
        self._cold_detector.observe_failure(now)
        self._update_slot_limit(now)

    def _relay_body(self, job: Job, exchange: TargetExchange) -> None:
        request_id = job.req.request_id
        try:
            for part in exchange.read_body():
                self._await_credit(job)
                self._send_answer(job, AnswerChunk(request_id=request_id, data=part, last=False))
        except TargetFailedError as exc:
            self.counts.cut += 1
            self._send_message(job.stream, AnswerCut(request_id=request_id, cause=str(exc)))
            return
        self.counts.answered += 1
        self._send_answer(job, AnswerChunk(request_id=request_id, data=b"", last=True))

    def _await_credit(self, job: Job) -> None:
        deadline = time.monotonic() + CREDIT_WAIT_S
        while not job.credit.acquire(timeout=0.1):
            if job.store is not None and (job.cancelled.is_set() or job.stream.closed):
                return
            if job.cancelled.is_set() or time.monotonic() > deadline:
                raise TargetFailedError("the caller takes no more of the answer")

    def _send_answer(self, job: Job, msg: AnswerStart | AnswerChunk) -> None:
        if job.store is not None:
            job.store.add(msg)
        self._send_message(job.stream, msg)

    def evidence(self) -> LoadEvidence:
        """Return the load and response time measured at the target, for the balancers."""
        return LoadEvidence(
            in_flight=self.in_flight,
            capacity=self.slots.limit,
            answer_ms=self._cold_detector.fast_s * MS_PER_S,
        )

    def _send_refusal(self, stream: Stream, req: RequestStart, refusal: Refusal) -> None:
        self._refusals.add(refusal)
        self._send_message(stream, AnswerRefused(request_id=req.request_id, refusal=refusal))

    def _send_message(self, stream: Stream, msg: object) -> None:
        try:
            stream.send(msg)
        except StreamError:
            return


def find_entry(state: State, target_name: str, entry_id: int) -> Entry | None:
    """Return the entry with this id, or None unless the target's service serves it."""
    own = state.targets.get(target_name)
    if own is None:
        return None
    for entry in state.entries.values():
        if entry.entry_id == entry_id and entry.service == own.service:
            return entry
    return None
