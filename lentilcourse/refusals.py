"""Refusals: why work was not done, in a form that callers and operators can trace.

A refusal names an owner's limit with entry and value, or the system with its cause. It says
"ran: no" only where that is proved.
"""

from __future__ import annotations

import enum
import json
import threading
from collections import Counter, OrderedDict
from typing import Final

from lentilcourse import error_texts
from lentilcourse.ids import new_id
from lentilcourse.logs import get_logger
from lentilcourse.messages.requests import Refusal
from lentilcourse.model import Entry

REASON_OWNER_LIMIT: Final = "owner-limit"
REASON_SYSTEM: Final = "system"
RAN_NO: Final = "no"
RAN_UNKNOWN: Final = "unknown"


class Cause(enum.Enum):
    """The system's causes; each is a label of the refusals counter."""

    BAD_REQUEST = "bad-request"
    UNKNOWN_ENTRY = "unknown-entry"
    NO_STATE = "no-state"
    NO_TARGET = "no-target"
    TARGET_FULL = "target-full"
    TARGET_COLD = "target-cold"
    TARGET_DRAINING = "target-draining"
    TARGET_SHED = "target-shed"
    TARGET_FAILED = "target-failed"
    TARGET_GONE = "target-gone"
    DOMAIN_OUT = "domain-out"
    QUEUE_TIME = "queue-time"
    DISPLACED = "displaced-by-class"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    AGENT_LOST = "agent-lost"
    BALANCER_FULL = "balancer-full"
    NOT_HOME = "not-key-home"
    KEY_HISTORY_LOST = "key-history-lost"
    BACKUP_UNREACHABLE = "backup-unreachable"
    KEY_REUSED = "key-reused"
    STOPPING = "stopping"


MAX_REMEMBERED: Final = 5_000

HTTP_STATUS: Final = {
    Cause.BAD_REQUEST: 400,
    Cause.UNKNOWN_ENTRY: 404,
    Cause.KEY_REUSED: 422,
    Cause.DEADLINE: 504,
    Cause.TARGET_FAILED: 502,
    Cause.AGENT_LOST: 502,
    Cause.KEY_HISTORY_LOST: 409,
}
HTTP_STATUS_SYSTEM: Final = 503
HTTP_STATUS_OWNER_LIMIT: Final = 429


_log = get_logger(__name__)


class RefusalCounts:
    """Counts refusals by reason and cause, and remembers the last ones by their id."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: Counter[str] = Counter()
        self._last: OrderedDict[str, Refusal] = OrderedDict()

    def add(self, refusal: Refusal) -> None:
        """Count and log one refusal."""
        detail = refusal.limit if refusal.reason == REASON_OWNER_LIMIT else refusal.cause
        _log.info(
            "refused",
            id=refusal.refusal_id,
            reason=refusal.reason,
            detail=detail,
            ran=refusal.ran,
            entry=refusal.entry,
        )
        with self._lock:
            self._counts[f"{refusal.reason}:{detail}:{refusal.ran}"] += 1
            self._last[refusal.refusal_id] = refusal
            if len(self._last) > MAX_REMEMBERED:
                self._last.popitem(last=False)

    def find(self, refusal_id: str) -> Refusal | None:
        """Return a refusal that is still remembered."""
        with self._lock:
            return self._last.get(refusal_id)

    def read(self) -> dict[str, int]:
        """Return a copy of the counts."""
        with self._lock:
            return dict(self._counts)


def system_refusal(cause: Cause, ran: str, entry: str) -> Refusal:
    """Return a refusal by the system."""
    return Refusal(
        refusal_id=new_id(), reason=REASON_SYSTEM, ran=ran, entry=entry, cause=cause.value
    )


def owner_refusal(entry: Entry, limit: str, value: int) -> Refusal:
    """Return a refusal by an owner's limit; the work has not run."""
    return Refusal(
        refusal_id=new_id(),
        reason=REASON_OWNER_LIMIT,
        ran=RAN_NO,
        entry=entry.name,
        owner=entry.owner,
        limit=limit,
        value=value,
    )


def describe(refusal: Refusal) -> str:
    """Return one line for people."""
    if refusal.reason == REASON_OWNER_LIMIT:
        return error_texts.REFUSED_OWNER_LIMIT.format(
            entry=refusal.entry, owner=refusal.owner, limit=refusal.limit, value=refusal.value
        )
    return error_texts.REFUSED_SYSTEM.format(cause=refusal.cause)


def http_status(refusal: Refusal) -> int:
    """Return the HTTP status of a refusal."""
    if refusal.reason == REASON_OWNER_LIMIT:
        return HTTP_STATUS_OWNER_LIMIT
    return HTTP_STATUS.get(Cause(refusal.cause), HTTP_STATUS_SYSTEM)


def http_headers(refusal: Refusal) -> list[tuple[bytes, bytes]]:
    """Return the header fields of a refusal."""
    return [
        (b"content-type", b"application/problem+json"),
        (b"refusal-id", refusal.refusal_id.encode()),
        (b"refusal-reason", refusal.reason.encode()),
        (b"refusal-ran", refusal.ran.encode()),
    ]


def http_body(refusal: Refusal) -> bytes:
    """Return the body of a refusal (problem details, RFC 9457)."""
    problem = {
        "title": describe(refusal),
        "status": http_status(refusal),
        "instance": f"urn:uuid:{refusal.refusal_id}",
        "reason": refusal.reason,
        "ran": refusal.ran,
        "entry": refusal.entry,
    }
    if refusal.reason == REASON_OWNER_LIMIT:
        problem.update(owner=refusal.owner, limit=refusal.limit, value=refusal.value)
    else:
        problem["cause"] = refusal.cause
    return json.dumps(problem).encode()
