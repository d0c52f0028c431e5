"""Demand of each service, forecast from the samples of the entries."""

from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

from wigeonspan.catalog import URGENT_CLASSES
from wigeonspan.common import ServiceName
from wigeonspan.distribution import DemandSample
from wigeonspan.planning._goodput import Demand, Load

LEVEL_TIME_CONSTANT_S = 15.0
"""Time constant of the mean demand; it spans several planning intervals."""

TREND_TIME_CONSTANT_S = 30.0
"""Time constant of the trend; a shorter one would follow the noise of arrivals."""

OUTPUT_LENGTH_WEIGHT = 0.1
"""Weight of the newest interval in the mean output length, which can be measured only
for requests that ended."""

HISTORY_HALF_LIFE_S = 240.0
"""Half-life of the weight of past demand in the history forecast. It spans several
periods of a workload mix that alternates each minute."""

BIN_S = 15.0
"""Length of the bins of the history forecast; the noise of arrivals averages out over
a bin."""

FORECAST_LEAD_S = 30.0
"""Horizon of the forecasts: the seconds to drain an engine, change its role and use it
for the first time. A forecast is compared with the demand at the end of this time."""

ERROR_TIME_CONSTANT_S = 120.0
"""Time constant of the mean error of each forecast."""


@dataclass(slots=True)
class _ClassDemand:
    """Smoothed demand of a group of priority classes: urgent or batch."""

    level: Load = Load()
    trend: Load = Load()
    output_length: float = 0.0


class Scenario(NamedTuple):
    """Possible future demand with its probability."""

    demand: Demand
    weight: float


class ServiceDemand:
    """Demand of one service over time, with two forecasts.

    The trend forecast extrapolates the mean demand. The history forecast assumes that
    any workload mix of the last minutes may return. Each is weighted by how accurately
    it predicted the current demand ``FORECAST_LEAD_S`` ago. A lasting change of the
    demand favours the trend forecast; a mix that reverts before a role change takes
    effect favours the history forecast.
    """

    def __init__(self) -> None:
        self._urgent = _ClassDemand()
        self._batch = _ClassDemand()
        self._started_at: float | None = None
        self._bins: deque[tuple[float, Demand]] = deque()
        self._bin: tuple[float, float, Demand] | None = None
        self._forecasts: deque[tuple[float, Demand, Demand]] = deque()
        self._errors = [0.0, 0.0]

    @property
    def trend_weight(self) -> float:
        """Weight of the trend forecast, from 0 to 1."""
        trend, history = self._errors
        total = trend * trend + history * history
        return history * history / total if total > 0 else 0.5

    def record(
        self, samples: list[DemandSample], interval_s: float, now: float
    ) -> None:
        """Record the samples of one interval.

        Parameters
        ----------
        samples : list of DemandSample
            Samples of this service.
        interval_s : float
            Length of the interval in seconds.
        now : float
            Monotonic time in seconds.
        """
        urgent = [s for s in samples if s.priority in URGENT_CLASSES]
        batch = [s for s in samples if s.priority not in URGENT_CLASSES]
        observed = Demand(
            _measure_load(self._urgent, urgent, interval_s),
            _measure_load(self._batch, batch, interval_s),
        )
        first = self._started_at is None
        for average, load in (
            (self._urgent, observed.urgent),
            (self._batch, observed.batch),
        ):
            _update_average(average, load, interval_s, first)
        if self._started_at is None:
            self._started_at = now - interval_s
        self._add_to_bin(observed, interval_s, now)
        self._update_forecast_errors(self._level(), interval_s, now)

    def observed_s(self, now: float) -> float:
        """Return the seconds since the first recorded interval began; 0 before it."""
        return 0.0 if self._started_at is None else now - self._started_at

    def scenarios(self, now: float) -> list[Scenario]:
        """Return the demands to plan for, trend forecast first; weights sum to 1."""
        weight = self.trend_weight
        trend = Scenario(self._trend_forecast(FORECAST_LEAD_S), weight)
        bins = self._bins
        if not bins:
            return [Scenario(trend.demand, 1.0)]
        recency = [0.5 ** ((now - at) / HISTORY_HALF_LIFE_S) for at, _ in bins]
        scale = (1 - weight) / sum(recency)
        return [trend] + [
            Scenario(demand, bin_weight * scale)
            for bin_weight, (_, demand) in zip(recency, bins, strict=True)
        ]

    def _trend_forecast(self, ahead_s: float) -> Demand:
        return Demand(
            _extrapolate(self._urgent, ahead_s), _extrapolate(self._batch, ahead_s)
        )

    def _level(self) -> Demand:
        return Demand(self._urgent.level, self._batch.level)

    def _history_forecast(self, now: float) -> Demand:
        """Return the weighted mean of the bins, or the mean demand without bins."""
        urgent, batch, total = Load(), Load(), 0.0
        for at, demand in self._bins:
            weight = 0.5 ** ((now - at) / HISTORY_HALF_LIFE_S)
            urgent = urgent.plus(demand.urgent, weight)
            batch = batch.plus(demand.batch, weight)
            total += weight
        if not total:
            return self._level()
        return Demand(Load().plus(urgent, 1 / total), Load().plus(batch, 1 / total))

    def _add_to_bin(self, observed: Demand, interval_s: float, now: float) -> None:
        """Add an interval to the current bin, and close the bin when it is full."""
        if self._bin is None:
            self._bin = (now - interval_s, 0.0, Demand(Load(), Load()))
        start, length, total = self._bin
        total = Demand(
            total.urgent.plus(observed.urgent, interval_s),
            total.batch.plus(observed.batch, interval_s),
        )
        length += interval_s
        self._bin = (start, length, total)
        if now - start < BIN_S:
            return
        mean = Demand(
            Load().plus(total.urgent, 1 / length), Load().plus(total.batch, 1 / length)
        )
        self._bins.append((now, mean))
        while self._bins[0][0] < now - 3 * HISTORY_HALF_LIFE_S:
            self._bins.popleft()
        self._bin = None

    def _update_forecast_errors(
        self, level: Demand, interval_s: float, now: float
    ) -> None:
        """Compare the forecasts for now with the mean demand and make new ones."""
        while self._forecasts and self._forecasts[0][0] <= now:
            _, trend, history = self._forecasts.popleft()
            weight = min(1.0, interval_s / ERROR_TIME_CONSTANT_S)
            for index, forecast in enumerate((trend, history)):
                error = _relative_difference(forecast, level)
                self._errors[index] += weight * (error - self._errors[index])
        self._forecasts.append(
            (
                now + FORECAST_LEAD_S,
                self._trend_forecast(FORECAST_LEAD_S),
                self._history_forecast(now),
            )
        )


class DemandByService:
    """Demand of all services by name."""

    def __init__(self) -> None:
        self._services: dict[ServiceName, ServiceDemand] = {}

    def record(
        self, samples: list[DemandSample], interval_s: float, now: float
    ) -> None:
        """Record the samples of one interval, of any services."""
        names = set(self._services) | {sample.service for sample in samples}
        for name in sorted(names):
            own = [sample for sample in samples if sample.service == name]
            self.for_service(name).record(own, interval_s, now)

    def for_service(self, service: ServiceName) -> ServiceDemand:
        """Return the demand of a service, empty for a new one."""
        return self._services.setdefault(service, ServiceDemand())


def _measure_load(
    average: _ClassDemand, samples: list[DemandSample], interval_s: float
) -> Load:
    """Return the load of an interval and update the mean output length.

    The output load is estimated from the arrivals and the mean output length of
    requests that ended, since the output of running requests is not known yet.
    """
    arrivals = sum(s.arrivals for s in samples)
    ended = sum(s.finished + s.late for s in samples)
    output = sum(s.output_tokens for s in samples)
    if ended and output:
        length = output / ended
        weight = OUTPUT_LENGTH_WEIGHT if average.output_length else 1.0
        average.output_length += weight * (length - average.output_length)
    prompt = sum(s.prompt_tokens for s in samples)
    requests = arrivals / interval_s
    return Load(requests, prompt / interval_s, requests * average.output_length)


def _update_average(
    average: _ClassDemand, load: Load, interval_s: float, first: bool
) -> None:
    """Update the exponentially smoothed level and trend with a new load."""
    if first:
        average.level = load
        return
    before = average.level
    weight = min(1.0, interval_s / LEVEL_TIME_CONSTANT_S)
    average.level = before.plus(load.plus(before, -1.0), weight)
    slope = average.level.plus(before, -1.0)
    weight = min(1.0, interval_s / TREND_TIME_CONSTANT_S)
    change = Load().plus(slope, 1 / interval_s).plus(average.trend, -1.0)
    average.trend = average.trend.plus(change, weight)


def _extrapolate(average: _ClassDemand, ahead_s: float) -> Load:
    """Return the load that the trend predicts, at least 0."""
    load = average.level.plus(average.trend, ahead_s)
    return Load(max(0.0, load.requests), max(0.0, load.prompt), max(0.0, load.output))


def _relative_difference(a: Demand, b: Demand) -> float:
    """Return the difference of two demands in tokens, relative to the larger one."""
    total = 0.0
    for kind in ("prompt", "output"):
        one = getattr(a.urgent, kind) + getattr(a.batch, kind)
        other = getattr(b.urgent, kind) + getattr(b.batch, kind)
        total += abs(one - other) / max(one, other, 1e-9)
    return total
