"""One accepted HTTP/1.1 connection, read and written with h11.

Used by the callers' edge of the balancer and by the local admin server. A request is read
whole within a size and a time, so that a slow or huge sender cannot hold a task for long.
"""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from typing import Final, TypeAlias

import attrs
import h11

from lentilcourse.clocks import boot_time_s
from lentilcourse.errors import LentilcourseError
from lentilcourse.messages.base import Header
from lentilcourse.sockets import is_readable

MAX_HEADER_BYTES: Final = 32 * 1024
MAX_BODY_BYTES: Final = 8 * 1024 * 1024
RECEIVE_BYTES: Final = 64 * 1024
REQUEST_READ_TIMEOUT_S: Final = 10.0
IDLE_TIMEOUT_S: Final = 60.0
IDLE_POLL_S: Final = 0.25
WRITE_TIMEOUT_S: Final = 10.0

WaitCheck: TypeAlias = Callable[[], bool]


class HttpRequestError(LentilcourseError):
    """A request that cannot be read; `status` is the HTTP status to answer with."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@attrs.frozen(kw_only=True)
class HttpRequest:
    """One request, read whole.

    Attributes:
        method: method.
        target: path and query.
        headers: header fields, names in lower case.
        body: body.
        sent_after: time at which no part of the request had arrived yet (boot time); the caller
            may have left since if the process was frozen.
        caller_left: returns whether the caller closes its side within a time in seconds.
    """

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes
    sent_after: float = float("-inf")
    caller_left: Callable[[float], bool] = lambda timeout_s: False

    def age_s(self, now: float) -> float:
        """Return the age that the request has at most at a boot time."""
        return now - self.sent_after

    def header(self, name: bytes) -> bytes | None:
        """Return the value of the first header field with a lower-case name."""
        return next((each.value for each in self.headers if each.name == name), None)


class HttpServerConnection:
    """Reads requests from, and writes answers to, one accepted socket."""

    def __init__(self, *, sock: socket.socket, opened_after: float = float("-inf")) -> None:
        self._sock = sock
        self._empty_at = opened_after
        self._conn = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def wait_for_request(self, keep_waiting: WaitCheck) -> bool:
        """Wait for the next request; returns False when the connection should end."""
        deadline = time.monotonic() + IDLE_TIMEOUT_S
        while keep_waiting() and time.monotonic() < deadline:
            if self._conn.trailing_data[0]:
                return True
            checked_at = boot_time_s()
            if is_readable(self._sock, 0.0):
                return True
            self._empty_at = checked_at
            if is_readable(self._sock, IDLE_POLL_S):
                return True
        return False

    def read_request(self) -> HttpRequest | None:
        """Read one request; None at a clean end, raises `HttpRequestError` for a bad one."""
        deadline = time.monotonic() + REQUEST_READ_TIMEOUT_S
        head = self._next_event(deadline)
        if isinstance(head, h11.ConnectionClosed):
            return None
        if not isinstance(head, h11.Request):
            raise HttpRequestError(400, "request expected")
        body = self._read_body(deadline)
        return HttpRequest(
            method=bytes(head.method),
            target=bytes(head.target),
            headers=tuple(Header(name=name, value=value) for name, value in head.headers),
            body=body,
            sent_after=self._empty_at,
            caller_left=self.caller_left,
        )

    def send_head(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send status and header fields of an answer."""
        self._send(h11.Response(status_code=status, headers=headers))

    def send_body(self, data: bytes) -> None:
        """Send a part of the body."""
        self._send(h11.Data(data=data))

    def finish(self) -> None:
        """End the answer; raises an error if the body is shorter than announced."""
        self._send(h11.EndOfMessage())

    def respond(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        """Send a whole answer."""
        length = str(len(body)).encode()
        self.send_head(status, [*headers, (b"content-length", length)])
        if body:
            self.send_body(body)
        self.finish()

    def reuse(self) -> bool:
        """Prepare for the next request; returns False if the connection must close."""
        if self._conn.our_state is not h11.DONE or self._conn.their_state is not h11.DONE:
            return False
        self._conn.start_next_cycle()
        return True

    def can_respond(self) -> bool:
        """Return whether an answer may still be started."""
        return self._conn.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    def caller_left(self, timeout_s: float = 0.0) -> bool:
        """Return whether the caller has closed its side, or does so within `timeout_s`.

        A socket with a timeout waits for it even when asked not to, so it is polled first.
        """
        if not is_readable(self._sock, timeout_s):
            return False
        try:
            data = self._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return not data

    def close(self) -> None:
        """Close the socket."""
        self._sock.close()

    def _read_body(self, deadline: float) -> bytes:
        parts: list[bytes] = []
        size = 0
        while True:
            event = self._next_event(deadline)
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, h11.Data):
                raise HttpRequestError(400, "request body broke off")
            size += len(event.data)
            if size > MAX_BODY_BYTES:
                raise HttpRequestError(413, f"request body above {MAX_BODY_BYTES} bytes")
            parts.append(bytes(event.data))

    def _next_event(self, deadline: float) -> object:
        while True:
            try:
                event = self._conn.next_event()
            except h11.RemoteProtocolError as exc:
                raise HttpRequestError(exc.error_status_hint, str(exc)) from exc
            if event is not h11.NEED_DATA:
                return event
            if self._conn.they_are_waiting_for_100_continue:
                self._send(h11.InformationalResponse(status_code=100, headers=[]))
            self._receive(deadline)

    def _receive(self, deadline: float) -> None:
        left = deadline - time.monotonic()
        if left <= 0:
            raise HttpRequestError(408, f"request not whole within {REQUEST_READ_TIMEOUT_S} s")
        self._sock.settimeout(left)
        try:
            data = self._sock.recv(RECEIVE_BYTES)
        except TimeoutError:
            raise HttpRequestError(
                408, f"request not whole within {REQUEST_READ_TIMEOUT_S} s"
            ) from None
        except OSError:
            data = b""
        self._conn.receive_data(data)

    def _send(self, event: h11.Event) -> None:
        data = self._conn.send(event)
        if data:
            self._sock.settimeout(WRITE_TIMEOUT_S)
            self._sock.sendall(data)
