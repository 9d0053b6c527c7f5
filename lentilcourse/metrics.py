"""Metrics of one process, read by Prometheus' text format.

Hot paths count in plain integers of their own `attrs` classes; the instruments observe those
when they are read, so that counting costs an addition. OpenTelemetry is imported by
`metrics_export` at the first read, because small VMs pay for each import at each restart.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

import attrs
from attrs import AttrsInstance

from lentilcourse.histograms import LatencyHistogram

if TYPE_CHECKING:
    from lentilcourse.metrics_export import Exporter


@attrs.frozen(kw_only=True)
class Instrument:
    """One metric.

    Attributes:
        name: its name.
        is_counter: whether it only rises.
        label: name of its one label, "" for none.
        read: returns the value of each label value; of "" without a label.
    """

    name: str
    is_counter: bool
    label: str
    read: Callable[[], Mapping[str, float]]


class Metrics:
    """The instruments of one process."""

    def __init__(self, *, process: str, role: str, domain: str) -> None:
        self._attributes = {
            "service.name": "lentilcoursed",
            "service.instance.id": process,
            "lentilcourse.role": role,
            "lentilcourse.domain": domain,
        }
        self._waiting: list[Instrument] = []
        self._histograms: dict[str, LatencyHistogram] = {}
        self._exporter: Exporter | None = None

    def counter(self, name: str, read: Callable[[], int]) -> None:
        """Add a counter whose value `read` returns."""
        self._add(name, True, "", lambda: {"": read()})

    def counters_of(self, prefix: str, counts: AttrsInstance) -> None:
        """Add a counter for each field of a class of counts."""
        for field in attrs.fields(type(counts)):
            self.counter(f"{prefix}.{field.name}", _field_reader(counts, field.name))

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value `read` returns."""
        self._add(name, False, "", lambda: {"": read()})

    def labelled_counter(
        self, name: str, label: str, read: Callable[[], Mapping[str, int]]
    ) -> None:
        """Add a counter with one label; `read` returns the value of each label value."""
        self._add(name, True, label, lambda: dict(read()))

    def histogram(self, name: str, histogram: LatencyHistogram) -> None:
        """Add a histogram of latencies in seconds."""
        self._histograms[name] = histogram

    def text(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        if self._exporter is None:
            from lentilcourse.metrics_export import Exporter  # noqa: PLC0415

            self._exporter = Exporter(attributes=self._attributes, histograms=self._histograms)
        self._exporter.add(self._waiting)
        self._waiting = []
        return self._exporter.text()

    def _add(
        self, name: str, is_counter: bool, label: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        instrument = Instrument(name=name, is_counter=is_counter, label=label, read=read)
        self._waiting.append(instrument)


def _field_reader(counts: AttrsInstance, name: str) -> Callable[[], int]:
    def read() -> int:
        return int(getattr(counts, name))

    return read
