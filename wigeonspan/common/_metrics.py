"""Metrics over statsd, with timing histograms per tenant and class."""

import re
from typing import Protocol

from msgspec import Struct
from statsd import StatsClient


class MetricsSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Where metrics go; nothing is sent unless ``enabled`` is true."""

    enabled: bool = False
    host: str = "127.0.0.1"
    port: int = 8125
    prefix: str = "wigeonspan"


class Metrics(Protocol):
    """Sink of counters, gauges and timings."""

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
    """Sink that drops everything."""

    def count(self, name: str, amount: int = 1) -> None:
        """Drop a count."""

    def gauge(self, name: str, value: float) -> None:
        """Drop a gauge."""

    def timing(self, name: str, seconds: float) -> None:
        """Drop a timing."""


class StatsdMetrics:
    """Sink that sends UDP datagrams to a statsd collector.

    Parameters
    ----------
    settings : MetricsSettings
        Address and prefix. A collector that does not listen costs nothing, because
        UDP has no connection.
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
    """Return the sink that the settings ask for."""
    return StatsdMetrics(settings) if settings.enabled else NoMetrics()


def metric_name(*parts: str) -> str:
    """Join parts to a metric name.

    Characters that statsd reserves are replaced, because tenants choose their names.

    Parameters
    ----------
    *parts : str
        For example ``"ttft"``, tenant, class.

    Returns
    -------
    str
        Name such as ``ttft.archive.desk``.
    """
    return ".".join(re.sub(r"[^A-Za-z0-9_-]", "_", part) for part in parts)
