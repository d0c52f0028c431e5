"""Choice of the engines and targets of a request."""

import math
import random
from collections.abc import Collection, Sequence

from wigeonspan.common import DomainName
from wigeonspan.placing._eligible import EligibleTargets
from wigeonspan.placing._estimate import CROSS_DOMAIN_MS, EngineEstimate
from wigeonspan.placing._health import TargetAvailability
from wigeonspan.placing._ledger import WorkLedger
from wigeonspan.placing._memory import EngineMemory
from wigeonspan.placing._messages import Decision, Plan, Prompt
from wigeonspan.placing._order import MAX_URGENCY
from wigeonspan.placing._pace import TargetPace
from wigeonspan.placing._priority import SOLE_BAND, PriorityBand
from wigeonspan.placing._readings import PREFILL_FIXED_MS, PrefillSteps
from wigeonspan.placing._slots import SlotForecast
from wigeonspan.placing._speed import SlowdownFactors
from wigeonspan.placing._work_queue import WorkKind
from wigeonspan.targets import Phase, Target, TargetId

DIRECT_SLOWDOWN = 2.0
"""Factor by which prefill is slower on a decode engine than on a prefill engine."""

DIRECT_COST_FACTOR = 1.5
"""Factor on the expected time of direct plans when they are compared with split ones,
because prefill on a decode engine delays the streams that run there."""

DIRECT_LIMIT_MS = 120.0
"""Maximum total time in milliseconds of the prefills on a decode engine, including the
new one; with more, the pauses between the events of its streams exceed their
objective."""

MAX_JITTER_MS = 30.0
"""Maximum random delay in milliseconds that is added when prefill engines are compared.
It spreads requests that arrive at several entries before these are informed of each
other's work."""

MAX_CANDIDATES = 5
"""Maximum number of prefill engines sampled for a prompt; comparing a few is nearly as
good as comparing all."""

DELAYED_WEIGHT = 0.5
"""Weight of the delay that a prompt causes for each waiting prompt that it
overtakes."""

IDLE_WAIT_MS = 100.0
"""Expected wait in milliseconds at which the cost of occupying an engine is 1/e of that
of an idle one. An idle engine should stay available for small prompts; at a busy one,
which small prompts avoid anyway, another large prompt delays nobody."""

LATE_PENALTY_MS = 600.0
"""Delay in milliseconds that missing the objective counts as when engines are
compared."""

REPEATED_PREFILL_WEIGHT = 2.0
"""Weight of the engine time that repeating the prefill of cached parts takes from other
requests, relative to the delay of this request."""

CALL_MS = 25.0
"""Nominal time of a plain call in milliseconds, to be multiplied by the target's
slowdown factor."""


class EngineChoice:
    """Choose the engines with the least expected delay.

    Parameters
    ----------
    domain : DomainName
        Failure domain of this entry.
    rng : random.Random
        Source of jitter and tie-breaks.
    """

    def __init__(
        self,
        domain: DomainName,
        rng: random.Random,
        eligible: EligibleTargets,
        estimate: EngineEstimate,
        ledger: WorkLedger,
        health: TargetAvailability,
        slots: SlotForecast,
        speeds: SlowdownFactors,
        pace: TargetPace,
        memory: EngineMemory,
    ) -> None:
        self._domain = domain
        self._rng = rng
        self._eligible = eligible
        self._estimate = estimate
        self._ledger = ledger
        self._health = health
        self._slots = slots
        self._speeds = speeds
        self._pace = pace
        self._memory = memory

    def split(
        self,
        engines: list[Target],
        decode_engines: list[Target],
        prompt: Prompt,
        steps_by_target: dict[TargetId, PrefillSteps],
        costs: dict[TargetId, float],
        urgency: int,
        slot_wait_ms: float,
        remaining_ms: float,
        now: float,
        need: int = 0,
        band: PriorityBand = SOLE_BAND,
    ) -> Plan | None:
        """Return the best plan with separate engines for prefill and decode.

        A prefill delays all prompts that arrive at the same engine until it is done. At
        an engine that is busy anyway it delays few others, so a large prompt that has
        time goes there and leaves an idle engine to small ones.
        """
        if not engines:
            return None
        engines = self._pace.select(self._memory.select_prefill(engines, need))
        penalties = self._health.failure_penalties_ms([t.target for t in engines])
        engines = self._sample_candidates(engines, steps_by_target)
        # A copy takes little time but as much memory as a repeated prefill, so the
        # cost of repetition is computed as if nothing were copied.
        total = prompt.total_tokens
        without_copy_ms = {
            t.target: steps_by_target[t.target].without_copy.work_ms(total)
            * self._ledger.slowness(t.target, now)
            for t in engines
        }
        min_without_copy_ms = min(without_copy_ms.values())

        def score(target: Target) -> tuple[float, float, float]:
            cost = costs[target.target]
            wait = self._ledger.backlog_ms(
                target.target, urgency, now
            ) + self._memory.prefill_wait_ms(target.target, need)
            cross_domain = self._estimate.cross_domain_ms(target, prompt)
            penalty = penalties[target.target]
            repeated_ms = REPEATED_PREFILL_WEIGHT * (
                without_copy_ms[target.target] - min_without_copy_ms
            )
            delayed = self._ledger.count_overtaken(target.target, urgency)
            blocking_ms = cost * (
                math.exp(-wait / IDLE_WAIT_MS) + DELAYED_WEIGHT * delayed
            )
            first = self._estimate.first_event_ms(wait + cost, slot_wait_ms)
            late = LATE_PENALTY_MS * (first > remaining_ms)
            score_ms = (
                wait + cost + repeated_ms + blocking_ms + late + cross_domain + penalty
            )
            return (score_ms + MAX_JITTER_MS * self._rng.random(), wait, cost)

        scored = {t.target: score(t) for t in engines}
        best = min(engines, key=lambda t: scored[t.target])
        decode = self.decode(
            decode_engines,
            prompt,
            now,
            near=best.domain,
            need=need,
            band=band,
        )
        if decode is None:
            return None
        _, wait, cost = scored[best.target]
        steps = steps_by_target[best.target]
        return Plan(
            Decision.SPLIT,
            best,
            decode,
            work_ms=steps.work_ms(prompt.total_tokens),
            cost_ms=cost,
            wait_ms=wait,
            slot_wait_ms=slot_wait_ms,
            first_ms=self._estimate.first_event_ms(wait + cost, slot_wait_ms),
            urgency=urgency,
            prefill_steps=steps,
        )

    def _sample_candidates(
        self, engines: list[Target], steps_by_target: dict[TargetId, PrefillSteps]
    ) -> list[Target]:
        """Return a few random engines, and the one that has cached most of the prompt.

        Without sampling, all entries would choose the same engine at once, before they
        are informed of each other's work.
        """
        if len(engines) <= MAX_CANDIDATES:
            return engines
        chosen = self._rng.sample(engines, MAX_CANDIDATES)
        new = {t.target: steps_by_target[t.target].new_tokens for t in engines}
        best_cached = min(engines, key=lambda t: new[t.target])
        has_more_cached = new[best_cached.target] < max(new.values())
        return (
            [*chosen, best_cached]
            if has_more_cached and best_cached not in chosen
            else chosen
        )

    def direct(
        self,
        decode_engines: list[Target],
        prompt: Prompt,
        steps_by_target: dict[TargetId, PrefillSteps],
        urgency: int,
        slot_wait_ms: float,
        now: float,
        need: int = 0,
        band: PriorityBand = SOLE_BAND,
        *,
        required: bool,
    ) -> Plan | None:
        """Return the plan in which a decode engine does the prefill itself.

        Parameters
        ----------
        required : bool
            Whether there is no other way, so that ``DIRECT_LIMIT_MS`` does not apply.
        """
        engine = self.decode(decode_engines, prompt, now, need=need, band=band)
        if engine is None:
            return None
        waiting = self._ledger.backlog_ms(engine.target, urgency, now)
        slowdown = DIRECT_SLOWDOWN if engine.phase is Phase.DECODE else 1.0
        steps = steps_by_target[engine.target]
        cost = self._estimate.cost_ms(engine, steps, prompt, now) * slowdown
        if not required and waiting + cost > DIRECT_LIMIT_MS:
            return None
        ready = max(waiting + cost + self._estimate.latency_ms, slot_wait_ms)
        return Plan(
            Decision.DIRECT,
            None,
            engine,
            work_ms=steps.work_ms(prompt.total_tokens),
            cost_ms=cost,
            wait_ms=waiting,
            slot_wait_ms=slot_wait_ms,
            first_ms=ready + PREFILL_FIXED_MS,
            urgency=urgency,
            prefill_steps=steps,
        )

    def decode(
        self,
        targets: Sequence[Target],
        prompt: Prompt,
        now: float,
        excluded: Collection[TargetId] = (),
        near: DomainName | None = None,
        claimed: Collection[TargetId] = (),
        need: int = 0,
        band: PriorityBand = SOLE_BAND,
    ) -> Target | None:
        """Return the decode engine with the least expected delay.

        Engines with memory for the request come first.

        Parameters
        ----------
        claimed : collection of TargetId
            Engines whose limit allows this request although the next one has to wait.
        near : DomainName or None
            Failure domain of the prefill engine; None when there is none.
        need : int
            Tokens that the request holds there; 0 when the memory is not considered.
        band : PriorityBand
            Ranks of the request's priority.
        """
        eligible = self._eligible.select(targets, excluded, now, claimed)
        engines = self._eligible.without_suspended(
            [t for t in eligible if t.phase is not Phase.PREFILL], now
        )
        if not engines:
            return None
        engines = self._pace.select(self._memory.select(engines, need, band))
        penalties = self._health.failure_penalties_ms([t.target for t in engines])
        crossing_ms = self._estimate.domain_crossing_ms(prompt)

        def delay_ms(target: Target) -> float:
            streams = self._ledger.open_streams(target.target)
            running = streams.total()
            backlog = self._ledger.backlog_ms(target.target, MAX_URGENCY, now)
            cross_domain = near is not None and target.domain != near
            slot_wait = self._slots.backlog_ms(target.slots, streams)
            return (
                running
                + slot_wait
                + backlog * 0.2
                + cross_domain * crossing_ms
                + self._estimate.cross_domain_ms(target, prompt)
                + penalties[target.target]
                + self._rng.random()
            )

        return min(engines, key=delay_ms)

    def call(
        self,
        targets: Sequence[Target],
        now: float,
        excluded: Collection[TargetId] = (),
    ) -> Target | None:
        """Return the target of a plain call with the least expected delay."""
        usable = self._eligible.without_suspended(
            self._eligible.select(targets, excluded, now), now
        )
        if not usable:
            return None
        usable = self._pace.select(usable)
        penalties = self._health.failure_penalties_ms([t.target for t in usable])

        def delay_ms(target: Target) -> float:
            running = self._ledger.count(target.target, WorkKind.CALL)
            factor = self._speeds.factor(target.target, now)
            waiting = max(0, running + 1 - target.slots) / max(1, target.slots)
            return (
                CALL_MS * factor * (1.0 + waiting + 0.1 * running)
                + (target.domain != self._domain) * CROSS_DOMAIN_MS / 2
                + penalties[target.target] / 4
                + self._rng.random()
            )

        return min(usable, key=delay_ms)


def comparison_ms(plan: Plan) -> float:
    """Return the time by which direct and split plans are compared."""
    return plan.first_ms * (
        DIRECT_COST_FACTOR if plan.decision is Decision.DIRECT else 1.0
    )
