"""Rates of the engines, learnt from the work that entries saw."""

from dataclasses import dataclass

from wigeonspan.catalog import Engine, Role
from wigeonspan.common import EngineId
from wigeonspan.distribution import EngineSample
from wigeonspan.planning._goodput import Rates
from wigeonspan.planning._messages import PlanningSettings

BUSY = 1.5
"""Mean number of requests before their first token from which an engine counts as
busy all the time, so that its throughput is its rate."""

JUDGED_S = 30.0
"""Time over which work is summed before it is judged; an engine ends only a few long
prompts in one interval."""

WEIGHT = 0.3
"""Weight of the newest sum in a rate."""

TIMELY_PART = 0.8
"""Part of the answers of mixed engines that counts as on time. Tokens come slower while
prompts run, so with the plain efficiency the planner kept engines mixed whose answers
were late."""

FAST = 1.1
SLOW = 0.7
"""Parts of the known rate between which nothing is learnt: lost samples and cached
prefixes make engines look slower than they are."""

SLOW_TIMES = 3
"""Sums in a row that must be slow before a rate falls; an engine that returns from a
change is busy at first and has ended little."""

MIN_FACTOR = 0.25
MAX_FACTOR = 4.0
"""Bounds of a learnt rate as multiples of the setting; beyond them samples were lost
or counted twice."""


@dataclass(slots=True)
class _Work:
    """Work of the engines of one role since the rates were last judged."""

    engine_s: float = 0.0
    prefill: float = 0.0
    decode: float = 0.0
    waiting_s: float = 0.0


class RateBook:
    """Rates of the engines of one service.

    Engines of a role whose throughput exceeds the known rate raise it. When they were
    busy all the time and did far less, it falls. Idle engines say nothing.

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
        self._work = {role: _Work() for role in Role}
        self._elapsed = 0.0
        self._slow = {role: 0 for role in Role}

    @property
    def rates(self) -> Rates:
        """Rates to plan with."""
        part = self._settings.utilisation
        mixed = self._efficiency * TIMELY_PART
        return Rates(self._prefill * part, self._decode * part, mixed)

    def note(
        self,
        engines: dict[EngineId, Engine],
        samples: list[EngineSample],
        interval_s: float,
    ) -> None:
        """Add the work of one interval, and judge it when there is enough."""
        for sample in samples:
            engine = engines.get(sample.engine)
            if engine is None or engine.wanted_role is not engine.role:
                continue
            work = self._work[engine.role]
            work.engine_s += interval_s
            work.prefill += sample.prefill_tokens
            work.decode += sample.decode_tokens
            work.waiting_s += sample.prefill_s
        self._elapsed += interval_s
        if self._elapsed >= JUDGED_S:
            self._judge()
            self._work = {role: _Work() for role in Role}
            self._elapsed = 0.0

    def _judge(self) -> None:
        settings = self._settings
        prefill, decode = self._work[Role.PREFILL], self._work[Role.DECODE]
        if prefill.engine_s:
            busy = prefill.waiting_s / prefill.engine_s >= BUSY
            seen = prefill.prefill / prefill.engine_s
            base = settings.prefill_tokens_per_s
            self._prefill = self._learn(Role.PREFILL, self._prefill, seen, busy, base)
        if decode.engine_s:
            seen = decode.decode / decode.engine_s
            base = settings.decode_tokens_per_s
            self._decode = self._learn(Role.DECODE, self._decode, seen, False, base)
        mixed = self._work[Role.MIXED]
        if mixed.engine_s and mixed.prefill and mixed.decode:
            busy = mixed.waiting_s / mixed.engine_s >= BUSY
            seen = mixed.prefill / self._prefill + mixed.decode / self._decode
            seen /= mixed.engine_s
            base = settings.mixed_efficiency
            learnt = self._learn(Role.MIXED, self._efficiency, seen, busy, base)
            self._efficiency = min(1.0, learnt)

    def _learn(
        self, role: Role, rate: float, seen: float, busy: bool, base: float
    ) -> float:
        """Return a rate moved towards what was seen, when that says anything."""
        slow = busy and seen < SLOW * rate
        self._slow[role] = self._slow[role] + 1 if slow else 0
        if seen > FAST * rate or self._slow[role] >= SLOW_TIMES:
            rate += WEIGHT * (seen - rate)
        return min(MAX_FACTOR * base, max(MIN_FACTOR * base, rate))
