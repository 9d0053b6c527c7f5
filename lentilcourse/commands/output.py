"""How commands print: tables for people, JSON on request, and stable exit codes."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Sequence
from typing import Any, Final, NoReturn

import cattrs

from lentilcourse import error_texts
from lentilcourse.actions import Outcome, Verdict
from lentilcourse.errors import LentilcourseError, SettingsError
from lentilcourse.operator_client import OperatorClient
from lentilcourse.settings_file import load_settings

EXIT_FAILED: Final = 1
EXIT_SETTINGS: Final = 2
EXIT_CONFLICT: Final = 3
EXIT_INVALID: Final = 4
EXIT_TIMEOUT: Final = 5

DEFAULT_SETTINGS: Final = "operator.ini"


def open_client(settings: str) -> OperatorClient:
    """Return a client for the operator that a settings file names."""
    try:
        cfg = load_settings(settings)
    except SettingsError as exc:
        fail(str(exc), EXIT_SETTINGS)
    if cfg.process.role != "operator":
        fail(f"{settings}: [process] role must be operator", EXIT_SETTINGS)
    return OperatorClient(settings=cfg)


def fail(text: str, status: int) -> NoReturn:
    """Print an error and exit."""
    print(f"lentilcourse: {text}", file=sys.stderr)
    sys.exit(status)


def guarded(command: Callable[[], None]) -> None:
    """Run a command; an expected error ends it with one line and exit code 1."""
    try:
        command()
    except LentilcourseError as exc:
        fail(str(exc), EXIT_FAILED)


def print_json(value: object) -> None:
    """Print any typed record as JSON."""
    print(json.dumps(cattrs.unstructure(value), indent=2, sort_keys=True, default=str))


def print_table(headings: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Print rows under headings in aligned columns."""
    cells = [[str(cell) for cell in row] for row in [headings, *rows]]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headings))]
    for row in cells:
        line = "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print(line.rstrip())


def finish_change(
    client: OperatorClient, outcome: Outcome, *, wait_s: float, as_json: bool
) -> None:
    """Print the outcome of a change, wait until it is in force, and exit accordingly."""
    if as_json:
        print_json(outcome)
    if outcome.verdict is Verdict.CONFLICT:
        fail(error_texts.CLI_CONFLICT.format(version=outcome.version), EXIT_CONFLICT)
    if outcome.verdict is Verdict.INVALID:
        fail(f"refused: {outcome.field}: {outcome.reason}", EXIT_INVALID)
    if not as_json:
        print(f"accepted: version {outcome.version}")
    if wait_s > 0:
        _wait(client, outcome.version, wait_s)


def _wait(client: OperatorClient, version: int, wait_s: float) -> None:
    missing = client.wait_in_force(version, wait_s)
    if missing:
        text = error_texts.CLI_WAIT_TIMEOUT.format(seconds=wait_s, missing=", ".join(missing))
        fail(text, EXIT_TIMEOUT)
    print(f"in force everywhere: version {version}", file=sys.stderr)
