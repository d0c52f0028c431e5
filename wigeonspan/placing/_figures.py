"""Figures that the choice of engines and targets compares, for explanations."""

from collections.abc import Sequence

from msgspec import Struct

from wigeonspan.fleetconfig import Route
from wigeonspan.placing._estimate import EngineEstimate
from wigeonspan.placing._health import TargetAvailability
from wigeonspan.placing._ledger import WorkLedger
from wigeonspan.placing._memory import EngineMemory
from wigeonspan.placing._messages import Prompt
from wigeonspan.placing._order import WorkOrder
from wigeonspan.placing._pace import TargetPace
from wigeonspan.placing._prefixes import CachedPrefixes
from wigeonspan.placing._priority import PriorityBand
from wigeonspan.placing._slots import SlotForecast
from wigeonspan.placing._speed import SlowdownFactors
from wigeonspan.placing._work_queue import WorkKind
from wigeonspan.ratelimits import SharedRateLimits
from wigeonspan.targets import Phase, Target, TargetId


class GenerationFigures(Struct, frozen=True):
    """Figures of an engine for one prompt.

    Parameters
    ----------
    wait_ms : float
        Expected time in milliseconds until the engine starts the prefill.
    cost_ms : float
        Expected time in milliseconds for copy and prefill.
    cached_tokens : int
        Leading tokens of the prompt that the engine has cached.
    prefilled_tokens, copied_tokens : int
        Tokens that it would prefill itself, and copy from another engine.
    slot_wait_ms : float
        Expected time in milliseconds until the engine has a slot and the memory for the
        stream.
    cross_domain_ms : float
        Penalty in milliseconds for an engine in another failure domain.
    overtaken : int
        Waiting prompts that this one would overtake.
    room_tokens : int or None
        Tokens of memory that are free there for new streams; None when the memory is
        not considered.
    """

    wait_ms: float
    cost_ms: float
    cached_tokens: int
    prefilled_tokens: int
    copied_tokens: int
    slot_wait_ms: float
    cross_domain_ms: float
    overtaken: int
    room_tokens: int | None = None


class TargetFigures(Struct, frozen=True):
    """State of a target as the choice sees it.

    Parameters
    ----------
    available : bool
        Whether it may get a request as far as its suspension is concerned.
    pause_s : float
        Seconds for which the target wants no requests from this entry.
    limited_s : float
        Seconds until its limit on requests allows one of this entry.
    penalty_ms : float
        Penalty in milliseconds for its failures.
    slowness : float
        Ratio of its times to the nominal ones.
    work, streams : int
        Units of work of all entries there, and those that take or await a slot.
    pace_limit : int or None
        Limit on the work since its start or recovery; None when there is none.
    generation : GenerationFigures or None
        Figures for the prompt; None for plain calls and unavailable engines.
    """

    target: TargetId
    phase: str
    domain: str
    available: bool
    pause_s: float
    limited_s: float
    penalty_ms: float
    slowness: float
    slots: int
    work: int
    streams: int
    pace_limit: int | None
    generation: GenerationFigures | None = None


class PlacementFigures:
    """Figures of targets, from the parts of a placer."""

    def __init__(
        self,
        ledger: WorkLedger,
        prefixes: CachedPrefixes,
        speeds: SlowdownFactors,
        health: TargetAvailability,
        slots: SlotForecast,
        limits: SharedRateLimits,
        pace: TargetPace,
        order: WorkOrder,
        estimate: EngineEstimate,
        memory: EngineMemory,
    ) -> None:
        self._ledger = ledger
        self._prefixes = prefixes
        self._speeds = speeds
        self._health = health
        self._slots = slots
        self._limits = limits
        self._pace = pace
        self._order = order
        self._estimate = estimate
        self._memory = memory

    def of_calls(self, targets: Sequence[Target], now: float) -> list[TargetFigures]:
        """Return the figures of targets for a plain call."""
        penalties = self._health.failure_penalties_ms([t.target for t in targets])
        return [
            self._figures(t, penalties, self._speeds.factor(t.target, now), None, now)
            for t in targets
        ]

    def of_generation(
        self,
        targets: Sequence[Target],
        prompt: Prompt,
        route: Route,
        urgency: int | None,
        band: PriorityBand,
        now: float,
    ) -> tuple[int, list[TargetFigures]]:
        """Return the rank of a generation and the figures of engines for it.

        Parameters
        ----------
        urgency : int or None
            Rank in its plan; None to compute it, for one that was refused.
        band : PriorityBand
            Ranks of its priority.
        """
        prefill = [t for t in targets if t.phase is Phase.PREFILL]
        others = [t for t in targets if t.phase is not Phase.PREFILL]
        steps = self._estimate.prefill_steps(prefill, others, prompt)
        costs = {
            t.target: self._estimate.cost_ms(t, steps[t.target], prompt, now)
            for t in targets
        }
        if urgency is None:
            first = {t.target: costs[t.target] for t in prefill or others}
            spent_ms = self._estimate.spent_ms(first, 0.0)
            urgency = self._order.urgency(route, spent_ms, band)
        penalties = {
            **self._health.failure_penalties_ms([t.target for t in prefill]),
            **self._health.failure_penalties_ms([t.target for t in others]),
        }

        memory = self._memory
        need = memory.need(route.name, prompt)

        def figures(target: Target) -> TargetFigures:
            name = target.target
            is_limited = memory.applies and target.phase is not Phase.PREFILL
            streams = self._ledger.open_streams(name)
            wait_ms = self._ledger.backlog_ms(name, urgency, now)
            if target.phase is Phase.PREFILL:
                wait_ms += memory.prefill_wait_ms(name, need)
            generation = GenerationFigures(
                wait_ms=wait_ms,
                cost_ms=costs[name],
                cached_tokens=self._prefixes.cached_tokens(name, prompt.parts),
                prefilled_tokens=steps[name].prefilled_tokens,
                copied_tokens=steps[name].copied_tokens,
                slot_wait_ms=max(
                    self._slots.wait_ms(target.slots, streams, urgency),
                    memory.engine_wait_ms(name, need, urgency),
                ),
                cross_domain_ms=self._estimate.cross_domain_ms(target, prompt),
                overtaken=self._ledger.count_overtaken(name, urgency),
                room_tokens=memory.room_tokens(name) if is_limited else None,
            )
            slowness = self._ledger.slowness(name, now)
            return self._figures(target, penalties, slowness, generation, now)

        return urgency, [figures(t) for t in targets]

    def _figures(
        self,
        target: Target,
        penalties: dict[TargetId, float],
        slowness: float,
        generation: GenerationFigures | None,
        now: float,
    ) -> TargetFigures:
        name = target.target
        return TargetFigures(
            target=name,
            phase=target.phase.value,
            domain=target.domain,
            available=self._health.available(name, now),
            pause_s=self._health.remaining_pause_s(name, now),
            limited_s=self._limits.wait_s(name, now),
            penalty_ms=penalties[name],
            slowness=slowness,
            slots=target.slots,
            work=self._ledger.count(name, *WorkKind),
            streams=self._ledger.open_streams(name).total(),
            pace_limit=self._pace.limits.get(name),
            generation=generation,
        )
