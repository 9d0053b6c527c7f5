"""Callers' requests: tasks that send, check and count.

Each request has a token. An answer must carry the token of its own request; a request that may
not run twice keeps its idempotency key over resends. At the end the executions that the
targets counted are compared with what callers were told.
"""

from __future__ import annotations

import json
import random
import threading
import time
import uuid
from collections import Counter
from concurrent.futures import Future, ThreadPoolExecutor
from http.client import HTTPConnection, HTTPException, HTTPResponse

import attrs

from lentilcourse.refusals import RAN_NO


@attrs.define(kw_only=True)
class RequestResult:
    """How one request ended for its caller.

    Attributes:
        token: identity of the request.
        keyed: whether it may not run twice.
        outcome: "answered", "refused", "cut" or "lost" (no answer at all).
        reason: reason and cause of a refusal.
        ran: what the last refusal said; empty for none.
        whole: whether an answer was whole and the caller's own.
        seconds: time until the outcome.
        status: HTTP status; 0 for none.
        target: target that answered.
    """

    token: str
    keyed: bool
    outcome: str
    reason: str = ""
    ran: str = ""
    whole: bool = True
    seconds: float = 0.0
    status: int = 0
    target: str = ""

    @property
    def unanswered(self) -> bool:
        """Whether the caller got no answer, or not the whole of it."""
        return self.outcome in ("lost", "cut")


@attrs.frozen(kw_only=True)
class RequestPlan:
    """What one caller sends.

    Attributes:
        entry: entry to ask for.
        keyed: send POST with an idempotency key, and resend it when the outcome is unknown.
        size: relative work of a request.
        answer_bytes: size of the answer.
        pause_s: mean pause between two requests.
        timeout_ms: deadline; 0 for none.
    """

    entry: str
    keyed: bool = False
    size: float = 1.0
    answer_bytes: int = 0
    pause_s: float = 0.05
    timeout_ms: int = 0


class RequestLoad:
    """Callers that send requests through random balancers, until the end of a `with` block.

    Attributes:
        balancers: request addresses; may be changed while the load runs.
        results: all results so far.
    """

    def __init__(self, *, balancers: list[tuple[str, int]], seed: int) -> None:
        self.balancers = balancers
        self.results: list[RequestResult] = []
        self._rng = random.Random(seed)
        self._stop = threading.Event()
        self._pool = ThreadPoolExecutor(max_workers=256, thread_name_prefix="caller")
        self._futures: list[Future[None]] = []

    def __enter__(self) -> RequestLoad:
        return self

    def __exit__(self, *cause: object) -> None:
        self.stop()

    def start(self, plan: RequestPlan, callers: int) -> None:
        """Start callers that follow a plan until the load stops."""
        for _ in range(callers):
            rng = random.Random(self._rng.random())
            self._futures.append(self._pool.submit(self._run, plan, rng))

    def stop(self) -> None:
        """Stop all callers after their request."""
        self._stop.set()
        for fut in self._futures:
            fut.result(timeout=60.0)
        self._pool.shutdown()

    def counts(self) -> Counter[str]:
        """Return the number of results by outcome and reason."""
        return Counter(f"{result.outcome} {result.reason}".strip() for result in list(self.results))

    def _run(self, plan: RequestPlan, rng: random.Random) -> None:
        while not self._stop.is_set():
            result = send_request(plan, rng, self.balancers)
            self.results.append(result)
            self._stop.wait(timeout=rng.expovariate(1.0 / plan.pause_s))


def send_request(
    plan: RequestPlan, rng: random.Random, balancers: list[tuple[str, int]], resends: int = 4
) -> RequestResult:
    """Send one request, resending it while that is safe and its outcome is unknown."""
    token = uuid.UUID(int=rng.getrandbits(128), version=4).hex
    started = time.monotonic()
    result = RequestResult(token=token, keyed=plan.keyed, outcome="lost")
    order = rng.sample(balancers, len(balancers))
    for attempt in range(resends):
        result = _send_once(plan, token, order[attempt % len(order)])
        if result.outcome in ("answered", "refused"):
            break
    result.seconds = time.monotonic() - started
    return result


def _send_once(plan: RequestPlan, token: str, address: tuple[str, int]) -> RequestResult:
    result = RequestResult(token=token, keyed=plan.keyed, outcome="lost")
    headers = {"Host": plan.entry}
    if plan.keyed:
        headers["Idempotency-Key"] = token
    if plan.timeout_ms:
        headers["Request-Timeout-Ms"] = str(plan.timeout_ms)
    path = f"/work?id={token}&size={plan.size}&bytes={plan.answer_bytes}"
    conn = HTTPConnection(address[0], address[1], timeout=30.0)
    try:
        body = token.encode() if plan.keyed else None
        conn.request("POST" if plan.keyed else "GET", path, body, headers)
        answer = conn.getresponse()
        result.status = answer.status
        _read_answer(answer, plan, result)
    except (OSError, HTTPException):
        result.outcome = "cut" if result.status else "lost"
    finally:
        conn.close()
    return result


def _read_answer(answer: HTTPResponse, plan: RequestPlan, result: RequestResult) -> None:
    body = answer.read()
    refused = answer.getheader("Refusal-Reason")
    if refused is not None:
        result.outcome = "refused"
        result.ran = answer.getheader("Refusal-Ran") or ""
        result.reason = f"{refused} {_cause(body)} ran={result.ran}"
        return
    result.outcome = "answered"
    result.target = answer.getheader("Answered-By") or ""
    echoed = result.token if plan.keyed else ""
    head = f"{result.token}|{result.target}|{echoed}".encode()
    result.whole = body == head + b"x" * plan.answer_bytes


def _cause(body: bytes) -> str:
    problem = json.loads(body)
    return str(problem.get("cause") or problem.get("limit"))


@attrs.define(kw_only=True)
class ExecutionCheck:
    """What the targets' counts say of the callers' results.

    Attributes:
        doubled: keyed requests that ran more than once.
        false_no: refusals that said "ran: no" of a request that ran.
        crossed: answers that were not whole or not the caller's own.
        missing: answered requests that no target counted.
    """

    doubled: int = 0
    false_no: int = 0
    crossed: int = 0
    missing: int = 0


def check_executions(results: list[RequestResult], executions: Counter[str]) -> ExecutionCheck:
    """Compare results with the executions that all targets counted."""
    check = ExecutionCheck()
    for result in results:
        ran = executions[result.token]
        check.doubled += result.keyed and ran > 1
        check.false_no += result.ran == RAN_NO and ran > 0
        check.crossed += not result.whole
        check.missing += result.outcome == "answered" and ran == 0
    return check
