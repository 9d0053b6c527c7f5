"""An operator sends one configuration that cannot be read; later orders are never acknowledged."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import Final

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins import (
    BOUNDS,
    Deployment,
    NotRunError,
    Operator,
    Record,
    document,
    encoded,
    run_case,
)

CUT_NAME: Final = "feed \ud83d"
"""A route's name that ends in the middle of a character. JSON carries it as an escape."""
ORDER_S: Final = 30.0
"""Time for which the operator goes on sending a valid configuration."""


def case(record: Record, deployment: Deployment, trouble: bool) -> bool:
    """Run the case; returns whether the rule held."""
    controllers = [node.ip for node in deployment.role("controller")]
    operator = Operator(record=record, ips=controllers)
    status, _ = operator.order("PUT", "/config", encoded(document(1)), for_s=30.0)
    if status != 200:
        raise NotRunError("the first configuration was not accepted")
    time.sleep(BOUNDS["stableWindowMs"] / 1000)
    if trouble:
        body = encoded(document(2, name=CUT_NAME))
        status, _ = operator.order("PUT", "/config", body, for_s=BOUNDS["ackMs"] / 1000)
        record.say(f"unreadable configuration: last answer {status or 'none'}")
    held = True
    for version in (3, 4):
        began = time.monotonic()
        body = encoded(document(version, timeoutMs=500 + version))
        status, ended = operator.order("PUT", "/config", body, first=version, for_s=ORDER_S)
        waited_ms = int((ended - began) * 1000)
        record.say(f"valid configuration {version}: {status or 'no answer'} after {waited_ms} ms")
        held = held and status == 200 and waited_ms <= BOUNDS["ackMs"]
    ended_by_themselves = deployment.ended()
    record.say(f"processes that ended by themselves: {ended_by_themselves}")
    return held


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case))
