"""Rates of the engines, learnt from the work that entries saw."""

from wigeonspan.catalog import Engine, Role
from wigeonspan.common import EngineId
from wigeonspan.distribution import EngineSample
from wigeonspan.planning._goodput import Rates
from wigeonspan.planning._messages import PlanningSettings

BUSY = 1.5
"""Mean number of requests before their first token from which an engine counts as
busy all the time, so that its throughput is its rate."""

WEIGHT = 0.1
"""Weight of the newest interval in a rate; samples are lossy, so one says little."""

MIN_FACTOR = 0.25
MAX_FACTOR = 4.0
"""Bounds of a learnt rate as multiples of the setting; beyond them samples were lost
or counted twice."""

MIN_EFFICIENCY = 0.4
"""Lower bound of the efficiency of mixed engines, against a run of lost samples."""


class RateBook:
    """Rates of the engines of one service.

    An engine whose throughput exceeds the known rate raises it. One that was busy all
    the time and did less lowers it. Idle engines say nothing.

    Parameters
    ----------
    settings : PlanningSettings
        Rates that hold until something is known.
    """

    def __init__(self, settings: PlanningSettings) -> None:
        self._settings = settings
        self._prefill = settings.prefill_tokens_per_s
        self._decode = settings.decode_tokens_per_s
        self._efficiency = settings.mixed_efficiency

    @property
    def rates(self) -> Rates:
        """Rates to plan with."""
        part = self._settings.utilisation
        return Rates(self._prefill * part, self._decode * part, self._efficiency)

    def note(
        self,
        engines: dict[EngineId, Engine],
        samples: list[EngineSample],
        interval_s: float,
    ) -> None:
        """Learn from the work of one interval."""
        for sample in samples:
            engine = engines.get(sample.engine)
            if engine is None or engine.wanted_role is not engine.role:
                continue
            prefill = sample.prefill_tokens / interval_s
            decode = sample.decode_tokens / interval_s
            waiting = sample.prefill_s / interval_s
            if engine.role is Role.PREFILL:
                base = self._settings.prefill_tokens_per_s
                self._prefill = _learn(self._prefill, prefill, waiting, base)
            elif engine.role is Role.DECODE:
                base = self._settings.decode_tokens_per_s
                self._decode = _learn(self._decode, decode, 0.0, base)
            elif waiting >= BUSY and prefill and decode:
                work = prefill / self._prefill + decode / self._decode
                work = min(1.0, max(MIN_EFFICIENCY, work))
                self._efficiency += WEIGHT * (work - self._efficiency)


def _learn(rate: float, seen: float, waiting: float, base: float) -> float:
    """Return a rate moved towards what was seen, when that says anything."""
    if seen > rate or waiting >= BUSY:
        rate += WEIGHT * (seen - rate)
    return min(MAX_FACTOR * base, max(MIN_FACTOR * base, rate))
