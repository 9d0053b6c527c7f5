"""HTTP/1.1 client for requests to the target.

Each request uses its own connection: closing it cancels the request, and a failure to connect
proves that the request never reached the target.
"""

from __future__ import annotations

import contextlib
import socket
import time
from collections.abc import Iterator
from typing import Final

import attrs
import h11

from lentilcourse.clocks import MS_PER_S
from lentilcourse.errors import TargetFailedError
from lentilcourse.messages.base import Header
from lentilcourse.messages.requests import RequestStart
from lentilcourse.options import Address

CONNECT_TIMEOUT_S: Final = 0.5
ANSWER_TIMEOUT_S: Final = 60.0
CHUNK_BYTES: Final = 64 * 1024
HEADER_TIMEOUT: Final = b"request-timeout-ms"
HEADER_RAN: Final = b"refusal-ran"
STATUS_SHED: Final = 503
HOP_BY_HOP_ANSWER: Final = frozenset({b"connection", b"keep-alive", b"transfer-encoding"})
HOP_BY_HOP_REQUEST: Final = frozenset({b"connection", b"content-length", b"transfer-encoding"})


class NotDeliveredError(TargetFailedError):
    """The connection to the target failed; the request has not run."""


class DeadlineError(TargetFailedError):
    """The deadline passed before the response was complete."""


@attrs.frozen(kw_only=True)
class AnswerHead:
    """Status and end-to-end header fields of a response."""

    status: int
    headers: tuple[Header, ...]

    def shed(self) -> bool:
        """Return whether the target reports that it shed the request without running it."""
        states = [each.value for each in self.headers if each.name == HEADER_RAN]
        return self.status == STATUS_SHED and states == [b"no"]


class TargetExchange:
    """One HTTP request to the target and its response."""

    def __init__(self, *, address: Address, deadline: float) -> None:
        self._address = address
        self._deadline = deadline
        self._conn = h11.Connection(h11.CLIENT)
        self._sock: socket.socket | None = None

    def connect(self, now: float) -> None:
        """Connect to the target; raises `NotDeliveredError`."""
        timeout = min(CONNECT_TIMEOUT_S, max(0.001, self._deadline - now))
        try:
            self._sock = socket.create_connection(self._address.pair(), timeout=timeout)
        except OSError as exc:
            raise NotDeliveredError(str(exc)) from exc

    def send(self, req: RequestStart, now: float) -> None:
        """Send the whole request; once this is called, the request may have run."""
        headers = [
            (each.name, each.value)
            for each in req.headers
            if each.name not in HOP_BY_HOP_REQUEST and each.name != HEADER_TIMEOUT
        ]
        headers.append((b"content-length", str(len(req.body)).encode()))
        headers.append((b"connection", b"close"))
        if self._deadline != float("inf"):
            left_ms = max(1, int((self._deadline - now) * MS_PER_S))
            headers.append((HEADER_TIMEOUT, str(left_ms).encode()))
        head = h11.Request(method=req.method, target=req.path, headers=headers)
        data = self._conn.send(head) or b""
        if req.body:
            data += self._conn.send(h11.Data(data=req.body)) or b""
        data += self._conn.send(h11.EndOfMessage()) or b""
        self._write(data)

    def read_head(self) -> AnswerHead:
        """Return the status and header fields of the response; raises `TargetFailedError`."""
        while True:
            event = self._next_event()
            if isinstance(event, h11.Response):
                headers = tuple(
                    Header(name=name, value=value)
                    for name, value in event.headers
                    if name not in HOP_BY_HOP_ANSWER
                )
                return AnswerHead(status=event.status_code, headers=headers)
            if not isinstance(event, h11.InformationalResponse):
                raise TargetFailedError("connection closed before a response")

    def read_body(self) -> Iterator[bytes]:
        """Yield the parts of the body; raises `TargetFailedError` if the body is incomplete."""
        while True:
            event = self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return
            if not isinstance(event, h11.Data):
                raise TargetFailedError("answer broke off")
            yield bytes(event.data)

    def close(self) -> None:
        """Close the connection, which cancels the request if it is still running."""
        sock = self._sock
        if sock is None:
            return
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
        sock.close()

    def _write(self, data: bytes) -> None:
        assert self._sock is not None
        try:
            self._sock.settimeout(self._remaining_s())
            self._sock.sendall(data)
        except TimeoutError as exc:
            raise DeadlineError(str(exc)) from exc
        except OSError as exc:
            raise TargetFailedError(str(exc)) from exc

    def _next_event(self) -> object:
        assert self._sock is not None
        while True:
            try:
                event = self._conn.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self._sock.settimeout(self._remaining_s())
                self._conn.receive_data(self._sock.recv(CHUNK_BYTES))
            except TimeoutError as exc:
                raise DeadlineError(str(exc)) from exc
            except (OSError, h11.ProtocolError) as exc:
                raise TargetFailedError(str(exc)) from exc

    def _remaining_s(self) -> float:
        left = min(ANSWER_TIMEOUT_S, self._deadline - time.monotonic())
        if left <= 0:
            raise DeadlineError("deadline has passed")
        return left
