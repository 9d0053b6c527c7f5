"""Idempotency records, which prevent a request from running twice under the same key.

A key is recorded at its home before its request is delivered. A second request with the same key
waits for the response to the first one, or gets the stored response; it never runs. Records of
requests with an unknown outcome are kept, since the request may have run.
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
    """Record of one idempotency key.

    Attributes:
        fingerprint: digest of the first request that used the key.
        owner: run of the agent that handles the request, as NAME/RUN.
        ended: set once the outcome is known, or can no longer be determined, or the key was
            released.
        released: whether the request certainly did not run, so the key may be used again.
        start: stored start of the response (status and headers).
        body: stored body of the response.
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
    """Idempotency records by entry and key, bounded by evicting the oldest.

    Attributes:
        evicted: number of evicted records; nothing is known about their keys any more.
    """

    def __init__(self) -> None:
        self.evicted = 0
        self._lock = threading.Lock()
        self._records: OrderedDict[tuple[int, str], KeyRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def find(self, entry_id: int, key: str) -> KeyRecord | None:
        """Return the record of a key, or None if there is none."""
        with self._lock:
            return self._records.get((entry_id, key))

    def items(self) -> list[tuple[tuple[int, str], KeyRecord]]:
        """Return all records."""
        with self._lock:
            return list(self._records.items())

    def claim(self, req: RequestStart, owner: str) -> tuple[KeyRecord, bool]:
        """Return the record of a request's key and whether this call created it."""
        with self._lock:
            record_key = (req.entry_id, req.idempotency_key)
            found = self._records.get(record_key)
            if found is not None:
                return found, False
            record = KeyRecord(fingerprint=fingerprint(req), owner=owner)
            self._records[record_key] = record
            self._evict()
            return record, True

    def release(self, req: RequestStart, record: KeyRecord) -> None:
        """Remove the record of a key whose request certainly did not run."""
        with self._lock:
            record_key = (req.entry_id, req.idempotency_key)
            if self._records.get(record_key) is record:
                del self._records[record_key]

    def merge(self, msg: KeyState) -> None:
        """Merge a record of another agent; an outcome that is already known is kept."""
        with self._lock:
            record_key = (msg.entry_id, msg.key)
            record = self._records.get(record_key)
            if record is None:
                record = KeyRecord(fingerprint=msg.fingerprint, owner=msg.owner)
                self._records[record_key] = record
                self._evict()
            if record.ended.is_set():
                return
            record.owner = msg.owner
            if msg.ended:
                record.start, record.body = msg.start, msg.body
                record.refusal = msg.refusal
                record.ended.set()

    def forget(self, msg: ReleaseKey) -> None:
        """Remove the record of a key whose owner reports that its request did not run.

        Does nothing if the outcome is already known or the record has another owner.
        """
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
    """Return the digest that detects reuse of a key for a different request."""
    return xxh3_128_digest(req.method + b"\0" + req.path + b"\0" + req.body)


class AnswerStore:
    """Stores a response in its record while it is streamed to the caller."""

    def __init__(self, *, record: KeyRecord) -> None:
        self._record = record
        self._parts: list[bytes] = []
        self._size = 0

    def add(self, msg: AnswerStart | AnswerChunk) -> None:
        """Add a part of the response; bodies over `MAX_STORED_ANSWER_BYTES` are not stored."""
        if isinstance(msg, AnswerStart):
            self._record.start = msg
            return
        self._size += len(msg.data)
        if self._size <= MAX_STORED_ANSWER_BYTES:
            self._parts.append(msg.data)
        if msg.last and self._size <= MAX_STORED_ANSWER_BYTES:
            self._record.body = b"".join(self._parts)
