"""Rates of the engines, estimated from the work that entries observed."""

from dataclasses import dataclass

from wigeonspan.catalog import Engine, Role
from wigeonspan.common import EngineId
from wigeonspan.distribution import EngineSample
from wigeonspan.planning._goodput import EngineRates
from wigeonspan.planning._messages import PlanningSettings

BUSY_WAITING_REQUESTS = 1.5
"""Mean number of requests waiting for their first token from which an engine counts as
always busy, so that its throughput equals its rate."""

UPDATE_PERIOD_S = 30.0
"""Seconds of work that are summed for each update of the rates, since an engine
completes only a few long prompts in one planning interval."""

NEW_RATE_WEIGHT = 0.3
"""Weight of the newest measurement in a rate."""

ON_TIME_SHARE = 0.8
"""Fraction of the answers of mixed engines that counts as on time. Tokens are generated
more slowly while prompts are processed; without this factor, the planner kept engines
mixed although their answers were late."""

RAISE_ABOVE = 1.1
LOWER_BELOW = 0.7
"""Multiples of the estimated rate between which measurements do not change it. Lost
samples and cached prefixes make engines look slower than they are."""

MIN_SLOW_PERIODS = 3
"""Number of consecutive slow periods before a rate is lowered. After a role change an
engine is busy at first but has completed little work."""

MIN_RATE_FACTOR = 0.25
MAX_RATE_FACTOR = 4.0
"""Bounds of an estimated rate as multiples of the setting. A rate outside of them
means that samples were lost or counted twice."""


@dataclass(slots=True)
class _RoleWork:
    """Work of the engines of one role since the last update of the rates.

    Parameters
    ----------
    engine_s : float
        Sum of the observed seconds over all engines.
    prefill, decode : float
        Processed prompt tokens and generated tokens.
    waiting_s : float
        Sum of the seconds that requests waited for their first token.
    """

    engine_s: float = 0.0
    prefill: float = 0.0
    decode: float = 0.0
    waiting_s: float = 0.0


class RateEstimator:
    """Estimates the rates of the engines of one service.

    A throughput clearly above the estimated rate of a role raises it. A much lower
    throughput of engines that are always busy lowers it, except for decode. Idle
    engines do not change it.

    Parameters
    ----------
    settings : PlanningSettings
        Initial rates, used until there are measurements.
    """

    def __init__(self, settings: PlanningSettings) -> None:
        self._settings = settings
        self._prefill = settings.prefill_tokens_per_s
        self._decode = settings.decode_tokens_per_s
        self._efficiency = settings.mixed_efficiency
        self._work = {role: _RoleWork() for role in Role}
        self._elapsed = 0.0
        self._slow_periods = {role: 0 for role in Role}

    @property
    def rates(self) -> EngineRates:
        """Estimated rates, reduced to the planned utilisation."""
        utilisation = self._settings.utilisation
        mixed = self._efficiency * ON_TIME_SHARE
        return EngineRates(
            self._prefill * utilisation, self._decode * utilisation, mixed
        )

    def record(
        self,
        engines: dict[EngineId, Engine],
        samples: list[EngineSample],
        interval_s: float,
    ) -> None:
        """Record the work of one interval; update the rates once per period."""
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
        if self._elapsed >= UPDATE_PERIOD_S:
            self._update_rates()
            self._work = {role: _RoleWork() for role in Role}
            self._elapsed = 0.0

    def _update_rates(self) -> None:
        settings = self._settings
        prefill, decode = self._work[Role.PREFILL], self._work[Role.DECODE]
        if prefill.engine_s:
            busy = prefill.waiting_s / prefill.engine_s >= BUSY_WAITING_REQUESTS
            observed = prefill.prefill / prefill.engine_s
            base = settings.prefill_tokens_per_s
            self._prefill = self._update_rate(
                Role.PREFILL, self._prefill, observed, busy, base
            )
        if decode.engine_s:
            observed = decode.decode / decode.engine_s
            base = settings.decode_tokens_per_s
            self._decode = self._update_rate(
                Role.DECODE, self._decode, observed, False, base
            )
        mixed = self._work[Role.MIXED]
        if mixed.engine_s and mixed.prefill and mixed.decode:
            busy = mixed.waiting_s / mixed.engine_s >= BUSY_WAITING_REQUESTS
            observed = mixed.prefill / self._prefill + mixed.decode / self._decode
            observed /= mixed.engine_s
            base = settings.mixed_efficiency
            efficiency = self._update_rate(
                Role.MIXED, self._efficiency, observed, busy, base
            )
            self._efficiency = min(1.0, efficiency)

    def _update_rate(
        self, role: Role, rate: float, observed: float, busy: bool, base: float
    ) -> float:
        """Return a rate, moved towards the observed one if they differ enough.

        The result is bounded by multiples of ``base``, the rate in the settings.
        """
        slow = busy and observed < LOWER_BELOW * rate
        self._slow_periods[role] = self._slow_periods[role] + 1 if slow else 0
        if (
            observed > RAISE_ABOVE * rate
            or self._slow_periods[role] >= MIN_SLOW_PERIODS
        ):
            rate += NEW_RATE_WEIGHT * (observed - rate)
        return min(MAX_RATE_FACTOR * base, max(MIN_RATE_FACTOR * base, rate))
