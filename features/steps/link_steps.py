"""Steps on links that lose track of the connections through them."""

from __future__ import annotations

import time

from behave import then, when
from flow_steps import SETTLE_S, wait_while_running
from request_steps import CALLERS

from lentilcourse.lab.request_load import RequestLoad, RequestPlan

BEFORE_S = 2.0
AFTER_S = 3.0


def links_to(board, what):
    """Return the links to agents or to controllers."""
    return {"agents": board.links_to_agents, "controllers": board.links_to_controllers}[what]()


@when("all open connections to the {what} go silent for good, while flows and orders run")
def forget_connections(context, what):
    """Let the links forget their connections, and wait until no end holds one any more."""
    deployment = context.deployment
    links = links_to(context.board, what)
    with RequestLoad(balancers=deployment.cluster.request_addresses(), seed=8) as load:
        load.start(RequestPlan(entry="orders", keyed=True, pause_s=0.05), CALLERS)
        load.start(RequestPlan(entry="orders", pause_s=0.05), CALLERS)
        deployment.run_flows(BEFORE_S)
        context.forgotten = sum(link.forget() for link in links)
        wait_while_running(
            deployment,
            lambda: sum(link.forgotten_held() for link in links) == 0,
            f"the silent connections to the {what} given up by both ends",
        )
        deployment.run_flows(AFTER_S)
    deployment.results = load.results


@then("every silent connection was replaced, and each process has the newest version in force")
def replaced(context):
    """Check that there were connections to replace, and that state passes again."""
    assert context.forgotten > 0
    client = context.deployment.cluster.operator
    version = client.state().version
    began = time.monotonic()
    assert client.wait_in_force(version, SETTLE_S) == [], time.monotonic() - began
