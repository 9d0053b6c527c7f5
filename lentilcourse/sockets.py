"""Small helpers on sockets."""

from __future__ import annotations

import select
import socket
import threading
from collections.abc import Iterator
from typing import Final

import attrs

from lentilcourse.clocks import MS_PER_S, boot_time_s
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


@attrs.frozen(kw_only=True)
class Accepted:
    """An accepted connection.

    Attributes:
        sock: its socket.
        remote: address of the other end, IP:PORT.
        opened_after: time at which the connection did not wait in the listener's queue yet (boot
            time). A process that was frozen finds old connections there.
    """

    sock: socket.socket
    remote: str
    opened_after: float


def accept_until(listener: socket.socket, stop: threading.Event) -> Iterator[Accepted]:
    """Yield accepted connections until `stop` is set.

    The listener's timeout bounds the time in which the stop is noticed.
    """
    empty_at = boot_time_s()
    while not stop.is_set():
        checked_at = boot_time_s()
        if not is_readable(listener, 0.0):
            empty_at = checked_at
        try:
            sock, (host, port) = listener.accept()
        except TimeoutError:
            continue
        except OSError:
            stop.wait(timeout=ACCEPT_RETRY_S)
            continue
        yield Accepted(sock=sock, remote=f"{host}:{port}", opened_after=empty_at)


def open_datagram_socket(address: Address) -> socket.socket:
    """Return a bound UDP socket whose receive call polls the stop signal."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    sock.bind(address.pair())
    sock.settimeout(SOCKET_POLL_S)
    return sock
