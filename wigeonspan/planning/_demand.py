"""Demand of the services, with its trend, from the entries' summaries."""

from collections import deque
from dataclasses import dataclass

from wigeonspan.catalog import URGENT_CLASSES
from wigeonspan.common import ServiceName
from wigeonspan.distribution import DemandSample
from wigeonspan.planning._goodput import Demand, Load

LEVEL_S = 15.0
"""Time constant of the mean demand; it holds several plans' worth of arrivals."""

TREND_S = 30.0
"""Time constant of the trend; a shorter one follows the noise of arrivals."""

LENGTH_WEIGHT = 0.1
"""Weight of the newest summary in the mean output length, which is known only for
requests that ended."""

HISTORY_S = 900.0
"""Time for which past demand is kept, to recognise a mix that swings back."""


@dataclass(slots=True)
class _ClassDemand:
    """Mean demand of one group of classes."""

    level: Load = Load()
    trend: Load = Load()
    output_length: float = 0.0


class ServiceDemand:
    """Demand of one service over time."""

    def __init__(self) -> None:
        self._urgent = _ClassDemand()
        self._batch = _ClassDemand()
        self._noted_at: float | None = None
        self.history: deque[tuple[float, Demand]] = deque()

    def note(self, samples: list[DemandSample], interval_s: float, now: float) -> None:
        """Add the summaries of one interval.

        Parameters
        ----------
        samples : list of DemandSample
            Summaries of this service.
        interval_s : float
            Time that they cover.
        now : float
            Monotonic time in seconds.
        """
        urgent = [s for s in samples if s.priority in URGENT_CLASSES]
        batch = [s for s in samples if s.priority not in URGENT_CLASSES]
        seen = Demand(
            _observed(self._urgent, urgent, interval_s),
            _observed(self._batch, batch, interval_s),
        )
        first = self._noted_at is None
        for known, load in ((self._urgent, seen.urgent), (self._batch, seen.batch)):
            _smooth(known, load, interval_s, first)
        self._noted_at = now
        self.history.append((now, seen))
        while self.history[0][0] < now - HISTORY_S:
            self.history.popleft()

    def expected(self, ahead_s: float) -> Demand:
        """Return the demand that the trend gives ``ahead_s`` seconds from now."""
        return Demand(_ahead(self._urgent, ahead_s), _ahead(self._batch, ahead_s))


class DemandBook:
    """Demand of all services."""

    def __init__(self) -> None:
        self._services: dict[ServiceName, ServiceDemand] = {}

    def note(self, samples: list[DemandSample], interval_s: float, now: float) -> None:
        """Add the summaries of one interval, of any services."""
        names = set(self._services) | {sample.service for sample in samples}
        for name in sorted(names):
            own = [sample for sample in samples if sample.service == name]
            self.of(name).note(own, interval_s, now)

    def of(self, service: ServiceName) -> ServiceDemand:
        """Return the demand of a service."""
        return self._services.setdefault(service, ServiceDemand())


def _observed(
    known: _ClassDemand, samples: list[DemandSample], interval_s: float
) -> Load:
    arrivals = sum(s.arrivals for s in samples)
    ended = sum(s.finished + s.late for s in samples)
    output = sum(s.output_tokens for s in samples)
    if ended and output:
        length = output / ended
        weight = LENGTH_WEIGHT if known.output_length else 1.0
        known.output_length += weight * (length - known.output_length)
    prompt = sum(s.prompt_tokens for s in samples)
    requests = arrivals / interval_s
    return Load(requests, prompt / interval_s, requests * known.output_length)


def _smooth(known: _ClassDemand, load: Load, interval_s: float, first: bool) -> None:
    if first:
        known.level = load
        return
    before = known.level
    weight = min(1.0, interval_s / LEVEL_S)
    known.level = before.plus(load.plus(before, -1.0), weight)
    slope = known.level.plus(before, -1.0)
    weight = min(1.0, interval_s / TREND_S)
    change = Load().plus(slope, 1 / interval_s).plus(known.trend, -1.0)
    known.trend = known.trend.plus(change, weight)


def _ahead(known: _ClassDemand, ahead_s: float) -> Load:
    load = known.level.plus(known.trend, ahead_s)
    return Load(max(0.0, load.requests), max(0.0, load.prompt), max(0.0, load.output))
