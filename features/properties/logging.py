"""Properties of logs and of the stories that are told from them."""

from __future__ import annotations

import io
import json
import os
import threading
import time
from datetime import datetime

from hypothesis import given
from hypothesis import strategies as st

from lentilcourse.histograms import LATENCY_BOUNDS_S, LatencyHistogram
from lentilcourse.logs import (
    LINES_BURST,
    LINES_PER_S,
    MAX_WAITING_LINES,
    EventRate,
    LineWriter,
    LogEvent,
)
from lentilcourse.story import ReadCounts, Subject, find_story, parse_line, read_lines
from properties import prop

FLOW = "100.64.0.7:40001>198.18.0.1:443"


@prop("logging.rate_is_bounded")
@given(st.lists(st.floats(0.0, 0.04), min_size=200, max_size=400))
def check_rate(pauses):
    """In any span a kind of event writes at most its burst and rate, and none goes uncounted."""
    rate, now, written, told = EventRate(), 0.0, 0, 0
    for pause in pauses:
        now += pause
        left_out = rate.admit(now)
        if left_out is not None:
            written += 1
            told += left_out
    assert written <= LINES_BURST + now * LINES_PER_S + 1
    assert written + told + rate.left_out == len(pauses)


@prop("logging.nobody_reads")
def check_unread():
    """A reader that does not read holds up nobody; lines that don't fit are counted."""
    reading, writing = os.pipe()
    writer = LineWriter(stream=os.fdopen(writing, "w"))
    event = LogEvent(module="m", method="info", event="x" * 1000, at_s=0.0, fields={})
    began = time.monotonic()
    for _ in range(3 * MAX_WAITING_LINES):
        writer.add(event)
    assert time.monotonic() - began < 2.0
    assert writer.dropped >= MAX_WAITING_LINES
    drain = threading.Thread(
        target=lambda: [None for _ in iter(lambda: os.read(reading, 65536), b"")]
    )
    drain.daemon = True
    drain.start()
    writer.flush(10.0)
    writer.add(event)
    writer.flush(10.0)
    assert writer.dropped < 3 * MAX_WAITING_LINES


@prop("logging.start_renders_nothing")
def check_delay():
    """A process that starts renders no line before its delay is over; a flush ends the delay.

    The import of the log library and the first lines took a third of the start of a balancer with
    0.12 of a core, while callers waited (parekh-lc-grown trouble-1, all power lost).
    """
    written = io.StringIO()
    writer = LineWriter(stream=written, delay_s=60.0)
    began = time.time()
    writer.add(
        LogEvent(module="m", method="info", event="flow_placed", at_s=began, fields={"flow": FLOW})
    )
    time.sleep(0.1)
    assert written.getvalue() == ""
    writer.flush(10.0)
    told = parse_line(written.getvalue())
    assert told.event == "flow_placed"
    assert (
        abs(datetime.fromisoformat(json.loads(written.getvalue())["timestamp"]).timestamp() - began)
        < 0.001
    )


def line(at, process, event, **fields):
    """Return a log line as a process writes it."""
    stamp = f"2026-12-04T11:00:{at:09.6f}Z"
    return json.dumps({"timestamp": stamp, "process": process, "event": event, **fields})


LINES = [
    line(1.0, "b1", "catalogue_in_force", number=7),
    line(2.0, "b1", "flow_placed", flow=FLOW, agent="a1"),
    line(2.1, "a1", "flow_taken", flow=FLOW),
    line(2.2, "a2", "flow_taken", flow="100.64.0.7:40002>198.18.0.1:443"),
    line(3.0, "a2", "domain_state", domain="z", state="out"),
    line(4.0, "a1", "target_left", target="t1"),
    line(30.0, "a1", "process_stopping"),
    line(5.0, "c1", "operator_change", subject="PublishCatalogue number=7"),
]


@prop("logging.story_in_order")
@given(st.permutations(LINES), st.booleans())
def check_story(lines, by_caller):
    """A flow's story holds its lines and what its processes believed, in order of time."""
    subject = Subject(flow="100.64.0.7:40001" if by_caller else FLOW)
    story = find_story(map(parse_line, lines), subject, 5.0)
    assert [each.event for each in story] == [
        "catalogue_in_force",
        "flow_placed",
        "flow_taken",
        "target_left",
    ]


@prop("logging.story_of_a_change")
def check_change():
    """A change's story names who sent it and where it is in force."""
    story = find_story(map(parse_line, LINES), Subject(change=7), 0.0)
    assert [each.event for each in story] == ["catalogue_in_force", "operator_change"]
    assert [
        each.event for each in find_story(map(parse_line, LINES), Subject(thing="t1"), 0.0)
    ] == ["target_left"]


@prop("logging.foreign_lines_are_counted")
@given(st.lists(st.text(max_size=30), max_size=20))
def check_foreign(texts):
    """Lines that are no log lines are counted and passed over, also with text before them."""
    mixed = [*texts, f"  36.1 a1 {LINES[0]}"]
    counts = ReadCounts()
    found = list(read_lines(mixed, counts, lambda lines: None))
    assert found[-1].event == "catalogue_in_force"
    assert counts.lines == len(mixed) and counts.unreadable == len(mixed) - len(found)


@prop("logging.histogram_counts_all")
@given(st.lists(st.floats(0.0, 20.0), max_size=50))
def check_histogram(latencies):
    """Cumulative buckets rise to the number of observations."""
    histogram = LatencyHistogram()
    for latency in latencies:
        histogram.observe(latency)
    buckets = histogram.cumulative()
    assert buckets[-1] == ("+Inf", len(latencies))
    for bound, (_, count) in zip(LATENCY_BOUNDS_S, buckets, strict=False):
        assert count == sum(each <= bound for each in latencies)
