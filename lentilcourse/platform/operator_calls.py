"""The platform's operator calls as an operator interface plug-in of the controller."""

from __future__ import annotations

import time
from typing import Final
from urllib.parse import unquote

from lentilcourse import error_texts
from lentilcourse.actions import Action, PublishCatalogue, SetDomain, Verdict, summarize
from lentilcourse.admin import AdminAnswer, AdminServer
from lentilcourse.clocks import MS_PER_S, boot_time_s
from lentilcourse.controller.progress import NEVER
from lentilcourse.controller.role import OPERATOR_INTERFACES, Controller, unconditional_change
from lentilcourse.errors import LentilcourseError, OrderExpiredError, UnencodableError
from lentilcourse.http_server import HttpRequest
from lentilcourse.logs import get_logger
from lentilcourse.model import DomainState
from lentilcourse.platform.documents import decode_document
from lentilcourse.platform.fields import MalformedCallError

PLATFORM_OPERATOR: Final = "platform"
CATALOGUE_NAME: Final = "catalogue"
EVACUATE_PATH: Final = "/evacuate/"
ORDER_LIFE_S: Final = 0.9
"""Age at which an order on a failure domain is refused: callers turn elsewhere after a second."""
ABANDONED_S: Final = 0.01
"""Time within which the end of an abandoned connection follows a request that a cut link held up:
some round trips to the caller."""
ACKNOWLEDGED: Final = AdminAnswer(body=b"{}")

_log = get_logger(__name__)


class OperatorCalls:
    """Calls of the platform's operator at one controller."""

    def __init__(self, *, controller: Controller) -> None:
        self._controller = controller

    def put_document(self, req: HttpRequest) -> AdminAnswer:
        """PUT /config: publish a catalogue."""
        try:
            catalogue = decode_document(req.body)
        except MalformedCallError as exc:
            _log.info("catalogue_refused", error=str(exc))
            return AdminAnswer(status=400, content_type="text/plain", body=str(exc).encode())
        if self._controller.applied_catalogue().number >= catalogue.number:
            return ACKNOWLEDGED
        return self._submit(PublishCatalogue(name=CATALOGUE_NAME, catalogue=catalogue), NEVER)

    def get_document(self, req: HttpRequest) -> AdminAnswer:
        """GET /config: read the newest catalogue back as it was sent."""
        try:
            catalogue = self._controller.reader.read(boot_time_s())
        except LentilcourseError as exc:
            return _unavailable(exc)
        if catalogue.number == 0:
            return AdminAnswer(status=503, body=b'{"error": "no configuration yet"}')
        return AdminAnswer(body=catalogue.document)

    def evacuate(self, req: HttpRequest) -> AdminAnswer:
        """POST /evacuate/ZONE: take a failure domain out."""
        return self._set_domain(req, DomainState.OUT)

    def take_back(self, req: HttpRequest) -> AdminAnswer:
        """DELETE /evacuate/ZONE: bring a failure domain back."""
        return self._set_domain(req, DomainState.IN)

    def _set_domain(self, req: HttpRequest, state: DomainState) -> AdminAnswer:
        """Submit an order on a failure domain, which nothing but its time puts into an order.

        A process that was frozen finds requests whose callers have long sent them elsewhere, and
        may have sent others since.
        """
        if req.caller_left(ABANDONED_S):
            return _unavailable(OrderExpiredError(error_texts.ORDER_EXPIRED))
        action = SetDomain(name=_zone(req), state=state.value)
        return self._submit(action, req.sent_after + ORDER_LIFE_S)

    def _submit(self, action: Action, expires: float) -> AdminAnswer:
        began = time.monotonic()
        change = unconditional_change(PLATFORM_OPERATOR, "", action)
        try:
            outcome = self._controller.proposer.submit(change, expires)
        except UnencodableError as exc:
            return AdminAnswer(status=400, content_type="text/plain", body=str(exc).encode())
        except LentilcourseError as exc:
            return _unavailable(exc)
        _log.info(
            "operator_change",
            change=type(action).__name__,
            subject=summarize(action),
            verdict=outcome.verdict.value,
            reason=outcome.reason,
            version=outcome.version,
            wait_ms=int((time.monotonic() - began) * MS_PER_S),
        )
        already = outcome.verdict is Verdict.INVALID and outcome.field == "state"
        if outcome.verdict is Verdict.ACCEPTED or already:
            return ACKNOWLEDGED
        return AdminAnswer(status=400, content_type="text/plain", body=outcome.reason.encode())


def _zone(req: HttpRequest) -> str:
    path = req.target.partition(b"?")[0].decode("ascii", "replace")
    return unquote(path.removeprefix(EVACUATE_PATH))


def _unavailable(exc: LentilcourseError) -> AdminAnswer:
    """Return the answer that makes the caller try another controller."""
    _log.info("operator_call_failed", error=str(exc))
    return AdminAnswer(status=503, content_type="text/plain", body=str(exc).encode())


@OPERATOR_INTERFACES.register("platform-operator")
def serve_operator(controller: Controller, server: AdminServer) -> None:
    """Add the operator's calls to a listener."""
    calls = OperatorCalls(controller=controller)
    server.add_route("PUT", "/config", calls.put_document)
    server.add_route("GET", "/config", calls.get_document)
    server.add_prefix_route("POST", EVACUATE_PATH, calls.evacuate)
    server.add_prefix_route("DELETE", EVACUATE_PATH, calls.take_back)
