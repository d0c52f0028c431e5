"""Order of work at the engines: the rank of a request, and who yields.

It answers bursts in which large and small prompts compete for the same engines: what
can still be on time goes first, and what cannot must not delay it.
"""

from collections import defaultdict

from wigeonspan.common import ServiceName
from wigeonspan.fleetconfig import Route
from wigeonspan.placing._messages import Plan
from wigeonspan.placing._priority import ENGINE_RANKS, SOLE_BAND, PriorityBand
from wigeonspan.placing._shedding import LoadShedding
from wigeonspan.placing._sizes import WorkSizes
from wigeonspan.placing._standing import StandingQueueDetector

LATE_URGENCY = SOLE_BAND.late_rank
"""Rank of a request that cannot meet its objective where all requests of the service
have the same priority, behind all those that can."""

OVERTAKEN_SHARE = 0.75
"""Share by which more urgent requests that arrive later in a burst extend a wait, for
ranks from ``OVERTAKEN_RANK`` on."""

OVERTAKEN_RANK = 2
"""Rank from which requests are often overtaken by later ones."""

MAX_URGENCY = ENGINE_RANKS - 1
"""Largest rank that engines support."""


class WorkOrder:
    """Rank requests by priority and laxity, and decide which late ones yield."""

    def __init__(self) -> None:
        self._sizes = WorkSizes()
        self._standing_queue = StandingQueueDetector()
        self._shedding: defaultdict[ServiceName, LoadShedding] = defaultdict(
            LoadShedding
        )

    def urgency(
        self, route: Route, spent_ms: float, band: PriorityBand = SOLE_BAND
    ) -> int:
        """Return the rank of a request; see :meth:`PriorityBand.rank`.

        Parameters
        ----------
        spent_ms : float
            Milliseconds from the arrival to the first event if it does not wait at all.
        """
        return band.rank(route.objective_s * 1000.0 - spent_ms)

    def record(self, route: Route, plan: Plan, *, late: bool, now: float) -> None:
        """Record a placed request, and whether it is expected to be late."""
        self._sizes.record(route.name, plan.work_ms)
        if plan.band.is_sole:
            self._standing_queue.record(late, now)
        else:
            self._shedding_of(plan).record(plan.band, late, now)

    def refuses_late(self, plan: Plan, now: float) -> bool:
        """Return whether late requests like this one are refused for a queue."""
        if plan.band.is_sole:
            return self._standing_queue.is_standing(now)
        return self._shedding_of(plan).refuses_late(plan.band, now)

    def room_after_s(self, plan: Plan, now: float) -> float:
        """Return the expected seconds until an overload of the service has ended.

        It is 0 without an overload.
        """
        return self._shedding_of(plan).room_after_s(now)

    def is_closed(self, plan: Plan) -> bool:
        """Return whether all requests of a priority are refused for more urgent ones.

        See :class:`LoadShedding`.
        """
        return self._shedding_of(plan).is_closed(plan.band)

    def should_yield(self, route: Route, plan: Plan) -> bool:
        """Return whether a late prompt has to yield to those that can be on time.

        Short prompts keep their rank because yielding saves others little time. The
        largest prompts of a route keep it because they would yield most often and
        starve.
        """
        return self._sizes.is_long(plan.work_ms) and not self._is_largest(route, plan)

    def _shedding_of(self, plan: Plan) -> LoadShedding:
        """Return the state of the service whose engines do the work."""
        return self._shedding[plan.decode.service]

    def _is_largest(self, route: Route, plan: Plan) -> bool:
        return self._sizes.is_largest(route.name, plan.work_ms)


def is_expected_late(plan: Plan, remaining_ms: float) -> bool:
    """Return whether a request is expected to miss its objective because of its wait.

    A request that could not meet its objective even at an idle engine does not count.
    """
    if plan.band.width > 1 and plan.urgency >= plan.band.late_rank:
        return False
    overtaken = OVERTAKEN_SHARE if plan.urgency >= OVERTAKEN_RANK else 0.0
    wait_ms = max(plan.wait_ms, plan.slot_wait_ms)
    return plan.first_ms + overtaken * wait_ms > remaining_ms
