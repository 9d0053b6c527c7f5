"""Commands on the group of controllers: set-up, membership and repair."""

from __future__ import annotations

import time
from typing import Final

from lentilcourse.commands import COMMANDS
from lentilcourse.commands.output import (
    DEFAULT_SETTINGS,
    EXIT_INVALID,
    EXIT_TIMEOUT,
    fail,
    guarded,
    open_client,
    print_json,
    print_table,
)
from lentilcourse.errors import ChangeRefusedError
from lentilcourse.messages.consensus import Member, Membership
from lentilcourse.messages.operators import StatusReply
from lentilcourse.operator_client import OperatorClient

CATCH_UP_TIMEOUT_S: Final = 30.0
CATCH_UP_POLL_S: Final = 0.2


@COMMANDS.register("bootstrap")
def bootstrap(*, settings: str = DEFAULT_SETTINGS) -> None:
    """Make the empty controllers of the settings one group; safe to repeat.

    :param settings: settings file of the operator
    """

    def run() -> None:
        membership = open_client(settings).bootstrap()
        print("group: " + ", ".join(member.replica_id for member in membership.members))

    guarded(run)


@COMMANDS.register("controller-list")
def list_controllers(*, json: bool = False, settings: str = DEFAULT_SETTINGS) -> None:
    """List the members of the group.

    :param json: print JSON
    :param settings: settings file of the operator
    """

    def run() -> None:
        membership = _current_membership(open_client(settings))
        if json:
            print_json(membership)
            return
        rows = [
            (each.name, each.replica_id, each.address, "voter" if each.voter else "learner")
            for each in membership.members
        ]
        print_table(("controller", "replica", "address", "part"), rows)

    guarded(run)


@COMMANDS.register("controller-add")
def add_controller(name: str, *, settings: str = DEFAULT_SETTINGS) -> None:
    """Add an empty controller to the group, let it catch up and make it a voter.

    :param name: name of the controller in section [controllers]
    :param settings: settings file of the operator
    """

    def run() -> None:
        client = open_client(settings)
        _add_and_promote(client, _status_of(client, name))

    guarded(run)


@COMMANDS.register("controller-remove")
def remove_controller(name: str, *, settings: str = DEFAULT_SETTINGS) -> None:
    """Remove a controller from the group.

    :param name: name of the controller
    :param settings: settings file of the operator
    """

    def run() -> None:
        client = open_client(settings)
        for member in _members_named(client, name):
            client.change_membership("remove", member)
        print(f"removed: {name}")

    guarded(run)


@COMMANDS.register("controller-repair")
def repair_controller(name: str, *, settings: str = DEFAULT_SETTINGS) -> None:
    """Replace a controller's lost replica by the new one that runs under its name.

    The new replica catches up as a learner before it votes; the lost one is removed first.

    :param name: name of the controller whose data folder was lost
    :param settings: settings file of the operator
    """

    def run() -> None:
        client = open_client(settings)
        status = _status_of(client, name)
        for member in _members_named(client, name):
            if member.replica_id != status.replica_id:
                client.change_membership("remove", member)
        _add_and_promote(client, status)

    guarded(run)


def _current_membership(client: OperatorClient) -> Membership:
    leader = client.leader()
    return next(each.membership for each in client.statuses() if each.name == leader)


def _members_named(client: OperatorClient, name: str) -> list[Member]:
    return [each for each in _current_membership(client).members if each.name == name]


def _status_of(client: OperatorClient, name: str) -> StatusReply:
    status = next((each for each in client.statuses() if each.name == name), None)
    if status is None:
        fail(f"controller {name!r} does not answer; start it first", EXIT_INVALID)
    return status


def _add_and_promote(client: OperatorClient, status: StatusReply) -> None:
    member = Member(
        replica_id=status.replica_id,
        name=status.name,
        address=str(client.controllers[status.name]),
        voter=False,
    )
    current = _current_membership(client).find(member.replica_id)
    if current is None:
        client.change_membership("add", member)
        print(f"added as a learner: {member.replica_id}")
    if current is None or not current.voter:
        _promote(client, member)
    print(f"voter: {member.replica_id}")


def _promote(client: OperatorClient, member: Member) -> None:
    deadline = time.monotonic() + CATCH_UP_TIMEOUT_S
    while True:
        try:
            client.change_membership("promote", member)
            return
        except ChangeRefusedError as exc:
            if time.monotonic() >= deadline:
                fail(str(exc), EXIT_TIMEOUT)
        time.sleep(CATCH_UP_POLL_S)
