"""Applies a declared catalogue from a file, after showing the difference.

The file is INI with a section [entry NAME] for each entry; keys as in `entry-create` with
underscores. Entries that the file does not name are kept, unless --prune is given.
"""

from __future__ import annotations

import configparser
import sys
from typing import Final

import attrs

from lentilcourse.actions import DeleteEntry, PutEntry
from lentilcourse.commands import COMMANDS
from lentilcourse.commands.output import (
    DEFAULT_SETTINGS,
    EXIT_FAILED,
    EXIT_SETTINGS,
    fail,
    finish_change,
    guarded,
    open_client,
)
from lentilcourse.errors import SettingsError
from lentilcourse.model import LIMIT_FIELDS, Entry, State
from lentilcourse.operator_client import OperatorClient

SECTION_PREFIX: Final = "entry "
REQUIRED: Final = ("service", "owner", "traffic_class", "protocol", "address")


@attrs.frozen(kw_only=True)
class Step:
    """One change that the file calls for.

    Attributes:
        action: the change.
        edit_version: version of the entry that it edits.
        lines: how it is shown.
    """

    action: PutEntry | DeleteEntry
    edit_version: int
    lines: tuple[str, ...]


@COMMANDS.register("apply")
def apply_file(
    file: str,
    *,
    prune: bool = False,
    yes: bool = False,
    wait: float = 0.0,
    settings: str = DEFAULT_SETTINGS,
) -> None:
    """Apply a declared catalogue from a file; shows the difference and asks first.

    :param file: INI file with a section [entry NAME] for each entry
    :param prune: delete entries that the file does not name
    :param yes: do not ask
    :param wait: seconds to wait until each change is in force everywhere
    :param settings: settings file of the operator
    """

    def run() -> None:
        client = open_client(settings)
        try:
            declared = read_declared(file)
        except SettingsError as exc:
            fail(str(exc), EXIT_SETTINGS)
        steps = plan_steps(declared, client.state(), prune)
        if not steps:
            print("nothing to change")
            return
        for step in steps:
            print("\n".join(step.lines))
        if not yes:
            _confirm()
        _apply(client, steps, wait)

    guarded(run)


def read_declared(file: str) -> dict[str, PutEntry]:
    """Read the declared entries; raises `SettingsError` naming file, section and key."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(file, encoding="utf-8") as handle:
            parser.read_file(handle)
    except (OSError, configparser.Error) as exc:
        raise SettingsError(f"{file}: {exc}") from exc
    declared: dict[str, PutEntry] = {}
    for section in parser.sections():
        if not section.startswith(SECTION_PREFIX):
            raise SettingsError(f"{file}: section [{section}] must be [entry NAME]")
        name = section.removeprefix(SECTION_PREFIX)
        declared[name] = _read_entry(file, section, name, dict(parser[section]))
    return declared


def plan_steps(declared: dict[str, PutEntry], state: State, prune: bool) -> list[Step]:
    """Return the changes that lead from a state to the declared entries."""
    steps: list[Step] = []
    for name, wanted in declared.items():
        current = state.entries.get(name)
        if current is None:
            lines = (f"+ {name}", *(f"    {line}" for line in _fields(wanted)))
            steps.append(Step(action=wanted, edit_version=0, lines=lines))
        elif (held := as_put(current)) != wanted:
            changed = [
                f"    {old} -> {new.partition(': ')[2]}"
                for old, new in zip(_fields(held), _fields(wanted), strict=True)
                if old != new
            ]
            lines = (f"~ {name} (version {current.version})", *changed)
            steps.append(Step(action=wanted, edit_version=current.version, lines=lines))
    for name in sorted(state.entries.keys() - declared.keys()) if prune else ():
        version = state.entries[name].version
        lines = (f"- {name} (version {version})",)
        steps.append(Step(action=DeleteEntry(name=name), edit_version=version, lines=lines))
    return steps


def as_put(entry: Entry) -> PutEntry:
    """Return the change that would create an entry as it is."""
    return PutEntry(
        name=entry.name,
        service=entry.service,
        owner=entry.owner,
        traffic_class=entry.traffic_class.value,
        protocol=entry.protocol.value,
        address=str(entry.address),
        open_flows=entry.limits.open_flows,
        new_flows_per_s=entry.limits.new_flows_per_s,
        requests_in_flight=entry.limits.requests_in_flight,
    )


def _read_entry(file: str, section: str, name: str, values: dict[str, str]) -> PutEntry:
    for key in REQUIRED:
        if key not in values:
            raise SettingsError(f"{file}: [{section}] {key} is missing")
    for key, value in values.items():
        if key not in (*REQUIRED, *LIMIT_FIELDS):
            raise SettingsError(f"{file}: [{section}] {key} is unknown")
        if key in LIMIT_FIELDS and not value.isdecimal():
            raise SettingsError(f"{file}: [{section}] {key} = {value!r}: must be a number")
    limits = {key: int(values.get(key, "0")) for key in LIMIT_FIELDS}
    return PutEntry(name=name, **{key: values[key] for key in REQUIRED}, **limits)  # type: ignore[arg-type]


def _fields(action: PutEntry) -> list[str]:
    values = attrs.asdict(action)
    return [f"{key}: {values[key]}" for key in (*REQUIRED, *LIMIT_FIELDS)]


def _confirm() -> None:
    print("apply? Type yes to go on: ", end="")
    sys.stdout.flush()
    if sys.stdin.readline().strip() != "yes":
        fail("not confirmed; nothing was changed", EXIT_FAILED)


def _apply(client: OperatorClient, steps: list[Step], wait: float) -> None:
    for step in steps:
        outcome = client.change(step.action, step.edit_version)
        print(step.lines[0], end=": ")
        sys.stdout.flush()
        finish_change(client, outcome, wait_s=wait, as_json=False)
