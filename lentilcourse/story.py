"""Reads log lines of many processes and puts together what happened to one thing.

A thing is a flow (by its text, or by its caller's address alone), a published catalogue (by
number) or any id that stands in a line. The story is what names the thing, and what the
processes that touched it came to believe shortly before.

Lines are ordered by their wall-clock time; clocks of VMs may differ, so neighbouring lines of
different processes may be the other way round.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Iterator
from datetime import datetime
from typing import Any, Final

import attrs

BELIEF_EVENTS: Final = frozenset(
    {
        "agent_dropped",
        "agent_known",
        "agents_changed",
        "catalogue_in_force",
        "domain_state",
        "group_founded",
        "leader_elected",
        "leader_lost_quorum",
        "membership_changed",
        "process_reloading",
        "process_started",
        "process_stopped",
        "process_stopping",
        "seeds_changed",
        "source_connected",
        "source_left",
        "target_announced",
        "target_left",
        "target_state",
    }
)
OWN_FIELDS: Final = ("timestamp", "process", "event", "level", "module", "role")
PROGRESS_LINES: Final = 100_000


@attrs.frozen(kw_only=True)
class LogLine:
    """One line.

    Attributes:
        at: wall-clock time, seconds since 1970.
        process: process that wrote it.
        event: kind of event.
        fields: everything else that the line says.
    """

    at: float
    process: str
    event: str
    fields: dict[str, Any]


@attrs.define(kw_only=True)
class ReadCounts:
    """Lines that were read, and those that are no log lines."""

    lines: int = 0
    unreadable: int = 0


@attrs.frozen(kw_only=True)
class Subject:
    """What the story is about; exactly one is given."""

    flow: str = ""
    change: int = 0
    thing: str = ""

    def named_in(self, line: LogLine) -> bool:
        """Return whether a line names the subject."""
        if self.flow:
            told = str(line.fields.get("flow", ""))
            return told == self.flow or told.startswith(f"{self.flow}>")
        if self.change:
            in_force = line.event == "catalogue_in_force"
            asked = f"number={self.change}" in str(line.fields.get("subject", "")).split()
            return (in_force and line.fields.get("number") == self.change) or asked
        return self.thing in (str(value) for value in line.fields.values())


def read_lines(
    raw_lines: Iterable[str], counts: ReadCounts, progress: Callable[[int], None]
) -> Iterator[LogLine]:
    """Yield the log lines of a text; what stands before the JSON object is passed over."""
    for raw in raw_lines:
        counts.lines += 1
        if counts.lines % PROGRESS_LINES == 0:
            progress(counts.lines)
        line = parse_line(raw)
        if line is None:
            counts.unreadable += 1
        else:
            yield line


def parse_line(raw: str) -> LogLine | None:
    """Return the log line of a text line, None if it holds none."""
    start = raw.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(raw[start:])
        at = datetime.fromisoformat(fields["timestamp"]).timestamp()
        process, event = str(fields["process"]), str(fields["event"])
    except (ValueError, KeyError, TypeError):
        return None
    rest = {key: value for key, value in fields.items() if key not in OWN_FIELDS}
    return LogLine(at=at, process=process, event=event, fields=rest)


def find_story(lines: Iterable[LogLine], subject: Subject, around_s: float) -> list[LogLine]:
    """Return the lines that name the subject, in order of time.

    With them come what the processes that wrote them believed up to `around_s` before and after;
    nothing of it for 0.
    """
    kept: list[LogLine] = []
    beliefs: list[LogLine] = []
    for line in lines:
        if subject.named_in(line):
            kept.append(line)
        elif line.event in BELIEF_EVENTS:
            beliefs.append(line)
    if kept and around_s > 0:
        kept.extend(_around(kept, beliefs, around_s))
    return sorted(kept, key=lambda line: line.at)


def _around(kept: list[LogLine], beliefs: list[LogLine], around_s: float) -> list[LogLine]:
    processes = {line.process for line in kept}
    first = min(line.at for line in kept)
    last = max(line.at for line in kept)
    return [
        line
        for line in beliefs
        if line.process in processes and first - around_s <= line.at <= last + around_s
    ]
