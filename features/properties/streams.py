"""Properties of streams: what nobody reads is watched, and nothing that came is lost."""

from __future__ import annotations

import socket
import time

from hypothesis import given
from hypothesis import strategies as st

from lentilcourse.codec import encode_message
from lentilcourse.errors import StreamError
from lentilcourse.messages.base import Heartbeat
from lentilcourse.messages.operators import StateRequest, StatusRequest
from lentilcourse.options import Address
from lentilcourse.streams import (
    HEARTBEAT_DEADLINE_S,
    KIND_PROCESS,
    Identity,
    Stream,
    connect_stream,
)
from properties import prop

MESSAGES = (Heartbeat(), StateRequest(), StatusRequest())


def open_pair():
    """Return a stream that nobody reads, and the socket of its other end."""
    near, far = socket.socketpair()
    near.settimeout(HEARTBEAT_DEADLINE_S)
    return Stream(sock=near, remote="far"), far


@prop("streams.unread_messages_are_kept")
@given(st.lists(st.lists(st.sampled_from(MESSAGES), max_size=4), max_size=6), st.integers(0, 6))
def check_kept(rounds, cut):
    """Watching reads what has come, in parts too, and `receive` returns it in order."""
    stream, far = open_pair()
    for number, msgs in enumerate(rounds):
        packed = b"".join(encode_message(msg) for msg in msgs)
        for part in (packed[:cut], packed[cut:]):
            far.sendall(part)
            stream.close_if_silent(stream._last_received + number % 2)
    assert not stream.closed
    expected = [msg for msgs in rounds for msg in msgs if not isinstance(msg, Heartbeat)]
    assert [stream.receive() for _ in expected] == expected
    far.close()
    stream.close()


@prop("streams.unread_silence_is_noticed")
@given(st.lists(st.sampled_from(MESSAGES), max_size=4), st.booleans())
def check_noticed(msgs, ends):
    """A stream whose other end is silent past the deadline, or has ended, is closed."""
    stream, far = open_pair()
    far.sendall(b"".join(encode_message(msg) for msg in msgs))
    stream.close_if_silent(stream._last_received)
    came = stream._last_received
    stream.close_if_silent(came + HEARTBEAT_DEADLINE_S / 2)
    assert not stream.closed
    if ends:
        far.close()
    stream.close_if_silent(came + HEARTBEAT_DEADLINE_S + 0.1)
    unread = any(not isinstance(msg, Heartbeat) for msg in msgs)
    assert stream.closed or (ends and unread)
    far.close()
    stream.close()


class UnreadableSocket(socket.socket):
    """A socket on which a wait in `recv` is an error."""

    def recv(self, size):
        raise AssertionError("waited for an end that is silent past the deadline")


@prop("streams.away_reader_is_not_late")
def check_not_late():
    """A reader that comes back after the deadline does not wait for a silent end."""
    near, far = socket.socketpair()
    stream = Stream(sock=UnreadableSocket(fileno=near.detach()), remote="far")
    stream._last_received -= 2 * HEARTBEAT_DEADLINE_S
    try:
        stream.receive()
    except StreamError:
        assert stream.closed
    else:
        raise AssertionError("a message came from nowhere")
    finally:
        far.close()


@prop("streams.dark_peer_is_given_up_soon")
def check_dark_peer():
    """A peer that does not answer the opening packet is given up well within its resend.

    A listener whose queue of new connections is full drops opening packets, as a VM without
    power does.
    """
    identity = Identity(name="a", kind=KIND_PROCESS, key=b"0123456789abcdef")
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        waiting = [socket.socket() for _ in range(4)]
        for sock in waiting:
            sock.setblocking(False)
            sock.connect_ex(listener.getsockname())
        host, port = listener.getsockname()
        began = time.monotonic()
        try:
            connect_stream(Address(host=host, port=port), identity)
        except StreamError:
            assert time.monotonic() - began < 0.6
        else:
            raise AssertionError("connected to a listener with a full queue")
        finally:
            for sock in waiting:
                sock.close()
