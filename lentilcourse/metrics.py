"""Metrics by OpenTelemetry, read by Prometheus' text format.

Hot paths count in plain integers of their own `attrs` classes; the instruments observe those
when they are read, so that counting costs an addition.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

import attrs
from attrs import AttrsInstance
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import REGISTRY, generate_latest


class Metrics:
    """The instruments of one process."""

    def __init__(self, *, process: str, role: str, domain: str) -> None:
        resource = Resource.create(
            {
                "service.name": "lentilcoursed",
                "service.instance.id": process,
                "lentilcourse.role": role,
                "lentilcourse.domain": domain,
            }
        )
        provider = MeterProvider(metric_readers=[PrometheusMetricReader()], resource=resource)
        self._meter = provider.get_meter("lentilcourse")

    def counter(self, name: str, read: Callable[[], int]) -> None:
        """Add a counter whose value `read` returns."""
        self._meter.create_observable_counter(name, callbacks=[_observe(read)])

    def counters_of(self, prefix: str, counts: AttrsInstance) -> None:
        """Add a counter for each field of a class of counts."""
        for field in attrs.fields(type(counts)):
            self.counter(f"{prefix}.{field.name}", _field_reader(counts, field.name))

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value `read` returns."""
        self._meter.create_observable_gauge(name, callbacks=[_observe(read)])

    def labelled_counter(
        self, name: str, label: str, read: Callable[[], Mapping[str, int]]
    ) -> None:
        """Add a counter with one label; `read` returns the value of each label value."""

        def observe(options: CallbackOptions) -> Iterable[Observation]:
            for value, count in list(read().items()):
                yield Observation(count, {label: value})

        self._meter.create_observable_counter(name, callbacks=[observe])

    def text(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return generate_latest(REGISTRY)


def _observe(read: Callable[[], float]) -> Callable[[CallbackOptions], Iterable[Observation]]:
    def observe(options: CallbackOptions) -> Iterable[Observation]:
        yield Observation(read())

    return observe


def _field_reader(counts: AttrsInstance, name: str) -> Callable[[], int]:
    def read() -> int:
        return int(getattr(counts, name))

    return read
