"""Small helpers on sockets."""

from __future__ import annotations

import select
import socket

from lentilcourse.clocks import MS_PER_S


def is_readable(sock: socket.socket, timeout_s: float) -> bool:
    """Return whether a socket has data, its end, or an error, within a time."""
    if sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(timeout_s * MS_PER_S))
