"""Commands on catalogue entries and targets."""

from __future__ import annotations

from lentilcourse.actions import DeleteEntry, DrainTarget, PutEntry
from lentilcourse.commands import COMMANDS
from lentilcourse.commands.output import (
    DEFAULT_SETTINGS,
    EXIT_INVALID,
    fail,
    finish_change,
    guarded,
    open_client,
    print_json,
    print_table,
)
from lentilcourse.model import Entry


@COMMANDS.register("entry-create")
def create_entry(
    name: str,
    *,
    service: str,
    owner: str,
    traffic_class: str,
    protocol: str,
    address: str,
    open_flows: int = 0,
    new_flows_per_s: int = 0,
    requests_in_flight: int = 0,
    wait: float = 0.0,
    json: bool = False,
    settings: str = DEFAULT_SETTINGS,
) -> None:
    """Create an entry.

    :param name: name of the entry; requests name it in their Host header
    :param service: service whose targets take the traffic
    :param owner: who answers for the limits
    :param traffic_class: interactive, standard or bulk
    :param protocol: udp, tcp or http
    :param address: service address, IP:PORT
    :param open_flows: the most open flows, 0 for no limit
    :param new_flows_per_s: the most new flows in a second, 0 for no limit
    :param requests_in_flight: the most requests that run at once, 0 for no limit
    :param wait: seconds to wait until the change is in force everywhere, 0 for not at all
    :param json: print JSON
    :param settings: settings file of the operator
    """
    action = PutEntry(
        name=name,
        service=service,
        owner=owner,
        traffic_class=traffic_class,
        protocol=protocol,
        address=address,
        open_flows=open_flows,
        new_flows_per_s=new_flows_per_s,
        requests_in_flight=requests_in_flight,
    )

    def run() -> None:
        client = open_client(settings)
        outcome = client.change(action, 0)
        finish_change(client, outcome, wait_s=wait, as_json=json)

    guarded(run)


@COMMANDS.register("entry-edit")
def edit_entry(
    name: str,
    *,
    version: int,
    service: str = "",
    owner: str = "",
    traffic_class: str = "",
    address: str = "",
    open_flows: int | None = None,
    new_flows_per_s: int | None = None,
    requests_in_flight: int | None = None,
    wait: float = 0.0,
    json: bool = False,
    settings: str = DEFAULT_SETTINGS,
) -> None:
    """Edit fields of an entry; a field that is not given keeps its value.

    :param name: name of the entry
    :param version: version of the entry that you looked at; another one in force is a conflict
    :param service: service whose targets take the traffic
    :param owner: who answers for the limits
    :param traffic_class: interactive, standard or bulk
    :param address: service address, IP:PORT
    :param open_flows: the most open flows, 0 for no limit
    :param new_flows_per_s: the most new flows in a second, 0 for no limit
    :param requests_in_flight: the most requests that run at once, 0 for no limit
    :param wait: seconds to wait until the change is in force everywhere, 0 for not at all
    :param json: print JSON
    :param settings: settings file of the operator
    """

    def run() -> None:
        client = open_client(settings)
        current = client.state().entries.get(name)
        if current is None:
            fail(f"entry {name!r} does not exist", EXIT_INVALID)
        limits = current.limits
        action = PutEntry(
            name=name,
            service=service or current.service,
            owner=owner or current.owner,
            traffic_class=traffic_class or current.traffic_class.value,
            protocol=current.protocol.value,
            address=address or str(current.address),
            open_flows=limits.open_flows if open_flows is None else open_flows,
            new_flows_per_s=(
                limits.new_flows_per_s if new_flows_per_s is None else new_flows_per_s
            ),
            requests_in_flight=(
                limits.requests_in_flight if requests_in_flight is None else requests_in_flight
            ),
        )
        outcome = client.change(action, version)
        finish_change(client, outcome, wait_s=wait, as_json=json)

    guarded(run)


@COMMANDS.register("entry-delete")
def delete_entry(
    name: str,
    *,
    version: int,
    wait: float = 0.0,
    json: bool = False,
    settings: str = DEFAULT_SETTINGS,
) -> None:
    """Delete an entry; its flows end.

    :param name: name of the entry
    :param version: version of the entry that you looked at
    :param wait: seconds to wait until the change is in force everywhere, 0 for not at all
    :param json: print JSON
    :param settings: settings file of the operator
    """

    def run() -> None:
        client = open_client(settings)
        outcome = client.change(DeleteEntry(name=name), version)
        finish_change(client, outcome, wait_s=wait, as_json=json)

    guarded(run)


@COMMANDS.register("entry-list")
def list_entries(*, json: bool = False, settings: str = DEFAULT_SETTINGS) -> None:
    """List all entries.

    :param json: print JSON
    :param settings: settings file of the operator
    """

    def run() -> None:
        state = open_client(settings).state()
        entries = [state.entries[name] for name in sorted(state.entries)]
        if json:
            print_json(entries)
            return
        print_table(ENTRY_HEADINGS, [_entry_row(entry) for entry in entries])

    guarded(run)


@COMMANDS.register("entry-show")
def show_entry(name: str, *, json: bool = False, settings: str = DEFAULT_SETTINGS) -> None:
    """Show one entry and its targets.

    :param name: name of the entry
    :param json: print JSON
    :param settings: settings file of the operator
    """

    def run() -> None:
        state = open_client(settings).state()
        entry = state.entries.get(name)
        if entry is None:
            fail(f"entry {name!r} does not exist", EXIT_INVALID)
        if json:
            print_json(entry)
            return
        print_table(ENTRY_HEADINGS, [_entry_row(entry)])
        print()
        rows = [
            (each.name, each.domain, each.state.value, "yes" if each.lost else "no")
            for each in state.service_targets(entry.service)
        ]
        print_table(("target", "domain", "state", "lost"), rows)

    guarded(run)


@COMMANDS.register("target-list")
def list_targets(*, json: bool = False, settings: str = DEFAULT_SETTINGS) -> None:
    """List all targets that have announced themselves.

    :param json: print JSON
    :param settings: settings file of the operator
    """

    def run() -> None:
        state = open_client(settings).state()
        targets = [state.targets[name] for name in sorted(state.targets)]
        if json:
            print_json(targets)
            return
        rows = [
            (
                each.name,
                each.service,
                each.domain,
                each.state.value,
                "yes" if each.lost else "no",
                each.slots,
                each.connections,
                each.version,
            )
            for each in targets
        ]
        headings = (
            "target",
            "service",
            "domain",
            "state",
            "lost",
            "slots",
            "connections",
            "version",
        )
        print_table(headings, rows)

    guarded(run)


@COMMANDS.register("target-drain")
def drain_target(
    name: str, *, wait: float = 0.0, json: bool = False, settings: str = DEFAULT_SETTINGS
) -> None:
    """Stop new work on a target; what it has is kept until it ends.

    :param name: name of the target
    :param wait: seconds to wait until the change is in force everywhere, 0 for not at all
    :param json: print JSON
    :param settings: settings file of the operator
    """

    def run() -> None:
        client = open_client(settings)
        target = client.state().targets.get(name)
        if target is None:
            fail(f"target {name!r} does not exist", EXIT_INVALID)
        outcome = client.change(DrainTarget(name=name), target.version)
        finish_change(client, outcome, wait_s=wait, as_json=json)

    guarded(run)


ENTRY_HEADINGS = (
    "entry",
    "service",
    "owner",
    "class",
    "protocol",
    "address",
    "open flows",
    "new/s",
    "in flight",
    "version",
)


def _entry_row(entry: Entry) -> tuple[object, ...]:
    limits = entry.limits
    return (
        entry.name,
        entry.service,
        entry.owner,
        entry.traffic_class.value,
        entry.protocol.value,
        entry.address,
        limits.open_flows or "-",
        limits.new_flows_per_s or "-",
        limits.requests_in_flight or "-",
        entry.version,
    )
