"""A zone is taken back and emptied again while one controller is frozen; it gets flows again."""

from __future__ import annotations

import signal
import sys
import threading
import time
from pathlib import Path
from typing import Final

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins import (
    BOUNDS,
    ZONES,
    Client,
    Deployment,
    NotRunError,
    Operator,
    Record,
    Server,
    document,
    encoded,
    is_ready,
    run_case,
    wait_for,
)

ZONE: Final = ZONES[0]
FROZEN: Final = 2
"""Position of the controller that is frozen, and to which the operator happens to turn first."""
FREEZE_S: Final = 3.5
REQUEST_INTERVAL_S: Final = 0.1
EVACUATE_S: Final = BOUNDS["evacuateMs"] / 1000
STABLE_S: Final = BOUNDS["stableWindowMs"] / 1000
JUDGED_S: Final = 10.0


class Load:
    """One client in the zone of its balancer that sends requests, each on a flow of its own."""

    def __init__(self, *, client: Client) -> None:
        self.outcomes: list[str] = []
        self.sent: dict[tuple[str, int], float] = {}
        self._client = client
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def stop(self) -> None:
        """Stop and wait for the last request."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        number = 0
        while not self._stopped.wait(REQUEST_INTERVAL_S):
            number += 1
            outcome, began, end = self._client.request(f"request-{number}")
            self.sent[end] = began
            self.outcomes.append(outcome)


def case(record: Record, deployment: Deployment, trouble: bool) -> bool:
    """Run the case; returns whether the rule held."""
    controllers = deployment.role("controller")
    operator = Operator(record=record, ips=[node.ip for node in controllers])
    if operator.order("PUT", "/config", encoded(document(1)), for_s=30.0)[0] != 200:
        raise NotRunError("the first configuration was not accepted")
    servers = [Server(record=record, node=node) for node in deployment.role("agent")]
    balancer = next(node for node in deployment.role("balancer") if node.zone == ZONE)
    wait_for(lambda: is_ready(balancer), 20.0, "the balancer is ready")
    time.sleep(STABLE_S)
    load = Load(client=Client(record=record, prefix=deployment.prefix, balancer=balancer))
    try:
        time.sleep(2.0)
        _expect(operator, "POST")
        time.sleep(EVACUATE_S)
        frozen = controllers[FROZEN]
        frozen_at = time.monotonic()
        if trouble:
            deployment.signal(frozen, signal.SIGSTOP)
        time.sleep(0.3)
        _expect(operator, "DELETE", first=FROZEN)
        time.sleep(0.3)
        evacuated_at = _expect(operator, "POST")
        time.sleep(max(0.0, frozen_at + FREEZE_S - time.monotonic()))
        if trouble:
            deployment.signal(frozen, signal.SIGCONT)
        judged_from = max(evacuated_at + EVACUATE_S, time.monotonic() + STABLE_S + EVACUATE_S)
        time.sleep(judged_from + JUDGED_S - time.monotonic())
    finally:
        load.stop()
        for server in servers:
            server.stop()
    answered = load.outcomes.count("answered")
    record.say(f"requests: {len(load.outcomes)}, answered: {answered}")
    late = [
        at - evacuated_at
        for server in servers
        if server.zone == ZONE
        for at, end in server.taken
        if at > judged_from and load.sent.get(end, 0.0) > judged_from
    ]
    first = f", the first after {late[0]:.1f} s" if late else ""
    record.say(f"flows that reached {ZONE} later than allowed: {len(late)}{first}")
    return not late


def _expect(operator: Operator, method: str, first: int = 0) -> float:
    """Send an order on the zone and return when it was acknowledged."""
    status, at = operator.order(method, f"/evacuate/{ZONE}", first=first)
    if status != 200:
        raise NotRunError(f"{method} was not acknowledged: {status}")
    return at


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case))
