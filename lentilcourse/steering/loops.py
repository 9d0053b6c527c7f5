"""Socket loops of steering: one task for each socket."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable

from lentilcourse.errors import PacketError
from lentilcourse.kernel.lifecycle import Lifecycle
from lentilcourse.logs import get_logger
from lentilcourse.options import Address
from lentilcourse.sockets import MAX_DATAGRAM_BYTES, open_datagram_socket

_log = get_logger(__name__)

Take = Callable[[bytes, float], None]


class DatagramLoop:
    """Reads one UDP socket and hands each datagram on; sends may come from any task.

    Attributes:
        malformed: datagrams that could not be read and were dropped.
        unsent: datagrams that the system did not take.
        failed: datagrams at which a defect showed; each is logged, and the loop goes on.
    """

    def __init__(self, *, address: Address, lifecycle: Lifecycle) -> None:
        self.malformed = 0
        self.unsent = 0
        self.failed = 0
        self._lifecycle = lifecycle
        self._socket: socket.socket = open_datagram_socket(address)
        lifecycle.on_close(self._socket.close)

    def run(self, take: Take) -> None:
        """Read until the process has stopped."""
        stopped = self._lifecycle.stopped
        receive = self._socket.recv
        clock = time.monotonic
        while not stopped.is_set():
            try:
                datagram = receive(MAX_DATAGRAM_BYTES)
            except TimeoutError:
                continue
            except OSError:
                if stopped.is_set():
                    return
                continue
            try:
                take(datagram, clock())
            except PacketError:
                self.malformed += 1
            except Exception:
                self.failed += 1
                _log.exception("datagram_failed", size=len(datagram))

    def send(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Send one datagram; one that the system does not take is counted as unsent."""
        try:
            self._socket.sendto(datagram, address)
        except OSError:
            self.unsent += 1
