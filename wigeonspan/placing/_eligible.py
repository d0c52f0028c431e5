"""Targets that take a request: not excluded, paused, suspended or limited."""

import math
from collections.abc import Collection, Sequence

from wigeonspan.placing._health import TargetAvailability
from wigeonspan.ratelimits import ReturnSchedule, SharedRateLimits
from wigeonspan.targets import Target, TargetId


class EligibleTargets:
    """Select targets by their pauses, limits and suspensions.

    Parameters
    ----------
    health : TargetAvailability
        Pauses and suspensions.
    limits : SharedRateLimits
        Limits that targets set on the requests of all entries.
    """

    def __init__(self, health: TargetAvailability, limits: SharedRateLimits) -> None:
        self._health = health
        self._limits = limits
        self._returns = ReturnSchedule()

    def select(
        self,
        targets: Sequence[Target],
        excluded: Collection[TargetId],
        now: float,
        claimed: Collection[TargetId] = (),
    ) -> list[Target]:
        """Return the targets that are not excluded and take a request now.

        Parameters
        ----------
        claimed : collection of TargetId
            Targets whose limit allows this request although the next one has to wait.
        """
        return [
            target
            for target in targets
            if target.target not in excluded
            and (target.target in claimed or not self._blocked_s(target.target, now))
        ]

    def without_suspended(self, targets: list[Target], now: float) -> list[Target]:
        """Return the targets that are not suspended, or all if every one is."""
        not_suspended = [t for t in targets if self._health.available(t.target, now)]
        return not_suspended or targets

    def return_after_s(self, targets: Sequence[Target], now: float) -> float:
        """Return the seconds after which one of the targets takes a request again.

        Each call returns the time for one more caller, as far as the targets limit
        their requests. It is 0 when there is no target, or one that takes a request.

        Parameters
        ----------
        targets : sequence of Target
            Targets of one service.
        """
        waits_s = [self._blocked_s(t.target, now) for t in targets]
        first_s = min(waits_s, default=0.0)
        rate = sum(self._limits.own_rate(t.target) for t in targets)
        if not first_s or rate == math.inf:
            return first_s
        return self._returns.next_return_s(targets[0].service, first_s, rate, now)

    def _blocked_s(self, target: TargetId, now: float) -> float:
        """Return the seconds until a target's pause and limit allow a request."""
        pause_s = self._health.remaining_pause_s(target, now)
        return max(pause_s, self._limits.wait_s(target, now))
