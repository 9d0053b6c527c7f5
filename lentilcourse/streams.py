"""Authenticated message streams over TCP.

A stream carries `messages` in order. Both ends prove a shared key with a challenge (HMAC
with SHA-256, RFC 2104) before anything else. Each end sends a heartbeat on an idle stream and
treats silence past `HEARTBEAT_DEADLINE_S` as a lost connection, so a stream that goes silent
for good is noticed while new connections still work. A task in `receive` notices it by its
timeout; for streams that no task reads at the moment, the heartbeat task does.
"""

from __future__ import annotations

import contextlib
import hmac
import secrets
import socket
import threading
import time
import weakref
from collections import deque
from collections.abc import Callable, Mapping
from typing import Final

import attrs

from lentilcourse import error_texts
from lentilcourse.clocks import boot_time_s
from lentilcourse.codec import MAX_MESSAGE_BYTES, encode_message, new_unpacker, read_message
from lentilcourse.errors import (
    AuthenticationError,
    LentilcourseError,
    PoolFullError,
    ProtocolError,
    StreamClosedError,
    StreamError,
)
from lentilcourse.kernel.lifecycle import Lifecycle
from lentilcourse.kernel.tasks import TaskPool
from lentilcourse.logs import get_logger
from lentilcourse.messages.base import Challenge, Failure, Heartbeat, Hello, Welcome
from lentilcourse.options import Address
from lentilcourse.sockets import accept_until, is_readable

HEARTBEAT_INTERVAL_S: Final = 0.5
HEARTBEAT_DEADLINE_S: Final = 2.0
CONNECT_TIMEOUT_S: Final = 0.3
"""Time for a connection to open: several round trips between regions. A VM that is down answers
nothing, and a lost opening packet is sent again only after a second."""
HANDSHAKE_TIMEOUT_S: Final = 1.0
HANDSHAKE_MAX_BYTES: Final = 4096
NONCE_BYTES: Final = 16
RECEIVE_BYTES: Final = 256 * 1024
ACCEPT_POLL_S: Final = 0.5
LISTEN_BACKLOG: Final = 256

KIND_PROCESS: Final = "process"
KIND_OPERATOR: Final = "operator"

_log = get_logger(__name__)


@attrs.frozen(kw_only=True)
class Identity:
    """What one end proves itself with."""

    name: str
    kind: str
    key: bytes


@attrs.frozen(kw_only=True)
class KeyRing:
    """The keys that an accepting process knows."""

    cluster_key: bytes
    operator_keys: Mapping[str, bytes] = attrs.field(factory=dict)

    def find(self, kind: str, name: str) -> bytes:
        """Return the key of a peer; raises `AuthenticationError` for an unknown one."""
        if kind == KIND_PROCESS:
            return self.cluster_key
        key = self.operator_keys.get(name)
        if kind != KIND_OPERATOR or key is None:
            text = error_texts.PEER_UNKNOWN.format(kind=kind[:16], name=name[:64])
            raise AuthenticationError(text)
        return key


class Stream:
    """One end of an open stream; `send` may be called by any task, `receive` by one.

    Attributes:
        peer: name that the other end proved.
        kind: "process" or "operator".
        remote: address of the other end.
        heard_after: time after which the other end has sent what is received next (boot time): it
            has answered something that was sent at that time.
    """

    def __init__(self, *, sock: socket.socket, remote: str) -> None:
        self.peer = remote
        self.heard_after = boot_time_s()
        self.kind = KIND_PROCESS
        self.remote = remote
        self._sock = sock
        self._send_lock = threading.Lock()
        self._last_sent = time.monotonic()
        self._last_received = time.monotonic()
        self._receive_lock = threading.Lock()
        self._unread: deque[object] = deque()
        self._timeout_set = False
        self._closed = False
        self._limit_messages(HANDSHAKE_MAX_BYTES)

    @property
    def closed(self) -> bool:
        """Whether this end has closed the stream."""
        return self._closed

    def send(self, msg: object) -> None:
        """Send one message whole; raises `StreamError`."""
        packed = encode_message(msg)
        with self._send_lock:
            try:
                self._sock.sendall(packed)
            except OSError as exc:
                self.close()
                text = error_texts.STREAM_FAILED.format(peer=self.peer, cause=exc)
                raise StreamClosedError(text) from exc
            self._last_sent = time.monotonic()
            TRAFFIC.sent += len(packed)

    def receive(self) -> object:
        """Return the next message that is no heartbeat; raises `StreamError`."""
        with self._receive_lock:
            if self._unread:
                return self._unread.popleft()
            while True:
                msg = self._next_message()
                if not isinstance(msg, Heartbeat):
                    return msg

    def call(self, msg: object) -> object:
        """Send a request and return the next message."""
        self.send(msg)
        return self.receive()

    def set_timeout(self, seconds: float) -> None:
        """Set how long one `receive` or `send` may wait, in place of the heartbeat deadline."""
        self._timeout_set = True
        self._sock.settimeout(seconds)

    def close_if_silent(self, now: float) -> None:
        """Close a stream that no task reads and whose other end is gone or silent.

        What has come is read, since it shows life; messages are kept for `receive`.
        """
        if self._closed or not self._receive_lock.acquire(blocking=False):
            return
        try:
            while not self._unread and is_readable(self._sock, 0.0):
                self._feed()
                self._keep_unread()
            silent = now - self._last_received > HEARTBEAT_DEADLINE_S
            if silent and not is_readable(self._sock, 0.0):
                self.close()
        except LentilcourseError:
            self.close()
        finally:
            self._receive_lock.release()

    def close(self) -> None:
        """Close the stream; a task that waits in `receive` wakes up."""
        self._closed = True
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()

    def send_heartbeat_if_idle(self, now: float) -> None:
        """Send a heartbeat unless something was sent lately; never blocks."""
        if self._closed or now - self._last_sent < HEARTBEAT_INTERVAL_S:
            return
        if not self._send_lock.acquire(blocking=False):
            return
        try:
            self._send_heartbeat()
            self._last_sent = now
        finally:
            self._send_lock.release()

    def _send_heartbeat(self) -> None:
        packed = encode_message(Heartbeat())
        try:
            sent = self._sock.send(packed, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError:
            self.close()
            return
        TRAFFIC.sent += sent
        if sent != len(packed):
            self.close()

    def _limit_messages(self, max_bytes: int) -> None:
        self._unpacker = new_unpacker(max_bytes)

    def _established(self) -> None:
        self._limit_messages(MAX_MESSAGE_BYTES)
        self._sock.settimeout(HEARTBEAT_DEADLINE_S)

    def _next_message(self) -> object:
        while (msg := self._read_message()) is None:
            self._feed()
        return msg

    def _keep_unread(self) -> None:
        while (msg := self._read_message()) is not None:
            if not isinstance(msg, Heartbeat):
                self._unread.append(msg)

    def _read_message(self) -> object | None:
        """Return the next message that has come whole, None if there is none."""
        try:
            return read_message(self._unpacker)
        except ProtocolError:
            self.close()
            raise

    def _bound_silence(self, now: float) -> None:
        """Wait for data no longer than the heartbeat deadline after the last sign of life.

        The socket's timeout counts from the call, which is late if the reader was away.
        """
        silence_s = now - self._last_received
        if self._timeout_set or silence_s < HEARTBEAT_INTERVAL_S:
            return
        if not is_readable(self._sock, max(0.0, HEARTBEAT_DEADLINE_S - silence_s)):
            raise TimeoutError

    def _feed(self) -> None:
        try:
            self._bound_silence(time.monotonic())
            data = self._sock.recv(RECEIVE_BYTES)
        except TimeoutError as exc:
            self.close()
            raise StreamClosedError(error_texts.STREAM_SILENT.format(peer=self.peer)) from exc
        except OSError as exc:
            self.close()
            text = error_texts.STREAM_FAILED.format(peer=self.peer, cause=exc)
            raise StreamClosedError(text) from exc
        TRAFFIC.received += len(data)
        self._last_received = time.monotonic()
        if not data:
            self.close()
            raise StreamClosedError(error_texts.STREAM_CLOSED.format(peer=self.peer))
        try:
            self._unpacker.feed(data)
        except Exception as exc:
            self.close()
            raise ProtocolError(error_texts.MESSAGE_INVALID.format(cause=exc)) from exc


def connect_stream(
    address: Address, identity: Identity, timeout_s: float = CONNECT_TIMEOUT_S
) -> Stream:
    """Open a stream to `address` and prove `identity`; raises `StreamError`.

    `timeout_s` bounds the time until the connection is open.
    """
    sock = _connect(address, timeout_s)
    sock.settimeout(HANDSHAKE_TIMEOUT_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    stream = Stream(sock=sock, remote=str(address))
    try:
        _prove(stream, identity)
    except LentilcourseError:
        stream.close()
        raise
    _heartbeats.add(stream)
    return stream


def _connect(address: Address, timeout_s: float) -> socket.socket:
    """Open a connection; addresses are numbers, so nothing is looked up."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.settimeout(timeout_s)
    try:
        sock.connect(address.pair())
    except OSError as exc:
        sock.close()
        text = error_texts.STREAM_FAILED.format(peer=address, cause=exc)
        raise StreamClosedError(text) from exc
    return sock


def accept_stream(sock: socket.socket, remote: str, name: str, keys: KeyRing) -> Stream:
    """Complete the handshake of an accepted socket; raises `StreamError`."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.settimeout(HANDSHAKE_TIMEOUT_S)
    stream = Stream(sock=sock, remote=remote)
    try:
        _verify(stream, name, keys)
    except LentilcourseError:
        stream.close()
        raise
    _heartbeats.add(stream)
    return stream


def _prove(stream: Stream, identity: Identity) -> None:
    challenge = stream.receive()
    if not isinstance(challenge, Challenge):
        raise ProtocolError(error_texts.MESSAGE_UNEXPECTED.format(name=type(challenge).__name__))
    nonce = secrets.token_bytes(NONCE_BYTES)
    proof = _proof(identity.key, b"connect", challenge.nonce, nonce, identity.name)
    hello = Hello(name=identity.name, kind=identity.kind, nonce=nonce, proof=proof)
    welcome = stream.call(hello)
    if isinstance(welcome, Failure):
        raise AuthenticationError(welcome.text)
    if not isinstance(welcome, Welcome):
        raise ProtocolError(error_texts.MESSAGE_UNEXPECTED.format(name=type(welcome).__name__))
    expected = _proof(identity.key, b"accept", nonce, challenge.nonce, welcome.name)
    if not hmac.compare_digest(expected, welcome.proof):
        raise AuthenticationError(error_texts.PEER_UNPROVED.format(name=welcome.name))
    stream.peer = welcome.name
    stream._established()


def _verify(stream: Stream, name: str, keys: KeyRing) -> None:
    nonce = secrets.token_bytes(NONCE_BYTES)
    hello = stream.call(Challenge(nonce=nonce))
    if not isinstance(hello, Hello):
        raise ProtocolError(error_texts.MESSAGE_UNEXPECTED.format(name=type(hello).__name__))
    try:
        key = keys.find(hello.kind, hello.name)
        expected = _proof(key, b"connect", nonce, hello.nonce, hello.name)
        if not hmac.compare_digest(expected, hello.proof):
            raise AuthenticationError(error_texts.PEER_UNPROVED.format(name=hello.name[:64]))
    except AuthenticationError as exc:
        stream.send(Failure(code=type(exc).__name__, text=str(exc)))
        raise
    proof = _proof(key, b"accept", hello.nonce, nonce, name)
    stream.send(Welcome(name=name, proof=proof))
    stream.peer = hello.name
    stream.kind = hello.kind
    stream._established()


def _proof(key: bytes, side: bytes, nonce: bytes, own_nonce: bytes, name: str) -> bytes:
    parts = (side, nonce, own_nonce, name.encode())
    text = b"".join(len(part).to_bytes(4, "big") + part for part in parts)
    return hmac.digest(key, text, "sha256")


@attrs.define(kw_only=True)
class StreamTraffic:
    """Bytes on all streams of the process since its start."""

    sent: int = 0
    received: int = 0


TRAFFIC: Final = StreamTraffic()


class HeartbeatSender:
    """One task that sends the heartbeats of all streams of the process.

    It also watches the streams that no other task reads.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._streams: weakref.WeakSet[Stream] = weakref.WeakSet()

    def add(self, stream: Stream) -> None:
        """Send heartbeats on `stream` until it closes."""
        with self._lock:
            self._streams.add(stream)

    def run(self, lifecycle: Lifecycle) -> None:
        """Send heartbeats until the process has stopped."""
        while not lifecycle.stopped.wait(timeout=HEARTBEAT_INTERVAL_S / 2):
            now = time.monotonic()
            for stream in self._open_streams():
                stream.send_heartbeat_if_idle(now)
                stream.close_if_silent(now)

    def close_all(self) -> None:
        """Close every open stream, so that the tasks that read them end."""
        for stream in self._open_streams():
            stream.close()

    def _open_streams(self) -> list[Stream]:
        with self._lock:
            for stream in [each for each in self._streams if each.closed]:
                self._streams.discard(stream)
            return list(self._streams)


_heartbeats = HeartbeatSender()


def start_heartbeats(lifecycle: Lifecycle) -> None:
    """Start the heartbeat task of this process."""
    lifecycle.on_close(_heartbeats.close_all)
    pool = lifecycle.pool(name="heartbeat", limit=1)
    lifecycle.keep_running(pool, lambda: _heartbeats.run(lifecycle))


class StreamListener:
    """Accepts streams and runs one task for each.

    Attributes:
        rejected: connections refused because the pool was full or the key unproved.
    """

    def __init__(
        self,
        *,
        name: str,
        address: Address,
        keys: KeyRing,
        pool: TaskPool,
        lifecycle: Lifecycle,
        serve: Callable[[Stream], None],
        on_unproved: Callable[[str, str], None] | None = None,
    ) -> None:
        self._name = name
        self._keys = keys
        self._pool = pool
        self._lifecycle = lifecycle
        self._serve = serve
        self._on_unproved = on_unproved
        self.rejected = 0
        self._socket = bind_tcp(address)
        lifecycle.on_close(self._socket.close)

    def run(self) -> None:
        """Accept until the process has stopped."""
        for accepted in accept_until(self._socket, self._lifecycle.stopped):
            self._start(accepted.sock, accepted.remote)

    def _start(self, sock: socket.socket, remote: str) -> None:
        try:
            self._pool.submit(lambda: self._run_stream(sock, remote))
        except PoolFullError:
            self.rejected += 1
            sock.close()

    def _run_stream(self, sock: socket.socket, remote: str) -> None:
        try:
            stream = accept_stream(sock, remote, self._name, self._keys)
        except AuthenticationError as exc:
            self.rejected += 1
            if self._on_unproved is not None:
                self._on_unproved(remote, str(exc))
            return
        except StreamError:
            self.rejected += 1
            return
        try:
            self._serve(stream)
        except ProtocolError as exc:
            _log.warning("stream_protocol_error", peer=stream.peer, error=str(exc))
        except StreamError:
            pass
        finally:
            stream.close()


def bind_tcp(address: Address) -> socket.socket:
    """Return a listening TCP socket whose accept call polls the stop signal."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address.pair())
    sock.listen(LISTEN_BACKLOG)
    sock.settimeout(ACCEPT_POLL_S)
    return sock
