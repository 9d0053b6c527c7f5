"""Exports instruments through OpenTelemetry in Prometheus' text format."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import REGISTRY, generate_latest
from prometheus_client.core import HistogramMetricFamily, Metric
from prometheus_client.registry import Collector

from lentilcourse.histograms import LatencyHistogram
from lentilcourse.metrics import Instrument


class Exporter:
    """The OpenTelemetry side of the instruments of one process."""

    def __init__(
        self, *, attributes: Mapping[str, str], histograms: Mapping[str, LatencyHistogram]
    ) -> None:
        resource = Resource.create(dict(attributes))
        provider = MeterProvider(metric_readers=[PrometheusMetricReader()], resource=resource)
        self._meter = provider.get_meter("lentilcourse")
        REGISTRY.register(_HistogramCollector(histograms=histograms))

    def add(self, instruments: Sequence[Instrument]) -> None:
        """Add instruments."""
        for instrument in instruments:
            callbacks = [_observe(instrument)]
            if instrument.is_counter:
                self._meter.create_observable_counter(instrument.name, callbacks=callbacks)
            else:
                self._meter.create_observable_gauge(instrument.name, callbacks=callbacks)

    def text(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return generate_latest(REGISTRY)


class _HistogramCollector(Collector):
    """Exports histograms that were filled without OpenTelemetry, which has no observable ones."""

    def __init__(self, *, histograms: Mapping[str, LatencyHistogram]) -> None:
        self._histograms = histograms

    def collect(self) -> Iterable[Metric]:
        """Return all histograms as they are now."""
        for name, histogram in self._histograms.items():
            yield HistogramMetricFamily(
                f"{name.replace('.', '_')}_seconds",
                f"Latency {name} in seconds",
                buckets=histogram.cumulative(),
                sum_value=histogram.total_s,
            )


def _observe(instrument: Instrument) -> Callable[[CallbackOptions], Iterable[Observation]]:
    def observe(options: CallbackOptions) -> Iterable[Observation]:
        for value, count in instrument.read().items():
            yield Observation(count, {instrument.label: value} if instrument.label else {})

    return observe
