"""The platform's heartbeats of a server as a target interface plug-in of the agent."""

from __future__ import annotations

import time
from typing import Final
from urllib.parse import unquote

from lentilcourse.admin import AdminAnswer, AdminServer
from lentilcourse.clocks import MS_PER_S, boot_time_s
from lentilcourse.http_server import HttpRequest
from lentilcourse.logs import get_logger
from lentilcourse.options import parse_address
from lentilcourse.platform.fields import MalformedCallError, read_object, text, whole
from lentilcourse.steering.agent_role import TARGET_INTERFACES, TargetEvents
from lentilcourse.steering.target_watch import TargetReport, Verdict

INSTANCES_PATH: Final = "/instances/"
STATES: Final = {"ready": False, "draining": True}
ACKNOWLEDGED: Final = AdminAnswer(body=b"{}")

_log = get_logger(__name__)


def decode_heartbeat(target_id: str, body: bytes) -> TargetReport:
    """Return the announcement of a heartbeat; raises `MalformedCallError`.

    `coldLeftMs` is how much longer the server stays cold, not how long it has been.
    """
    fields = read_object(body)
    state = text(fields, "state")
    if state not in STATES:
        raise MalformedCallError(f"state: must be one of {', '.join(STATES)}")
    try:
        address = parse_address(text(fields, "address"))
    except ValueError as exc:
        raise MalformedCallError(f"address: {exc}") from exc
    return TargetReport(
        target_id=target_id,
        born_ms=whole(fields, "born", 0, default=0),
        sequence=whole(fields, "sequence", 0),
        service=text(fields, "service"),
        address=address,
        slots=whole(fields, "slots", 1),
        draining=STATES[state],
        cold_s=whole(fields, "coldLeftMs", 0, default=0) / MS_PER_S,
    )


class TargetCalls:
    """Calls of the server beside the agent."""

    def __init__(self, *, edge: TargetEvents) -> None:
        self._edge = edge

    def put_instance(self, req: HttpRequest) -> AdminAnswer:
        """PUT /instances/ID: a heartbeat."""
        try:
            report = decode_heartbeat(_target_id(req), req.body)
        except MalformedCallError as exc:
            _log.info("heartbeat_refused", error=str(exc))
            return AdminAnswer(status=400, content_type="text/plain", body=str(exc).encode())
        if self._edge.announce(report, time.monotonic()) is Verdict.FOREIGN:
            return AdminAnswer(status=400, body=b'{"error": "address of another target"}')
        return ACKNOWLEDGED

    def delete_instance(self, req: HttpRequest) -> AdminAnswer:
        """DELETE /instances/ID: the server is gone."""
        now = time.monotonic()
        self._edge.leave(_target_id(req), now - req.age_s(boot_time_s()), now)
        return ACKNOWLEDGED


def _target_id(req: HttpRequest) -> str:
    path = req.target.partition(b"?")[0].decode("ascii", "replace")
    return unquote(path.removeprefix(INSTANCES_PATH))


@TARGET_INTERFACES.register("platform-target")
def serve_target(edge: TargetEvents, server: AdminServer) -> None:
    """Add the server's calls to a listener."""
    calls = TargetCalls(edge=edge)
    server.add_prefix_route("PUT", INSTANCES_PATH, calls.put_instance)
    server.add_prefix_route("DELETE", INSTANCES_PATH, calls.delete_instance)
