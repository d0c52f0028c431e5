"""Demand of the services, with its trend, from the entries' summaries."""

from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

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

HISTORY_S = 240.0
"""Time constant with which past demand fades from the long view. It spans several
periods of a mix that swings each minute."""

BIN_S = 15.0
"""Length of the bins of the long view; the noise of arrivals averages out in them."""

LEAD_S = 30.0
"""How far ahead forecasts are compared with what came: drain, change and first use."""

ERROR_S = 120.0
"""Time constant of the mean error of a forecast."""


@dataclass(slots=True)
class _ClassDemand:
    """Mean demand of one group of classes."""

    level: Load = Load()
    trend: Load = Load()
    output_length: float = 0.0


class Scenario(NamedTuple):
    """Demand that may come, and how likely it is."""

    demand: Demand
    weight: float


class ServiceDemand:
    """Demand of one service over time, as a forecast with two views.

    The short view extends the level by its trend. The long view expects any of the
    mixes of the last minutes. Each is weighted by how well its forecasts of
    ``LEAD_S`` ago did: a lasting turn favours the short view, a mix that swings back
    sooner than a change can be made favours the long one.
    """

    def __init__(self) -> None:
        self._urgent = _ClassDemand()
        self._batch = _ClassDemand()
        self._began_at: float | None = None
        self._bins: deque[tuple[float, Demand]] = deque()
        self._bin: tuple[float, float, Demand] | None = None
        self._forecasts: deque[tuple[float, Demand, Demand]] = deque()
        self._errors = [0.0, 0.0]

    @property
    def short_view_weight(self) -> float:
        """Weight of the short view, from 0 to 1."""
        short, long = self._errors
        total = short * short + long * long
        return long * long / total if total > 0 else 0.5

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
        first = self._began_at is None
        for known, load in ((self._urgent, seen.urgent), (self._batch, seen.batch)):
            _smooth(known, load, interval_s, first)
        if self._began_at is None:
            self._began_at = now - interval_s
        self._fill_bin(seen, interval_s, now)
        self._compare(self._level(), interval_s, now)

    def known_s(self, now: float) -> float:
        """Return for how long demand has been known, in seconds."""
        return 0.0 if self._began_at is None else now - self._began_at

    def scenarios(self, now: float) -> list[Scenario]:
        """Return the demands to plan for; their weights sum to 1."""
        weight = self.short_view_weight
        short = Scenario(self._short(LEAD_S), weight)
        bins = self._bins
        if not bins:
            return [Scenario(short.demand, 1.0)]
        ages = [0.5 ** ((now - at) / HISTORY_S) for at, _ in bins]
        part = (1 - weight) / sum(ages)
        return [short] + [
            Scenario(demand, age * part)
            for age, (_, demand) in zip(ages, bins, strict=True)
        ]

    def _short(self, ahead_s: float) -> Demand:
        return Demand(_ahead(self._urgent, ahead_s), _ahead(self._batch, ahead_s))

    def _level(self) -> Demand:
        return Demand(self._urgent.level, self._batch.level)

    def _long(self, now: float) -> Demand:
        """Return the mean of the long view."""
        urgent, batch, total = Load(), Load(), 0.0
        for at, demand in self._bins:
            weight = 0.5 ** ((now - at) / HISTORY_S)
            urgent = urgent.plus(demand.urgent, weight)
            batch = batch.plus(demand.batch, weight)
            total += weight
        if not total:
            return self._level()
        return Demand(Load().plus(urgent, 1 / total), Load().plus(batch, 1 / total))

    def _fill_bin(self, seen: Demand, interval_s: float, now: float) -> None:
        if self._bin is None:
            self._bin = (now - interval_s, 0.0, Demand(Load(), Load()))
        start, length, total = self._bin
        total = Demand(
            total.urgent.plus(seen.urgent, interval_s),
            total.batch.plus(seen.batch, interval_s),
        )
        length += interval_s
        self._bin = (start, length, total)
        if now - start < BIN_S:
            return
        mean = Demand(
            Load().plus(total.urgent, 1 / length), Load().plus(total.batch, 1 / length)
        )
        self._bins.append((now, mean))
        while self._bins[0][0] < now - 3 * HISTORY_S:
            self._bins.popleft()
        self._bin = None

    def _compare(self, level: Demand, interval_s: float, now: float) -> None:
        """Compare the forecasts that were made for now with the level."""
        while self._forecasts and self._forecasts[0][0] <= now:
            _, short, long = self._forecasts.popleft()
            weight = min(1.0, interval_s / ERROR_S)
            for view, forecast in enumerate((short, long)):
                error = _distance(forecast, level)
                self._errors[view] += weight * (error - self._errors[view])
        self._forecasts.append((now + LEAD_S, self._short(LEAD_S), self._long(now)))


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


def _distance(a: Demand, b: Demand) -> float:
    """Return how far two demands differ, relative to their size."""
    total = 0.0
    for kind in ("prompt", "output"):
        one = getattr(a.urgent, kind) + getattr(a.batch, kind)
        other = getattr(b.urgent, kind) + getattr(b.batch, kind)
        total += abs(one - other) / max(one, other, 1e-9)
    return total
