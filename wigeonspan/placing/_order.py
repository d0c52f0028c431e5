"""Order of work at the engines: the rank of a request, and who yields.

It answers bursts in which large and small prompts compete for the same engines: what
can still be on time goes first, and what cannot must not delay it.
"""

from wigeonspan.fleetconfig import Route
from wigeonspan.placing._messages import Plan
from wigeonspan.placing._sizes import WorkSizes
from wigeonspan.placing._standing import StandingQueueDetector

LAXITY_RANKS_MS = (150.0, 300.0, 500.0)
"""Upper bounds of the laxity for ranks 0, 1 and 2 at the engines; requests above the
last one get rank 3. The laxity is the time in milliseconds that a request can still
wait without missing its objective. The least laxity goes first, so that a large prompt,
whose prefill takes most of its objective, does not wait behind small ones that have
time."""

LATE_URGENCY = 5
"""Rank of a request that cannot meet its objective, behind all those that can."""

OVERTAKEN_SHARE = 0.75
"""Share by which more urgent requests that arrive later in a burst extend a wait, for
ranks from ``OVERTAKEN_RANK`` on."""

OVERTAKEN_RANK = 2
"""Rank from which requests are often overtaken by later ones."""

MAX_URGENCY = 9
"""Largest rank that engines support."""


class WorkOrder:
    """Rank requests by their laxity, and decide which late ones yield."""

    def __init__(self) -> None:
        self._sizes = WorkSizes()
        self._standing_queue = StandingQueueDetector()

    def urgency(self, route: Route, spent_ms: float) -> int:
        """Return the rank of a request; see ``LAXITY_RANKS_MS``.

        Parameters
        ----------
        spent_ms : float
            Milliseconds from the arrival to the first event if it does not wait at all.
        """
        laxity_ms = route.objective_s * 1000.0 - spent_ms
        if laxity_ms < 0.0:
            return LATE_URGENCY
        return sum(1 for bound in LAXITY_RANKS_MS if laxity_ms >= bound)

    def record(self, route: Route, plan: Plan, *, late: bool, now: float) -> None:
        """Record a placed request, and whether it is expected to be late."""
        self._sizes.record(route.name, plan.work_ms)
        self._standing_queue.record(late, now)

    def has_standing_queue(self, now: float) -> bool:
        """Return whether late requests are refused until a queue is gone."""
        return self._standing_queue.is_standing(now)

    def should_yield(self, route: Route, plan: Plan) -> bool:
        """Return whether a late prompt has to yield to those that can be on time.

        Short prompts keep their rank because yielding saves others little time. The
        largest prompts of a route keep it because they would yield most often and
        starve.
        """
        return self._sizes.is_long(plan.work_ms) and not self._is_largest(route, plan)

    def _is_largest(self, route: Route, plan: Plan) -> bool:
        return self._sizes.is_largest(route.name, plan.work_ms)


def is_expected_late(plan: Plan, remaining_ms: float) -> bool:
    """Return whether a request is expected to miss its objective because of its wait.

    A request that could not meet its objective even at an idle engine does not count.
    """
    if plan.urgency >= LATE_URGENCY:
        return False
    overtaken = OVERTAKEN_SHARE if plan.urgency >= OVERTAKEN_RANK else 0.0
    wait_ms = max(plan.wait_ms, plan.slot_wait_ms)
    return plan.first_ms + overtaken * wait_ms > remaining_ms
