"""Local HTTP server of each process: metrics, health, and routes of the role.

GET /metrics returns Prometheus' text format, GET /healthz returns 200 while the process
takes new work. An agent adds the routes on which its target announces itself.

The HTTP library is imported by the first connection: small VMs pay for each import at each
restart, and packets need none of it.
"""

from __future__ import annotations

import json
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Final, TypeAlias

import attrs

from lentilcourse.errors import LentilcourseError, PoolFullError
from lentilcourse.kernel.lifecycle import Lifecycle
from lentilcourse.logs import get_logger
from lentilcourse.metrics import Metrics
from lentilcourse.options import Address
from lentilcourse.sockets import Accepted, accept_until
from lentilcourse.streams import bind_tcp

if TYPE_CHECKING:
    from lentilcourse.http_server import HttpRequest
    from lentilcourse.refusals import RefusalCounts

MAX_CONNECTIONS: Final = 32

_log = get_logger(__name__)


@attrs.frozen(kw_only=True)
class AdminAnswer:
    """Answer of a route."""

    status: int = 200
    content_type: str = "application/json"
    body: bytes = b""


AdminRoute: TypeAlias = "Callable[[HttpRequest], AdminAnswer]"


class AdminServer:
    """Serves the routes that the process has added."""

    def __init__(self, *, address: Address | None, lifecycle: Lifecycle) -> None:
        self._address = address
        self._lifecycle = lifecycle
        self._routes: dict[tuple[bytes, bytes], AdminRoute] = {}
        self._prefix_routes: list[tuple[bytes, bytes, AdminRoute]] = []
        self._ready_checks: list[Callable[[], bool]] = []
        self._pool = lifecycle.pool(name="admin", limit=MAX_CONNECTIONS)
        self.add_route("GET", "/healthz", self._health)

    def add_route(self, method: str, path: str, route: AdminRoute) -> None:
        """Serve `route` for a method and path."""
        self._routes[(method.encode(), path.encode())] = route

    def add_prefix_route(self, method: str, prefix: str, route: AdminRoute) -> None:
        """Serve `route` for a method and every path that begins with `prefix`."""
        self._prefix_routes.append((method.encode(), prefix.encode(), route))

    def add_ready_check(self, check: Callable[[], bool]) -> None:
        """Answer that the process takes new work only while `check` holds."""
        self._ready_checks.append(check)

    def add_metrics(self, metrics: Metrics) -> None:
        """Serve the metrics of the process."""

        def read(req: HttpRequest) -> AdminAnswer:
            return AdminAnswer(content_type="text/plain; version=0.0.4", body=metrics.text())

        self.add_route("GET", "/metrics", read)

    def add_refusals(self, refusals: RefusalCounts) -> None:
        """Serve refusals by their id, at /refusal?id=ID."""

        def read(req: HttpRequest) -> AdminAnswer:
            from urllib.parse import parse_qs  # noqa: PLC0415 - small VMs pay for each import

            query = req.target.partition(b"?")[2].decode("ascii", "replace")
            found = refusals.find(parse_qs(query).get("id", [""])[0])
            if found is None:
                return AdminAnswer(status=404, body=b'{"error": "no such refusal here"}')
            return AdminAnswer(body=json.dumps(attrs.asdict(found)).encode())

        self.add_route("GET", "/refusal", read)

    def start(self) -> None:
        """Start accepting connections."""
        if self._address is None:
            return
        listener = bind_tcp(self._address)
        self._lifecycle.on_close(listener.close)
        self._lifecycle.keep_running(self._pool, lambda: self._accept(listener))

    def _accept(self, listener: socket.socket) -> None:
        for accepted in accept_until(listener, self._lifecycle.stopped):
            self._serve_in_task(accepted)

    def _serve_in_task(self, accepted: Accepted) -> None:
        try:
            self._pool.submit(lambda: self._serve(accepted))
        except PoolFullError:
            accepted.sock.close()

    def _serve(self, accepted: Accepted) -> None:
        from lentilcourse.admin_connection import serve_connection  # noqa: PLC0415

        serve_connection(accepted, self.answer, lambda: not self._lifecycle.stopped.is_set())

    def answer(self, req: HttpRequest) -> AdminAnswer:
        """Return the answer to a request."""
        path = req.target.partition(b"?")[0]
        route = self._find_route(req.method, path)
        if route is None:
            return AdminAnswer(status=404, body=b'{"error": "no such route"}')
        try:
            return route(req)
        except LentilcourseError as exc:
            return AdminAnswer(status=400, content_type="text/plain", body=str(exc).encode())
        except Exception:
            _log.exception("route_failed", method=req.method.decode("ascii", "replace"))
            return AdminAnswer(status=500, body=b'{"error": "internal error"}')

    def _find_route(self, method: bytes, path: bytes) -> AdminRoute | None:
        exact = self._routes.get((method, path))
        if exact is not None:
            return exact
        for route_method, prefix, route in self._prefix_routes:
            if route_method == method and path.startswith(prefix):
                return route
        return None

    def _health(self, req: HttpRequest) -> AdminAnswer:
        if self._lifecycle.stopping.is_set():
            return AdminAnswer(status=503, body=b'{"state": "stopping"}')
        if not all(check() for check in self._ready_checks):
            return AdminAnswer(status=503, body=b'{"state": "starting"}')
        return AdminAnswer(body=b'{"state": "serving"}')
