"""Records of requests that must not run twice, kept at the home of their key.

A key is recorded before its request is delivered. A second request under the same key waits
for the first one's answer, or gets the stored one; it never runs. Records of unknown outcome
stay: the request may have run.
"""

from __future__ import annotations

import threading
from collections import OrderedDict
from typing import Final

import attrs
from xxhash import xxh3_128_digest

from lentilcourse.messages.requests import (
    AnswerChunk,
    AnswerStart,
    KeyState,
    Refusal,
    ReleaseKey,
    RequestStart,
)

MAX_RECORDS: Final = 100_000
MAX_STORED_ANSWER_BYTES: Final = 64 * 1024


@attrs.define(kw_only=True, eq=False)
class KeyRecord:
    """One recorded key.

    Attributes:
        fingerprint: digest of the request under which the key was first used.
        owner: run of the agent that runs the request, NAME/RUN.
        ended: set once the outcome is known, or known to be unknown, or the key was released.
        released: whether the request provably did not run and the key is free again.
        start: stored start of the answer.
        body: stored body of the answer.
        refusal: stored refusal, if the request ended in one.
    """

    fingerprint: bytes
    owner: str
    ended: threading.Event = attrs.field(factory=threading.Event)
    start: AnswerStart | None = None
    body: bytes | None = None
    refusal: Refusal | None = None
    released: bool = False


class KeyRecords:
    """Records by entry and key; the oldest go first.

    Attributes:
        evicted: records that had to make room; of those nothing is known.
    """

    def __init__(self) -> None:
        self.evicted = 0
        self._lock = threading.Lock()
        self._records: OrderedDict[tuple[int, str], KeyRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def find(self, entry_id: int, key: str) -> KeyRecord | None:
        """Return the record of a key."""
        with self._lock:
            return self._records.get((entry_id, key))

    def items(self) -> list[tuple[tuple[int, str], KeyRecord]]:
        """Return all records."""
        with self._lock:
            return list(self._records.items())

    def claim(self, req: RequestStart, owner: str) -> tuple[KeyRecord, bool]:
        """Record a key; the flag says whether this request is the first under it."""
        with self._lock:
            place = (req.entry_id, req.idempotency_key)
            found = self._records.get(place)
            if found is not None:
                return found, False
            record = KeyRecord(fingerprint=fingerprint(req), owner=owner)
            self._records[place] = record
            self._evict()
            return record, True

    def release(self, req: RequestStart, record: KeyRecord) -> None:
        """Forget a key whose request provably did not run."""
        with self._lock:
            place = (req.entry_id, req.idempotency_key)
            if self._records.get(place) is record:
                del self._records[place]

    def merge(self, msg: KeyState) -> None:
        """Take over what another agent knows of a key; a known outcome stays."""
        with self._lock:
            place = (msg.entry_id, msg.key)
            record = self._records.get(place)
            if record is None:
                record = KeyRecord(fingerprint=msg.fingerprint, owner=msg.owner)
                self._records[place] = record
                self._evict()
            if record.ended.is_set():
                return
            record.owner = msg.owner
            if msg.ended:
                record.start, record.body = msg.start, msg.body
                record.refusal = msg.refusal
                record.ended.set()

    def forget(self, msg: ReleaseKey) -> None:
        """Free a key whose request provably did not run at the agent that owned it."""
        with self._lock:
            record = self._records.get((msg.entry_id, msg.key))
            if record is None or record.ended.is_set() or record.owner != msg.owner:
                return
            del self._records[(msg.entry_id, msg.key)]
        record.released = True
        record.ended.set()

    def _evict(self) -> None:
        while len(self._records) > MAX_RECORDS:
            self._records.popitem(last=False)
            self.evicted += 1


def fingerprint(req: RequestStart) -> bytes:
    """Return the digest by which a reuse of a key for another request is noticed."""
    return xxh3_128_digest(req.method + b"\0" + req.path + b"\0" + req.body)


class AnswerStore:
    """Collects an answer for a record while it is sent to the caller."""

    def __init__(self, *, record: KeyRecord) -> None:
        self._record = record
        self._parts: list[bytes] = []
        self._size = 0

    def add(self, msg: AnswerStart | AnswerChunk) -> None:
        """Add a part of the answer; an answer that is too large is not stored."""
        if isinstance(msg, AnswerStart):
            self._record.start = msg
            return
        self._size += len(msg.data)
        if self._size <= MAX_STORED_ANSWER_BYTES:
            self._parts.append(msg.data)
        if msg.last and self._size <= MAX_STORED_ANSWER_BYTES:
            self._record.body = b"".join(self._parts)
