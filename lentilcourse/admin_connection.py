"""Serves one connection of the local HTTP server."""

from __future__ import annotations

from collections.abc import Callable

import h11

from lentilcourse.admin import AdminAnswer
from lentilcourse.http_server import (
    HttpRequest,
    HttpRequestError,
    HttpServerConnection,
    WaitCheck,
)
from lentilcourse.sockets import Accepted


def serve_connection(
    accepted: Accepted, answer: Callable[[HttpRequest], AdminAnswer], keep_waiting: WaitCheck
) -> None:
    """Answer the requests of a connection until either end closes it."""
    conn = HttpServerConnection(sock=accepted.sock, opened_after=accepted.opened_after)
    try:
        while conn.wait_for_request(keep_waiting):
            req = conn.read_request()
            if req is None:
                return
            _send(conn, answer(req))
            if not conn.reuse():
                return
    except HttpRequestError as exc:
        _send(conn, AdminAnswer(status=exc.status, body=str(exc).encode()))
    except (OSError, h11.ProtocolError):
        return
    finally:
        conn.close()


def _send(conn: HttpServerConnection, answer: AdminAnswer) -> None:
    if conn.can_respond():
        headers = [(b"content-type", answer.content_type.encode())]
        conn.respond(answer.status, headers, answer.body)
