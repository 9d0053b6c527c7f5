"""Properties of the sockets that are open before a process is ready."""

from __future__ import annotations

import socket
import tempfile
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from lentilcourse.early_sockets import open_early_sockets, take_datagram_socket
from lentilcourse.kernel.lifecycle import Lifecycle
from lentilcourse.options import Address
from lentilcourse.steering.loops import DatagramLoop
from properties import prop


def free_port():
    """Return a UDP port that is free on loopback."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def open_from(text):
    """Open the early sockets of a settings file with a text."""
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "settings.ini"
        file.write_text(text, encoding="utf-8")
        open_early_sockets(str(file))


@prop("sockets.packets_wait_for_the_process")
def check_waiting():
    """Packets that arrive while a process is still being imported are handled once it runs.

    On 0.12 of a core that takes over a second, in which callers were not heard (all power lost).
    """
    address = Address(host="127.0.0.1", port=free_port())
    open_from(f"[steering]\npacket_address = {address}\npeer_address = 127.0.0.1:{free_port()}\n")
    sent = [f"packet {number}".encode() for number in range(200)]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as caller:
        for datagram in sent:
            caller.sendto(datagram, address.pair())
    lifecycle, handled = Lifecycle(), []

    def handle(datagram, now):
        handled.append(datagram)
        if len(handled) == len(sent):
            lifecycle.stopped.set()

    loop = DatagramLoop(address=address, lifecycle=lifecycle)
    loop.run(handle)
    assert handled == sent
    for closer in lifecycle._closers:
        closer()


@prop("sockets.bad_settings_are_left_to_the_check")
@given(st.one_of(st.text(max_size=60), st.sampled_from(["x", "1.2.3.4:99999", ":1", "a:1", "%s"])))
def check_bad(text):
    """Settings that cannot be read or bound open no early socket, and raise nothing."""
    open_from(f"[steering]\npacket_address = {text}\n")
    open_from(text)


@prop("sockets.taken_once")
def check_taken():
    """An early socket is handed out once."""
    address = ("127.0.0.1", free_port())
    open_from(f"[steering]\npeer_address = {address[0]}:{address[1]}\n")
    with take_datagram_socket(address):
        try:
            take_datagram_socket(address).close()
        except OSError:
            return
    raise AssertionError("the address was bound twice")
