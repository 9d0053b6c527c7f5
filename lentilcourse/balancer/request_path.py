"""The request path of a balancer: one task for each caller's connection.

A request is read whole, handed to an agent over a stream and answered from what comes back.
A request that may run twice is retried after a lost agent; one that may not is retried only
after a refusal that proves that it did not run. No retry starts past the deadline.
"""

from __future__ import annotations

import itertools
import socket
import time
from typing import Final

import attrs
import h11

from lentilcourse.balancer.links import AgentLinks, Call, LinkLost
from lentilcourse.balancer.policies import Policy
from lentilcourse.balancer.retry_budget import RetryBudget
from lentilcourse.buckets import bucket_of, build_table, takes_new_work
from lentilcourse.clocks import MS_PER_S
from lentilcourse.errors import LentilcourseError, PoolFullError, StreamError
from lentilcourse.http_server import HttpRequest, HttpRequestError, HttpServerConnection
from lentilcourse.ids import new_id
from lentilcourse.kernel.lifecycle import Lifecycle
from lentilcourse.messages.requests import (
    AnswerChunk,
    AnswerRefused,
    AnswerStart,
    Refusal,
    RequestCancel,
    RequestCredit,
    RequestStart,
)
from lentilcourse.model import Entry, Protocol, State, Target
from lentilcourse.options import BalancerSettings
from lentilcourse.refusals import (
    RAN_NO,
    RAN_UNKNOWN,
    REASON_OWNER_LIMIT,
    Cause,
    RefusalCounts,
    http_body,
    http_headers,
    http_status,
    system_refusal,
)
from lentilcourse.sockets import accept_until
from lentilcourse.streams import bind_tcp
from lentilcourse.subscription import StateCopy

ANSWER_POLL_S: Final = 0.1
CREDIT_STEP_CHUNKS: Final = 4
MAX_ATTEMPTS: Final = 8
MAX_RETRY_PAUSE_S: Final = 0.25
RETRY_PAUSE_S: Final = 0.02
MAX_KEY_BYTES: Final = 128
MAX_TIMEOUT_MS: Final = 24 * 3600 * 1000
REPEATABLE_METHODS: Final = frozenset({b"GET", b"HEAD", b"PUT", b"DELETE", b"OPTIONS"})
HOP_BY_HOP: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
FINAL_CAUSES: Final = frozenset(
    cause.value
    for cause in (Cause.KEY_REUSED, Cause.KEY_HISTORY_LOST, Cause.DEADLINE, Cause.CANCELLED)
)
MOVING_CAUSES: Final = frozenset(
    cause.value
    for cause in (Cause.AGENT_LOST, Cause.NOT_HOME, Cause.STOPPING, Cause.BACKUP_UNREACHABLE)
)
MOVE_WAIT_S: Final = 5.0
DRAIN_TIMEOUT_S: Final = 30.0
HEADER_TIMEOUT: Final = b"request-timeout-ms"
HEADER_KEY: Final = b"idempotency-key"


class RequestRefusedError(LentilcourseError):
    """A request is refused; carries the refusal."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.cause or refusal.limit)
        self.refusal = refusal


class CallerLeftError(LentilcourseError):
    """The caller closed the connection before the answer was whole."""


class AnswerBrokenError(LentilcourseError):
    """An answer broke off after its start; the connection must be cut."""


@attrs.define(kw_only=True)
class RequestCounts:
    """What the request path has done since its start."""

    connections: int = 0
    requests: int = 0
    answered: int = 0
    cut: int = 0
    cancelled: int = 0
    retries: int = 0


@attrs.frozen(kw_only=True)
class Work:
    """One caller's request with what was read from it.

    Attributes:
        req: the HTTP request.
        entry: entry that it names.
        key: idempotency key; empty for none.
        repeatable: whether it may run more than once.
        deadline: monotonic time after which no work may start; infinite for none.
    """

    req: HttpRequest
    entry: Entry
    key: str
    repeatable: bool
    deadline: float

    @property
    def keyed(self) -> bool:
        """Whether the key's home alone may run it."""
        return bool(self.key) and not self.repeatable


class RequestPath:
    """Serves callers' connections."""

    def __init__(
        self,
        *,
        cfg: BalancerSettings,
        copy: StateCopy,
        links: AgentLinks,
        policy: Policy,
        lifecycle: Lifecycle,
        refusals: RefusalCounts,
    ) -> None:
        self.counts = RequestCounts()
        self.in_flight = 0
        self._copy = copy
        self._links = links
        self._policy = policy
        self._lifecycle = lifecycle
        self._refusals = refusals
        self._budget = RetryBudget()
        self._pool = lifecycle.pool(name="caller", limit=cfg.max_connections)
        self._listener = bind_tcp(cfg.request_address)
        lifecycle.on_close(self._listener.close)

    def run(self) -> None:
        """Accept connections until the process is asked to stop."""
        for accepted in accept_until(self._listener, self._lifecycle.stopping):
            self._serve_in_task(accepted.sock)
        self._listener.close()

    def drain(self) -> None:
        """Wait until every request in flight has its answer."""
        deadline = time.monotonic() + DRAIN_TIMEOUT_S
        while self._pool.running and time.monotonic() < deadline:
            time.sleep(0.02)

    def _serve_in_task(self, sock: socket.socket) -> None:
        try:
            self._pool.submit(lambda: self._serve(sock))
        except PoolFullError:
            conn = HttpServerConnection(sock=sock)
            self._refuse(conn, system_refusal(Cause.BALANCER_FULL, RAN_NO, ""))
            conn.close()

    def _serve(self, sock: socket.socket) -> None:
        self.counts.connections += 1
        conn = HttpServerConnection(sock=sock)
        try:
            while conn.wait_for_request(lambda: not self._lifecycle.stopping.is_set()):
                if not self._serve_request(conn):
                    return
        except (OSError, h11.ProtocolError, AnswerBrokenError, CallerLeftError):
            return
        finally:
            conn.close()

    def _serve_request(self, conn: HttpServerConnection) -> bool:
        try:
            req = conn.read_request()
        except HttpRequestError as exc:
            self._refuse_unreadable(conn, exc)
            return False
        if req is None:
            return False
        self.counts.requests += 1
        self.in_flight += 1
        try:
            work = read_work(req, self._copy.current, time.monotonic())
            self._run_work(conn, work)
        except RequestRefusedError as exc:
            self._refuse(conn, exc.refusal)
        finally:
            self.in_flight -= 1
        return conn.reuse()

    def _run_work(self, conn: HttpServerConnection, work: Work) -> None:
        self._budget.add_request()
        refusals: list[Refusal] = []
        tried: list[str] = []
        limited: set[str] = set()
        started = time.monotonic()
        for attempt in itertools.count():
            target = self._next_target(work, tried, limited)
            if target is None:
                break
            refusal = self._attempt(conn, work, target)
            if refusal is None:
                return
            refusals.append(refusal)
            if refusal.reason == REASON_OWNER_LIMIT:
                limited.add(target.name)
                continue
            tried.append(target.name)
            if not self._may_retry(work, refusal, attempt, started, time.monotonic()):
                break
            self.counts.retries += 1
            time.sleep(min(MAX_RETRY_PAUSE_S, RETRY_PAUSE_S * 2 ** min(len(tried), MAX_ATTEMPTS)))
        raise RequestRefusedError(final_refusal(refusals, work.entry.name))

    def _next_target(self, work: Work, tried: list[str], limited: set[str]) -> Target | None:
        """Return the best target whose share of the owner's limits is not known to be used up.

        One that was not tried goes first.
        """
        candidates = [each for each in self._candidates(work) if each.name not in limited]
        fresh = [each for each in candidates if each.name not in tried]
        return next(iter(fresh or candidates), None)

    def _candidates(self, work: Work) -> list[Target]:
        state = self._copy.current
        if work.keyed:
            return key_homes(state, work.entry.service, work.key)
        targets = [
            target
            for target in state.service_targets(work.entry.service)
            if takes_new_work(target) and not state.domain_out(target.domain)
        ]
        return self._policy(targets, self._links, time.monotonic()) if targets else []

    def _attempt(self, conn: HttpServerConnection, work: Work, target: Target) -> Refusal | None:
        try:
            link = self._links.open(target)
        except (StreamError, PoolFullError):
            return system_refusal(Cause.AGENT_LOST, RAN_NO, work.entry.name)
        start = request_start(work, self._copy.current, time.monotonic())
        if start is None:
            return system_refusal(Cause.DEADLINE, RAN_NO, work.entry.name)
        call = link.start(start)
        try:
            return self._relay(conn, call, work)
        finally:
            call.end()

    def _relay(self, conn: HttpServerConnection, call: Call, work: Work) -> Refusal | None:
        first = self._next_message(conn, call, work)
        if isinstance(first, AnswerRefused):
            return first.refusal
        if not isinstance(first, AnswerStart):
            cause = Cause.AGENT_LOST if isinstance(first, LinkLost) else Cause.TARGET_FAILED
            return system_refusal(cause, RAN_UNKNOWN, work.entry.name)
        conn.send_head(first.status, [(each.name, each.value) for each in first.headers])
        self._relay_body(conn, call, work)
        self.counts.answered += 1
        return None

    def _relay_body(self, conn: HttpServerConnection, call: Call, work: Work) -> None:
        unacknowledged = 0
        while True:
            msg = self._next_message(conn, call, work)
            if not isinstance(msg, AnswerChunk):
                self.counts.cut += 1
                raise AnswerBrokenError(work.entry.name)
            if msg.data:
                conn.send_body(msg.data)
            if msg.last:
                conn.finish()
                return
            unacknowledged += 1
            if unacknowledged == CREDIT_STEP_CHUNKS:
                credit = RequestCredit(request_id=call.request_id, chunks=unacknowledged)
                call.send(credit)
                unacknowledged = 0

    def _next_message(self, conn: HttpServerConnection, call: Call, work: Work) -> object:
        while True:
            msg = call.next_message(ANSWER_POLL_S)
            if msg is not None:
                return msg
            if conn.caller_left():
                call.send(RequestCancel(request_id=call.request_id))
                self.counts.cancelled += 1
                raise CallerLeftError(work.entry.name)

    def _may_retry(
        self, work: Work, refusal: Refusal, attempt: int, started: float, now: float
    ) -> bool:
        if now >= work.deadline or not may_repeat(work.repeatable, work.keyed, refusal):
            return False
        if costs_target_nothing(refusal):
            return now - started < MOVE_WAIT_S
        return attempt + 1 < MAX_ATTEMPTS and self._budget.take()

    def _refuse(self, conn: HttpServerConnection, refusal: Refusal) -> None:
        self._refusals.add(refusal)
        if conn.can_respond():
            conn.respond(http_status(refusal), http_headers(refusal), http_body(refusal))

    def _refuse_unreadable(self, conn: HttpServerConnection, exc: HttpRequestError) -> None:
        refusal = system_refusal(Cause.BAD_REQUEST, RAN_NO, "")
        self._refusals.add(refusal)
        if conn.can_respond():
            headers = [*http_headers(refusal), (b"connection", b"close")]
            conn.respond(exc.status, headers, http_body(refusal))


def final_refusal(refusals: list[Refusal], entry: str) -> Refusal:
    """Return what the caller is told after all attempts were refused.

    An owner's limit is named only if no target refused for a cause of the system. Work that
    may have run in one attempt may have run.
    """
    system = [each for each in refusals if each.reason != REASON_OWNER_LIMIT]
    unknown = [each for each in system if each.ran == RAN_UNKNOWN]
    for group in (unknown, system, refusals):
        if group:
            return group[-1]
    return system_refusal(Cause.NO_TARGET, RAN_NO, entry)


def costs_target_nothing(refusal: Refusal) -> bool:
    """Return whether an attempt ended before it could load a target.

    Such attempts wait for buckets to move; they are bounded by time, not by the budget.
    """
    return refusal.ran == RAN_NO and refusal.cause in MOVING_CAUSES


def may_repeat(repeatable: bool, keyed: bool, refusal: Refusal) -> bool:
    """Return whether a refused attempt may be followed by another.

    An owner's limit is final. Work that provably did not run may be tried again. Work that
    may have run is tried again only if it may run twice, or if its key makes a second
    delivery harmless at the key's home.
    """
    if refusal.reason == REASON_OWNER_LIMIT or refusal.cause in FINAL_CAUSES:
        return False
    if refusal.ran == RAN_NO:
        return True
    return repeatable or keyed


def read_work(req: HttpRequest, state: State, now: float) -> Work:
    """Read entry, key and deadline of a request; raises `RequestRefusedError`."""
    entry = find_entry(req, state)
    key = req.header(HEADER_KEY) or b""
    if len(key) > MAX_KEY_BYTES or any(not 0x21 <= byte <= 0x7E for byte in key):
        raise RequestRefusedError(system_refusal(Cause.BAD_REQUEST, RAN_NO, entry.name))
    return Work(
        req=req,
        entry=entry,
        key=key.decode("ascii"),
        repeatable=req.method in REPEATABLE_METHODS,
        deadline=_read_deadline(req, entry, now),
    )


def find_entry(req: HttpRequest, state: State) -> Entry:
    """Return the HTTP entry that a request's Host field names, by name or by address.

    A balancer that has no state yet cannot say that there is no such entry.
    """
    host = (req.header(b"host") or b"").decode("ascii", "replace")
    if state.version == 0:
        raise RequestRefusedError(system_refusal(Cause.NO_STATE, RAN_NO, host[:64]))
    named = state.entries.get(host.partition(":")[0])
    if named is not None and named.protocol is Protocol.HTTP:
        return named
    for entry in state.entries.values():
        if entry.protocol is Protocol.HTTP and str(entry.address) == host:
            return entry
    raise RequestRefusedError(system_refusal(Cause.UNKNOWN_ENTRY, RAN_NO, host[:64]))


def key_homes(state: State, service: str, key: str) -> list[Target]:
    """Return the home of an idempotency key, as a list of at most one target."""
    home = build_table(state, service).home(bucket_of(key.encode()))
    return [state.targets[home]] if home is not None else []


def request_start(work: Work, state: State, now: float) -> RequestStart | None:
    """Return the message that hands a request to an agent, None past the deadline."""
    timeout_ms = 0
    if work.deadline != float("inf"):
        timeout_ms = int((work.deadline - now) * MS_PER_S)
        if timeout_ms <= 0:
            return None
    return RequestStart(
        request_id=new_id(),
        entry_id=work.entry.entry_id,
        version=state.version,
        method=work.req.method,
        path=work.req.target,
        headers=tuple(each for each in work.req.headers if each.name not in HOP_BY_HOP),
        body=work.req.body,
        timeout_ms=timeout_ms,
        idempotency_key="" if work.repeatable else work.key,
    )


def _read_deadline(req: HttpRequest, entry: Entry, now: float) -> float:
    raw = req.header(HEADER_TIMEOUT)
    if raw is None:
        return float("inf")
    if not raw.isdigit() or not 0 < int(raw) <= MAX_TIMEOUT_MS:
        raise RequestRefusedError(system_refusal(Cause.BAD_REQUEST, RAN_NO, entry.name))
    return now + int(raw) / MS_PER_S
