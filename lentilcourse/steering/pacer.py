"""Paces the datagrams that a balancer sends to the rate of its link.

Callers send bursts of packets. The queue of a slow link holds only some of them and drops the
rest, also the packets of other callers. The pacer therefore keeps the queue itself. Flows take
turns (round robin), so that a single packet does not wait for another caller's burst. A packet that
its caller has retransmitted while it was waiting is sent once.
"""

from __future__ import annotations

import threading
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import Final, TypeAlias

import attrs

from lentilcourse.kernel.lifecycle import Lifecycle
from lentilcourse.steering.datagrams import Send

RATE_SHARE: Final = 0.95
"""Share of the link's rate that is used; the rest carries streams and health checks."""
BURST_S: Final = 0.01
"""Time of sending at the link's rate that may be sent at once after a pause."""
MAX_DELAY_S: Final = 1.0
"""Time of sending at the link's rate that may be queued."""
HEADER_BYTES: Final = 28
"""IPv4 and UDP headers of a datagram."""
BITS_PER_MBIT: Final = 1_000_000
BITS_PER_BYTE: Final = 8
IDLE_POLL_S: Final = 1.0

Clock: TypeAlias = Callable[[], float]


@attrs.define(kw_only=True)
class PacerCounts:
    """Datagrams that did not leave at once, since the process started."""

    queued: int = 0
    duplicates: int = 0
    dropped: int = 0


@attrs.frozen(kw_only=True)
class QueuedDatagram:
    """A datagram that waits for its turn, with the address that it is sent to."""

    datagram: bytes
    address: tuple[str, int]


class Pacer:
    """Queue of datagrams before a link; thread-safe.

    Attributes:
        counts: datagrams queued, dropped, and left out as duplicates.
    """

    def __init__(self, *, link_mbps: float, send: Send) -> None:
        self.counts = PacerCounts()
        self._rate = RATE_SHARE * link_mbps * BITS_PER_MBIT / BITS_PER_BYTE
        self._send = send
        self._lock = threading.Lock()
        self._filled = threading.Event()
        self._flows: OrderedDict[bytes, deque[QueuedDatagram]] = OrderedDict()
        self._queued_bytes = 0
        self._tokens = self._rate * BURST_S
        self._refilled_at = float("-inf")

    def submit(self, flow: bytes, datagram: bytes, address: tuple[str, int], now: float) -> None:
        """Send a datagram of a flow at once if the link is free, else queue it."""
        with self._lock:
            self._refill(now)
            if not self._flows and self._tokens > 0:
                self._send_now(datagram, address)
                return
            self._enqueue(flow, QueuedDatagram(datagram=datagram, address=address))
        self._filled.set()

    def release(self, now: float) -> float | None:
        """Send what is due; returns the time until the next datagram is due, None if none waits."""
        with self._lock:
            self._refill(now)
            while self._flows and self._tokens > 0:
                next_datagram = self._dequeue()
                self._send_now(next_datagram.datagram, next_datagram.address)
            return max(0.0, -self._tokens / self._rate) if self._flows else None

    def run(self, lifecycle: Lifecycle, clock: Clock) -> None:
        """Send queued datagrams until the process has stopped."""
        while not lifecycle.stopped.is_set():
            if not self._filled.wait(timeout=IDLE_POLL_S):
                continue
            self._filled.clear()
            wait_s = self.release(clock())
            while wait_s is not None and not lifecycle.stopped.wait(timeout=max(wait_s, BURST_S)):
                wait_s = self.release(clock())

    def _refill(self, now: float) -> None:
        elapsed_s = min(now - self._refilled_at, MAX_DELAY_S)
        self._tokens = min(self._tokens + elapsed_s * self._rate, self._rate * BURST_S)
        self._refilled_at = now

    def _send_now(self, datagram: bytes, address: tuple[str, int]) -> None:
        self._tokens -= len(datagram) + HEADER_BYTES
        self._send(datagram, address)

    def _enqueue(self, flow: bytes, queued: QueuedDatagram) -> None:
        waiting = self._flows.setdefault(flow, deque())
        if queued in waiting:
            self.counts.duplicates += 1
            return
        waiting.append(queued)
        self.counts.queued += 1
        self._queued_bytes += len(queued.datagram)
        if self._queued_bytes > self._rate * MAX_DELAY_S:
            self._drop_from_longest()

    def _dequeue(self) -> QueuedDatagram:
        flow, waiting = self._flows.popitem(last=False)
        queued = waiting.popleft()
        if waiting:
            self._flows[flow] = waiting
        self._queued_bytes -= len(queued.datagram)
        return queued

    def _drop_from_longest(self) -> None:
        """Drop the newest datagram of the flow with the most, so that short flows lose nothing."""
        flow = max(self._flows, key=lambda each: len(self._flows[each]))
        waiting = self._flows[flow]
        self._queued_bytes -= len(waiting.pop().datagram)
        if not waiting:
            del self._flows[flow]
        self.counts.dropped += 1
