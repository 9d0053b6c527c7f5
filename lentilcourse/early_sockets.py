"""Opens the UDP sockets of a process before the rest of it is imported.

A process on a small VM is ready about a second after its start. What callers and other processes
send meanwhile waits in the sockets that are open already, and is handled once the process is ready;
otherwise it would be lost, and callers would send it again only after up to 1.6 s. This module
imports as little as it can.
"""

from __future__ import annotations

import configparser
import socket
from typing import Final

RECEIVE_BUFFER_BYTES: Final = 4 * 1024 * 1024
EARLY_ADDRESSES: Final = (
    ("steering", "packet_address"),
    ("steering", "peer_address"),
    ("steering", "outbound_address"),
)
"""Sections and keys of the addresses whose sockets are opened early."""

_opened: dict[tuple[str, int], socket.socket] = {}


def open_early_sockets(file: str) -> None:
    """Open the UDP sockets that a settings file names.

    What cannot be read or bound is left out: the checked settings, or the role that needs the
    socket, report it.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read(file, encoding="utf-8")
    except (configparser.Error, UnicodeDecodeError):
        return
    for section, key in EARLY_ADDRESSES:
        host, _, port = parser.get(section, key, fallback="").rpartition(":")
        if not port.isdecimal():
            continue
        try:
            _opened[host, int(port)] = bind_datagram_socket((host, int(port)))
        except (OSError, OverflowError):
            continue


def bind_datagram_socket(address: tuple[str, int]) -> socket.socket:
    """Return a new UDP socket bound to a host and port; raises `OSError`."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.bind(address)
    except BaseException:
        sock.close()
        raise
    return sock


def take_datagram_socket(address: tuple[str, int]) -> socket.socket:
    """Return the early socket of an address, or a new one; raises `OSError`."""
    return _opened.pop(address, None) or bind_datagram_socket(address)
