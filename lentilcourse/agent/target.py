"""Health of the local target, derived from its announcements.

The target posts JSON to the agent's admin address at least every second. The agent derives its
health from these announcements: SERVING, DRAINING, SILENT (announcements have stopped; the target
may be frozen, so its flows are kept) or GONE (the target announced that it is leaving, or
announcements have stopped and its address refuses connections).
"""

from __future__ import annotations

import enum
import socket
import threading
import time
from collections.abc import Callable
from typing import Final

import attrs

from lentilcourse.admin import AdminAnswer, AdminServer
from lentilcourse.codec import structure
from lentilcourse.errors import LentilcourseError
from lentilcourse.http_server import HttpRequest
from lentilcourse.json_text import read_json
from lentilcourse.kernel.lifecycle import Lifecycle
from lentilcourse.logs import get_logger
from lentilcourse.messages.state import Announcement
from lentilcourse.options import Address, AgentSettings, parse_address, parse_name

ANNOUNCEMENT_LIFE_S: Final = 1.5
CHECK_INTERVAL_S: Final = 0.2
PROBE_TIMEOUT_S: Final = 0.3

_log = get_logger(__name__)


class TargetHealth(enum.Enum):
    """Health of the target as seen by its agent."""

    UNKNOWN = "unknown"
    SERVING = "serving"
    DRAINING = "draining"
    SILENT = "silent"
    GONE = "gone"


class InvalidAnnouncementError(LentilcourseError):
    """A target's announcement is malformed or has invalid values."""


@attrs.frozen(kw_only=True)
class TargetAnnouncement:
    """Body of a target's POST to /announce.

    Attributes:
        service: service that the target belongs to.
        incarnation: identifier of the target process; changes with each restart.
        slots: maximum number of concurrent requests.
        connections: maximum number of open flows.
        udp_address: address for flows, IP:PORT; empty for none.
        http_address: address for requests, IP:PORT; empty for none.
        state: "serving", "draining" or "leaving".
        utilisation: load reported by the target, 0 to 1; informational only.
    """

    service: str
    incarnation: str
    slots: int
    connections: int
    udp_address: str = ""
    http_address: str = ""
    state: str = "serving"
    utilisation: float = 0.0


def read_announcement(body: bytes) -> TargetAnnouncement:
    """Parse and validate an announcement; raises `InvalidAnnouncementError`."""
    try:
        announcement = structure(read_json(body), TargetAnnouncement)
        parse_name(announcement.service)
        for text in (announcement.udp_address, announcement.http_address):
            if text:
                parse_address(text)
    except Exception as exc:
        raise InvalidAnnouncementError(f"announcement: {exc}") from exc
    if announcement.state not in ("serving", "draining", "leaving"):
        raise InvalidAnnouncementError(f"state: {announcement.state!r}")
    if announcement.slots < 1 or announcement.connections < 1:
        raise InvalidAnnouncementError("slots and connections must be at least 1")
    return announcement


class TargetMonitor:
    """Derives the health of the target from its announcements.

    Attributes:
        on_change: called after each change of health.
    """

    def __init__(self, *, name: str, domain: str, cfg: AgentSettings, lifecycle: Lifecycle) -> None:
        self._name = name
        self._domain = domain
        self._cfg = cfg
        self._lifecycle = lifecycle
        self._lock = threading.Lock()
        self._last: TargetAnnouncement | None = None
        self._received_at = float("-inf")
        self._health = TargetHealth.UNKNOWN
        self.on_change: Callable[[], None] = lambda: None

    @property
    def last(self) -> TargetAnnouncement | None:
        """The latest announcement of the target, None before the first one."""
        return self._last

    @property
    def health(self) -> TargetHealth:
        """Current health of the target."""
        return self._health

    def add_routes(self, admin: AdminServer) -> None:
        """Register the route that receives announcements."""
        admin.add_route("POST", "/announce", self._handle_announcement)

    def announcement(self) -> Announcement | None:
        """Return the announcement for the controllers.

        None before the target's first announcement and while the target is silent.
        """
        last = self._last
        if last is None or self._health is TargetHealth.SILENT:
            return None
        return Announcement(
            service=last.service,
            domain=self._domain,
            incarnation=last.incarnation,
            draining=self._health is TargetHealth.DRAINING,
            leaving=self._health is TargetHealth.GONE,
            data_address=str(self._cfg.data_address),
            stream_address=str(self._cfg.advertised_stream_address),
            slots=last.slots,
            connections=last.connections,
        )

    def run(self) -> None:
        """Check for missing announcements until the process has stopped."""
        while not self._lifecycle.stopped.wait(timeout=CHECK_INTERVAL_S):
            if time.monotonic() - self._received_at > ANNOUNCEMENT_LIFE_S:
                self._check_unresponsive()

    def flow_address(self) -> Address | None:
        """Return the target's address for flows, None if it has none."""
        last = self._last
        return parse_address(last.udp_address) if last and last.udp_address else None

    def request_address(self) -> Address | None:
        """Return the target's address for requests, None if it has none."""
        last = self._last
        return parse_address(last.http_address) if last and last.http_address else None

    def _handle_announcement(self, req: HttpRequest) -> AdminAnswer:
        announcement = read_announcement(req.body)
        with self._lock:
            self._last = announcement
            self._received_at = time.monotonic()
        self._set_health(_announced_health(announcement))
        return AdminAnswer(body=b"{}")

    def _check_unresponsive(self) -> None:
        address = self.request_address()
        if self._last is None or self._health is TargetHealth.GONE:
            return
        gone = address is not None and _refuses_connections(address)
        self._set_health(TargetHealth.GONE if gone else TargetHealth.SILENT)

    def _set_health(self, health: TargetHealth) -> None:
        if health is not self._health:
            _log.info("target_health", before=self._health.value, after=health.value)
            self._health = health
            self.on_change()


def _announced_health(announcement: TargetAnnouncement) -> TargetHealth:
    if announcement.state == "leaving":
        return TargetHealth.GONE
    if announcement.state == "draining":
        return TargetHealth.DRAINING
    return TargetHealth.SERVING


def _refuses_connections(address: Address) -> bool:
    try:
        socket.create_connection(address.pair(), timeout=PROBE_TIMEOUT_S).close()
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    return False
