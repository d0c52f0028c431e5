"""Engine reports: passed to the router, and counted as slots for admission."""

import math
from collections.abc import Iterable

from wigeonspan.catalog import Engine, EnginePhase, Role
from wigeonspan.common import EngineId, ServiceName
from wigeonspan.engines import CacheEvents, LoadReport
from wigeonspan.routing import Router

OVERCOMMIT = 1.25
"""Slots of all entries together, relative to the engines' batches. Callers are not
spread evenly over entries, and a few requests that wait at an engine keep it busy."""


class EngineReports:
    """Takes what the poller learns.

    Parameters
    ----------
    router : Router
        Router that the reports go to.
    """

    def __init__(self, router: Router) -> None:
        self._router = router
        self._batch_limits: dict[EngineId, int] = {}

    def note_load(self, report: LoadReport, now: float) -> None:
        """Take a load report."""
        self._batch_limits[report.engine] = report.batch_limit
        self._router.note_load(report, now)

    def note_cache_events(
        self, engine: EngineId, events: CacheEvents, now: float
    ) -> None:
        """Take cache events."""
        self._router.note_cache_events(engine, events, now)

    def cache_events_after(self, engine: EngineId) -> int:
        """Return the sequence number from which to ask for cache events."""
        return self._router.cache_events_after(engine)

    def probe_targets(self, now: float) -> list[EngineId]:
        """Return ejected engines that are due for a probe."""
        return self._router.probe_targets(now)

    def probed(self, engine: EngineId, ok: bool, now: float) -> None:
        """Take the result of a probe."""
        self._router.probed(engine, ok, now)

    def slots(self, engines: Iterable[Engine], entries: int) -> dict[ServiceName, int]:
        """Return how many requests of each service one entry may run at once.

        Parameters
        ----------
        engines : iterable of Engine
            Engines of the configuration.
        entries : int
            Entries that share them.
        """
        totals: dict[ServiceName, int] = {}
        for engine in engines:
            runs = engine.phase is EnginePhase.SERVING and engine.role != Role.PREFILL
            limit = self._batch_limits.get(engine.name)
            if runs and engine.service is not None and limit is not None:
                totals[engine.service] = totals.get(engine.service, 0) + limit
        share = OVERCOMMIT / max(1, entries)
        return {name: math.ceil(total * share) for name, total in totals.items()}
