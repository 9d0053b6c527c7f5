"""Commands that take failure domains out of service and bring them back."""

from __future__ import annotations

import sys

from lentilcourse.actions import SetDomain
from lentilcourse.commands import COMMANDS
from lentilcourse.commands.output import (
    DEFAULT_SETTINGS,
    EXIT_FAILED,
    fail,
    finish_change,
    guarded,
    open_client,
    print_json,
    print_table,
)
from lentilcourse.model import DomainState, State
from lentilcourse.operator_client import OperatorClient


@COMMANDS.register("domain-out")
def take_domain_out(
    name: str,
    *,
    yes: bool = False,
    wait: float = 10.0,
    json: bool = False,
    settings: str = DEFAULT_SETTINGS,
) -> None:
    """Take a failure domain out of service; flows that end there are given up.

    :param name: name of the failure domain
    :param yes: do not ask for confirmation
    :param wait: seconds to wait until the change is in force everywhere, 0 for not at all
    :param json: print JSON
    :param settings: settings file of the operator
    """

    def run() -> None:
        client = open_client(settings)
        if not yes:
            _confirm(client, name)
        _set_domain(client, name, DomainState.OUT, wait, json)

    guarded(run)


@COMMANDS.register("domain-in")
def bring_domain_in(
    name: str,
    *,
    wait: float = 10.0,
    json: bool = False,
    settings: str = DEFAULT_SETTINGS,
) -> None:
    """Bring a failure domain back; its targets start cold.

    :param name: name of the failure domain
    :param wait: seconds to wait until the change is in force everywhere, 0 for not at all
    :param json: print JSON
    :param settings: settings file of the operator
    """

    def run() -> None:
        _set_domain(open_client(settings), name, DomainState.IN, wait, json)

    guarded(run)


@COMMANDS.register("domain-list")
def list_domains(*, json: bool = False, settings: str = DEFAULT_SETTINGS) -> None:
    """List the failure domains with their targets and open flows.

    :param json: print JSON
    :param settings: settings file of the operator
    """

    def run() -> None:
        client = open_client(settings)
        state = client.state()
        if json:
            print_json(state.domains)
            return
        rows = [
            (
                name,
                "out" if state.domain_out(name) else "in",
                sum(target.domain == name for target in state.targets.values()),
                _open_flows(client, name),
            )
            for name in _domain_names(state)
        ]
        print_table(("domain", "state", "targets", "open flows"), rows)

    guarded(run)


def _domain_names(state: State) -> list[str]:
    named = {target.domain for target in state.targets.values()}
    return sorted(named | set(state.domains))


def _open_flows(client: OperatorClient, domain: str) -> int:
    return sum(report.flows for report in client.reports() if report.domain == domain)


def _confirm(client: OperatorClient, name: str) -> None:
    flows = _open_flows(client, name)
    print(f"domain {name}: {flows} open flows will be given up. Type the name to go on: ", end="")
    sys.stdout.flush()
    if sys.stdin.readline().strip() != name:
        fail("not confirmed; nothing was changed", EXIT_FAILED)


def _set_domain(
    client: OperatorClient, name: str, wanted: DomainState, wait: float, as_json: bool
) -> None:
    current = client.state().domains.get(name)
    version = current.version if current else 0
    outcome = client.change(SetDomain(name=name, state=wanted.value), version)
    finish_change(client, outcome, wait_s=wait, as_json=as_json)
