"""Small helpers on sockets."""

from __future__ import annotations

import select
import socket
import threading
from collections.abc import Iterator
from typing import Final

from lentilcourse.clocks import MS_PER_S
from lentilcourse.options import Address

SOCKET_POLL_S: Final = 0.25
SOCKET_BUFFER_BYTES: Final = 4 * 1024 * 1024
MAX_DATAGRAM_BYTES: Final = 65535
ACCEPT_RETRY_S: Final = 0.1
"""Time until the next try when a connection cannot be accepted, as without a free descriptor."""


def is_readable(sock: socket.socket, timeout_s: float) -> bool:
    """Return whether a socket has data, its end, or an error, within a time."""
    if sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(timeout_s * MS_PER_S))


def accept_until(
    listener: socket.socket, stop: threading.Event
) -> Iterator[tuple[socket.socket, tuple[str, int]]]:
    """Yield accepted connections and their remote addresses until `stop` is set.

    The listener's timeout bounds the time in which the stop is noticed.
    """
    while not stop.is_set():
        try:
            yield listener.accept()
        except TimeoutError:
            continue
        except OSError:
            stop.wait(timeout=ACCEPT_RETRY_S)


def open_datagram_socket(address: Address) -> socket.socket:
    """Return a bound UDP socket whose receive call polls the stop signal."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    sock.bind(address.pair())
    sock.settimeout(SOCKET_POLL_S)
    return sock
