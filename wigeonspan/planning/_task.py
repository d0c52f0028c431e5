"""Task that plans roles on the leader and commits its decisions."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from wigeonspan.catalog import CatalogObject, Engine, Policy, SetEngineState
from wigeonspan.common import Clock, EngineId, WigeonspanError, part_logger
from wigeonspan.consensus import ReplicatedLog
from wigeonspan.distribution import DemandSample, EngineSample
from wigeonspan.planning._core import Planner, is_usable
from wigeonspan.planning._messages import (
    PlanInputs,
    PlanningSettings,
    RoleChange,
    ServiceDecision,
)
from wigeonspan.record import RecordDecision

log = part_logger("planning")

CHECK_INTERVAL_S = 1.0
"""Seconds between two checks of the engines; a lost engine leads to a new plan within
this time."""


class DemandSource(Protocol):
    """Samples that the planner reads on the leader; see ``SampleWindow``."""

    def covered_s(self, now: float, window_s: float) -> float:
        """Return the seconds of a window for which there are samples."""
        ...

    def demand(self, now: float, window_s: float) -> list[DemandSample]:
        """Return the demand of the last ``window_s`` seconds."""
        ...

    def engine_work(self, now: float, window_s: float) -> list[EngineSample]:
        """Return the work of each engine in the last ``window_s`` seconds."""
        ...


class PlannerTask:
    """Plans roles periodically while this host leads.

    Parameters
    ----------
    replicated_log : ReplicatedLog
        Log to which decisions are committed.
    objects : callable
        Returns the objects of the catalog.
    samples : callable
        Returns the samples since this host became leader, or None if it does not lead.
    encode_command : callable
        Encodes a command for the replicated log.
    clock : Clock
        Source of time.
    settings : PlanningSettings
        Settings of the planner.
    """

    def __init__(
        self,
        replicated_log: ReplicatedLog,
        objects: Callable[[], list[CatalogObject]],
        samples: Callable[[], DemandSource | None],
        encode_command: Callable[[SetEngineState | RecordDecision], bytes],
        clock: Clock,
        settings: PlanningSettings | None = None,
    ) -> None:
        self._log = replicated_log
        self._objects = objects
        self._samples = samples
        self._encode = encode_command
        self._clock = clock
        self._settings = settings or PlanningSettings()
        self._planner: Planner | None = None
        self._term = -1
        self._recorded_at = clock.now()
        self._usable: frozenset[EngineId] = frozenset()

    async def run(self) -> None:
        """Plan periodically until cancelled, and early if the usable engines change."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if not self._is_due():
                continue
            try:
                await self.step()
            except WigeonspanError as error:
                log.info("plan was not committed: {}", error)

    async def step(self) -> int:
        """Plan once, if this host leads, and commit the decisions with changes.

        Returns
        -------
        int
            Number of role changes that were committed.
        """
        samples = self._samples()
        if not self._log.is_leader or samples is None:
            self._planner = None
            return 0
        planner = self._planner_for_term()
        now = self._clock.now()
        interval = samples.covered_s(now, now - self._recorded_at)
        if interval > 0:
            planner.record_demand(samples.demand(now, interval), interval, now)
            planner.record_engine_work(samples.engine_work(now, interval), interval)
        self._recorded_at = now
        inputs = self._inputs()
        self._usable = _usable_names(inputs)
        plan = planner.plan(inputs, now)
        for decision in plan.decisions:
            if decision.changes:
                await self._commit(decision)
        return len(plan.changes)

    def _is_due(self) -> bool:
        elapsed = self._clock.now() - self._recorded_at
        if elapsed >= self._settings.interval_s:
            return True
        return self._log.is_leader and _usable_names(self._inputs()) != self._usable

    def _planner_for_term(self) -> Planner:
        """Return the planner of this term; each term starts without recorded demand."""
        if self._planner is None or self._term != self._log.term:
            self._planner = Planner(self._settings)
            self._term = self._log.term
            self._recorded_at = self._clock.now() - self._settings.interval_s
        return self._planner

    def _inputs(self) -> PlanInputs:
        objects = self._objects()
        policies = [o for o in objects if isinstance(o, Policy)]
        engines = [o for o in objects if isinstance(o, Engine)]
        return PlanInputs(engines, policies[0] if policies else Policy())

    async def _commit(self, decision: ServiceDecision) -> None:
        """Commit the decision before its changes, so that each has a stored reason."""
        wall_ms = self._clock.wall_ms()
        subjects = tuple(f"engine/{c.engine}" for c in decision.changes)
        record = RecordDecision(
            part="planning",
            subjects=(f"model_service/{decision.service}", *subjects),
            summary=decision.summary,
            inputs=decision.inputs,
            alternatives=decision.alternatives,
            reason=decision.reason,
            wall_ms=wall_ms,
        )
        await self._log.propose(self._encode(record))
        for change in decision.changes:
            await self._log.propose(self._encode(_command(change, wall_ms)))
        log.info("{}", decision.summary)


def _usable_names(inputs: PlanInputs) -> frozenset[EngineId]:
    return frozenset(e.name for e in inputs.engines if is_usable(e))


def _command(change: RoleChange, wall_ms: int) -> SetEngineState:
    return SetEngineState(
        engine=change.engine,
        expected_version=change.expected_version,
        reason=change.reason,
        wall_ms=wall_ms,
        wanted_role=change.new,
    )
