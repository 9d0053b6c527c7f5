"""Command that tells from logs what happened to a flow, a change or an id."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from datetime import UTC, datetime

from lentilcourse.commands import COMMANDS
from lentilcourse.commands.output import EXIT_FAILED, EXIT_SETTINGS, fail, print_json, print_table
from lentilcourse.story import LogLine, ReadCounts, Subject, find_story, read_lines

STANDARD_INPUT = "-"


@COMMANDS.register("explain")
def explain(
    *files: str,
    flow: str = "",
    change: int = 0,
    id: str = "",
    around: float = 5.0,
    json: bool = False,
) -> None:
    """Tell the story of one flow, change or id from the logs of all processes, by time.

    :param files: files with log lines, '-' or none for standard input
    :param flow: flow as CALLER:PORT>ENTRY:PORT, or CALLER:PORT alone
    :param change: number of a published catalogue
    :param id: any id that stands in the lines, such as a target's or a refusal's
    :param around: seconds around it in which beliefs of the processes are told, 0 for none
    :param json: print JSON
    """
    if sum(map(bool, (flow, change, id))) != 1:
        fail("name exactly one of --flow, --change and --id", EXIT_SETTINGS)
    counts = ReadCounts()
    lines = read_lines(_raw_lines(files or (STANDARD_INPUT,)), counts, _show_progress)
    story = find_story(lines, Subject(flow=flow, change=change, thing=id), around)
    if counts.unreadable:
        text = f"{counts.unreadable} of {counts.lines} lines are no log lines"
        print(f"lentilcourse: {text}", file=sys.stderr)
    if not story:
        fail(f"no line of {counts.lines} names it", EXIT_FAILED)
    if json:
        print_json(story)
        return
    print_table(("time", "process", "event", "what"), [_row(line) for line in story])


def _raw_lines(files: tuple[str, ...]) -> Iterator[str]:
    for file in files:
        if file == STANDARD_INPUT:
            yield from sys.stdin
            continue
        try:
            with open(file, encoding="utf-8", errors="replace") as handle:
                yield from handle
        except OSError as exc:
            fail(f"{file}: cannot be read: {exc.strerror}", EXIT_SETTINGS)


def _show_progress(lines: int) -> None:
    print(f"lentilcourse: {lines} lines read", file=sys.stderr)


def _row(line: LogLine) -> tuple[str, str, str, str]:
    time = datetime.fromtimestamp(line.at, UTC).strftime("%H:%M:%S.%f")[:-3]
    what = " ".join(f"{key}={value}" for key, value in line.fields.items())
    return (time, line.process, line.event, what)
