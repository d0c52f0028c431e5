"""Metrics that are sent to a statsd collector."""

import re
from typing import Protocol

from msgspec import Struct
from statsd import StatsClient


class MetricsSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Address of the statsd collector; nothing is sent unless ``enabled`` is true."""

    enabled: bool = False
    host: str = "127.0.0.1"
    port: int = 8125
    prefix: str = "wigeonspan"


class Metrics(Protocol):
    """Interface to report counters, gauges and timings."""

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        ...

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        ...

    def timing(self, name: str, seconds: float) -> None:
        """Add a duration in seconds to a histogram."""
        ...


class NoMetrics:
    """Implementation that discards all metrics."""

    def count(self, name: str, amount: int = 1) -> None:
        """Discard a count."""

    def gauge(self, name: str, value: float) -> None:
        """Discard a gauge."""

    def timing(self, name: str, seconds: float) -> None:
        """Discard a timing."""


class StatsdMetrics:
    """Implementation that sends UDP datagrams to a statsd collector.

    Parameters
    ----------
    settings : MetricsSettings
        Address of the collector and prefix of the metric names. An unreachable
        collector causes no delay, because UDP is connectionless.
    """

    def __init__(self, settings: MetricsSettings) -> None:
        self._client = StatsClient(settings.host, settings.port, settings.prefix)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self._client.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._client.gauge(name, value)

    def timing(self, name: str, seconds: float) -> None:
        """Add a duration in seconds to a histogram."""
        self._client.timing(name, seconds * 1000)


def make_metrics(settings: MetricsSettings) -> Metrics:
    """Return a statsd client, or a no-op when metrics are disabled."""
    return StatsdMetrics(settings) if settings.enabled else NoMetrics()


def metric_name(*parts: str) -> str:
    """Join the components of a metric name with dots.

    Characters other than letters, digits, ``_`` and ``-`` are replaced by ``_``: some
    of them are reserved in statsd, and tenants choose their own names.

    Parameters
    ----------
    *parts : str
        Components, for example ``"ttft"``, the tenant and the class.

    Returns
    -------
    str
        Name such as ``ttft.archive.desk``.
    """
    return ".".join(re.sub(r"[^A-Za-z0-9_-]", "_", part) for part in parts)
