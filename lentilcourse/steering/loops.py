"""Receive loops for the UDP sockets of steering; each runs in its own task."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable

import attrs

from lentilcourse.errors import PacketError
from lentilcourse.kernel.lifecycle import Lifecycle
from lentilcourse.logs import get_logger
from lentilcourse.options import Address
from lentilcourse.sockets import MAX_DATAGRAM_BYTES, open_datagram_socket

_log = get_logger(__name__)

DatagramHandler = Callable[[bytes, float], None]


@attrs.define(kw_only=True)
class DatagramCounts:
    """Datagrams and payload bytes that passed through one socket since its process started."""

    received: int = 0
    received_bytes: int = 0
    sent: int = 0
    sent_bytes: int = 0


class DatagramLoop:
    """Reads a UDP socket and passes each datagram to a handler; sending is thread-safe.

    Attributes:
        counts: datagrams and bytes received and sent.
        malformed: number of datagrams dropped as malformed.
        unsent: number of datagrams that the operating system refused to send.
        failed: number of datagrams whose handler raised an unexpected exception; each is logged,
            and the loop continues.
    """

    def __init__(self, *, address: Address, lifecycle: Lifecycle) -> None:
        self.counts = DatagramCounts()
        self.malformed = 0
        self.unsent = 0
        self.failed = 0
        self._lifecycle = lifecycle
        self._socket: socket.socket = open_datagram_socket(address)
        lifecycle.on_close(self._socket.close)

    def run(self, handle: DatagramHandler) -> None:
        """Receive datagrams until the process has stopped."""
        stopped = self._lifecycle.stopped
        receive = self._socket.recv
        clock = time.monotonic
        counts = self.counts
        while not stopped.is_set():
            try:
                datagram = receive(MAX_DATAGRAM_BYTES)
            except TimeoutError:
                continue
            except OSError:
                if stopped.is_set():
                    return
                continue
            counts.received += 1
            counts.received_bytes += len(datagram)
            try:
                handle(datagram, clock())
            except PacketError:
                self.malformed += 1
            except Exception:
                self.failed += 1
                _log.exception("datagram_failed", size=len(datagram))

    def send(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Send a datagram; if the operating system refuses it, it is counted as unsent."""
        try:
            self._socket.sendto(datagram, address)
        except OSError:
            self.unsent += 1
            return
        self.counts.sent += 1
        self.counts.sent_bytes += len(datagram)
