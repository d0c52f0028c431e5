"""Refusals of requests, and when to come back."""

import random
from collections.abc import Collection, Sequence

from msgspec.structs import replace

from wigeonspan.fleetconfig import Route
from wigeonspan.placing._eligible import EligibleTargets
from wigeonspan.placing._ledger import WorkLedger
from wigeonspan.placing._messages import Limit, Plan, Refusal
from wigeonspan.ratelimits import SharedRateLimits
from wigeonspan.targets import Phase, Target, TargetId

NO_ENGINE_RETRY_S = 1.0
"""Seconds after which a request that finds no engine may be retried; replaced engines
are listed again within about that time."""

TOO_LARGE_RETRY_S = 60.0
"""Seconds after which a request that no engine can hold may be retried: only another
configuration could change that."""

MAX_URGENT_SHARE = 0.75
"""Maximum share of more urgent work that extends a retry time, so that it stays finite
in an overload of the urgent requests alone."""


class Refusals:
    """Make refusals with a time at which there will be room.

    Parameters
    ----------
    rng : random.Random
        Source of jitter, so that callers do not come back together.
    """

    def __init__(
        self,
        rng: random.Random,
        eligible: EligibleTargets,
        limits: SharedRateLimits,
        ledger: WorkLedger,
    ) -> None:
        self._ledger = ledger
        self._rng = rng
        self._eligible = eligible
        self._limits = limits

    def without_engine(
        self, targets: Sequence[Target], excluded: Collection[TargetId], now: float
    ) -> Refusal:
        """Return the refusal of a request when one of the phases has no engine."""
        remaining = [t for t in targets if t.target not in excluded]
        prefill = [t for t in remaining if t.phase is Phase.PREFILL]
        decode = [t for t in remaining if t.phase is not Phase.PREFILL]
        after_s = max(
            self._eligible.return_after_s(group, now) for group in (prefill, decode)
        )
        if any(t.target in self._limits.rates for t in remaining):
            reason = "engines take no more requests"
            return Refusal(Limit.RATE, reason, after_s or NO_ENGINE_RETRY_S)
        reason = "no engine is available"
        return Refusal(Limit.NO_ENGINE, reason, after_s or NO_ENGINE_RETRY_S)

    def too_large(self, need: int, capacity: float) -> Refusal:
        """Return the refusal of a request that no engine can hold."""
        reason = f"the request needs {need} of {capacity:.0f} tokens of memory"
        return Refusal(Limit.MEMORY, reason, TOO_LARGE_RETRY_S)

    def late(self, limit: Limit, reason: str, plan: Plan, route: Route) -> Refusal:
        """Return the refusal of a request whose first event would be too late."""
        if plan.awaits_memory:
            limit, reason = Limit.MEMORY, f"{reason}, no engine has the memory"
        elif plan.awaits_slot:
            limit, reason = Limit.SLOTS, f"{reason}, no slot is free"
        after_s = self.retry_after_s(plan, route)
        return Refusal(limit, reason, after_s, plan.work_ms)

    def ranked(
        self,
        limit: Limit,
        reason: str,
        plan: Plan,
        route: Route,
        engines: Collection[TargetId],
        now: float,
        overload_s: float,
    ) -> Refusal:
        """Return the refusal of a request that yields in the order of priorities.

        Parameters
        ----------
        engines : collection of TargetId
            Prefill engines, whose work determines when there will be room.
        overload_s : float
            Expected seconds until the overload has ended.
        """
        refusal = self.late(limit, reason, plan, route)
        room_s = max(overload_s, self._room_after_s(plan, engines, now))
        after_s = max(refusal.retry_after_s, room_s * self._jitter())
        return replace(refusal, retry_after_s=after_s)

    def retry_after_s(self, plan: Plan, route: Route) -> float:
        """Return the seconds after which to retry a refused request, with jitter."""
        over_s = max(0.1, plan.first_ms / 1000.0 - route.objective_s)
        return over_s * self._jitter()

    def _room_after_s(
        self, plan: Plan, engines: Collection[TargetId], now: float
    ) -> float:
        """Return the seconds until engines have done the work ahead of a priority.

        More urgent requests that arrive later go first as well, so the time grows with
        the share of such work.
        """
        band = plan.band
        ahead_ms = self._ledger.mean_backlog_ms(engines, band.late_rank, now)
        if not ahead_ms:
            return 0.0
        urgent_ms = (
            self._ledger.mean_backlog_ms(engines, band.first_rank - 1, now)
            if band.first_rank
            else 0.0
        )
        urgent_share = min(MAX_URGENT_SHARE, urgent_ms / ahead_ms)
        return ahead_ms / 1000.0 / (1.0 - urgent_share)

    def _jitter(self) -> float:
        return 0.7 + 0.6 * self._rng.random()
