"""Steps of the fault soak."""

from __future__ import annotations

import json
from pathlib import Path

from behave import then

from lentilcourse.lab.soak import Disturbance, run_disturbances, run_seed, soak_layout

CASES = Path(__file__).parent.parent / "soak_cases"
LOAD_SEED = 1


@then("a fault soak of {seconds:d} seconds with seed {seed:d} breaks no promise")
def soak_holds(context, seconds, seed):
    """Run one seed of the soak in a deployment of its own."""
    check(run_seed(seed, seconds=seconds, prefix=context.prefix, folder=context.folder))


@then('the recorded soak "{case}" breaks no promise')
def case_holds(context, case):
    """Run recorded disturbances; each row holds kind, process, begin and duration."""
    rows = json.loads((CASES / f"{case}.json").read_text(encoding="utf-8"))
    disturbances = tuple(
        Disturbance(kind=kind, process=process, at_s=at_s, for_s=for_s)
        for kind, process, at_s, for_s in rows
    )
    layout = soak_layout(context.prefix, context.folder)
    check(run_disturbances(LOAD_SEED, disturbances, layout, context.folder))


def check(result):
    """Check that the load ran and no promise was broken."""
    assert result.flows > 0 and result.requests > 0
    assert result.failures == (), result
