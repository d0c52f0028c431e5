"""Counters, gauges and latency histograms in the text format of Prometheus."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0, 10.0)
"""Bucket bounds of the latency histograms in seconds, including common latency
objectives."""


class ProcessMetrics:
    """Metrics of one process.

    Each metric is registered at its first use, with the labels of that call.
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._counters: dict[str, Counter] = {}
        self._gauges: dict[str, Gauge] = {}
        self._histograms: dict[str, Histogram] = {}

    def count(self, name: str, amount: float = 1.0, **labels: str) -> None:
        """Add to a counter."""
        counter = self._counters.get(name)
        if counter is None:
            counter = Counter(name, name, list(labels), registry=self._registry)
            self._counters[name] = counter
        (counter.labels(**labels) if labels else counter).inc(amount)

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = Gauge(name, name, list(labels), registry=self._registry)
            self._gauges[name] = gauge
        (gauge.labels(**labels) if labels else gauge).set(value)

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add a duration in seconds to a histogram."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = Histogram(
                name,
                name,
                list(labels),
                buckets=LATENCY_BUCKETS_S,
                registry=self._registry,
            )
            self._histograms[name] = histogram
        (histogram.labels(**labels) if labels else histogram).observe(seconds)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
