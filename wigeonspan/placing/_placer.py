"""Selection of targets by their work, cached prefixes, speeds and failures."""

import math
import random
from collections.abc import Collection, Sequence

from wigeonspan.common import DomainName
from wigeonspan.fleetconfig import Route
from wigeonspan.placing._eligible import EligibleTargets
from wigeonspan.placing._event_pauses import EventPauses
from wigeonspan.placing._health import TargetAvailability
from wigeonspan.placing._latency import PrefillLatency
from wigeonspan.placing._ledger import WorkKind, WorkLedger
from wigeonspan.placing._messages import Decision, Limit, Plan, Prompt, Refusal
from wigeonspan.placing._patience import abandon_after_s
from wigeonspan.placing._prefixes import CachedPrefixes
from wigeonspan.placing._readings import (
    PREFILL_FIXED_MS,
    PrefillSteps,
    plan_prefill_steps,
)
from wigeonspan.placing._sizes import WorkSizes
from wigeonspan.placing._slots import SlotForecast
from wigeonspan.placing._speed import SlowdownFactors
from wigeonspan.placing._standing import StandingQueueDetector
from wigeonspan.ratelimits import SharedRateLimits
from wigeonspan.targets import Phase, Target, TargetId

HANDOFF_MS = 40.0
"""Initial estimate in milliseconds of the time from the end of the prefill to the first
event at the decode engine."""

HANDOFF_WEIGHT = 0.1
"""Weight of a new sample in the moving average of the handoff time."""

DIRECT_SLOWDOWN = 2.0
"""Factor by which prefill is slower on a decode engine than on a prefill engine."""

DIRECT_COST_FACTOR = 1.5
"""Factor on the expected time of direct plans when they are compared with split ones,
because prefill on a decode engine delays the streams that run there."""

DIRECT_LIMIT_MS = 120.0
"""Maximum total time in milliseconds of the prefills on a decode engine, including the
new one; with more, the pauses between the events of its streams exceed their
objective."""

CROSS_DOMAIN_MS = 4.0
"""Delay in milliseconds that a target in another failure domain counts as: an
additional round trip of a request, or a transfer at half the speed."""

CROSS_DOMAIN_KB_MS = 1.0
"""Delay in milliseconds that each kilobyte sent to another failure domain counts as.
Links between domains are shared and expensive, and the body of a long prompt is sent
to two engines."""

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

MAX_TIMEOUT_SHARE = 0.8
"""Maximum share of the remaining time that a request may be expected to take until its
first event; with more, it is refused. The estimate is off by about a fifth."""

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

NO_ENGINE_RETRY_S = 1.0
"""Seconds after which a request that finds no engine may be retried; replaced engines
are listed again within about that time."""

REPEATED_PREFILL_WEIGHT = 2.0
"""Weight of the engine time that repeating the prefill of cached parts takes from other
requests, relative to the delay of this request."""


class Placer:
    """Decide where requests run.

    Parameters
    ----------
    domain : DomainName
        Failure domain of this entry.
    rng : random.Random
        Source of jitter and tie-breaks, so that entries with the same information
        spread their work.
    """

    def __init__(self, domain: DomainName, rng: random.Random) -> None:
        self._domain = domain
        self._rng = rng
        self._handoff_ms = HANDOFF_MS
        self._copy_us = 0.0
        self._latency = PrefillLatency()
        self._sizes = WorkSizes()
        self._standing_queue = StandingQueueDetector()
        self.ledger = WorkLedger()
        self.prefixes = CachedPrefixes(400_000.0)
        self.speeds = SlowdownFactors()
        self.health = TargetAvailability()
        self.event_pauses = EventPauses()
        self.slots = SlotForecast()
        self.limits = SharedRateLimits()
        self._eligible = EligibleTargets(self.health, self.limits)

    @property
    def handoff_ms(self) -> float:
        """Mean milliseconds from the end of a prefill to the first decode event."""
        return self._handoff_ms

    @property
    def latency_ms(self) -> float:
        """Estimated milliseconds of a prefill request beyond the engine time."""
        return self._latency.ms

    def record_prefill(self, plan: Plan, took_ms: float) -> None:
        """Record the time from sending a prompt to an engine to its answer.

        Only prompts without an expected wait are samples of the prefill latency.
        """
        if plan.wait_ms <= 0.0:
            self._latency.observe(took_ms - plan.cost_ms)
            self.ledger.set_prefill_latency(self._latency.ms)

    def record_handoff(self, actual_ms: float) -> None:
        """Record the time from the end of a prefill to the first decode event."""
        self._handoff_ms += HANDOFF_WEIGHT * (actual_ms - self._handoff_ms)

    def set_engines(self, memory_tokens: float, copy_us: float) -> None:
        """Set the properties of the engines, from the configuration.

        Parameters
        ----------
        memory_tokens : float
            Tokens that fit into an engine's memory.
        copy_us : float
            Copy time of a token in microseconds; 0 when engines cannot copy.
        """
        self.prefixes.set_memory(memory_tokens)
        self._copy_us = copy_us

    def forget(self, target: TargetId) -> None:
        """Remove the state of a target that is gone or has restarted."""
        self.prefixes.forget(target)
        self.ledger.forget(target)
        self.event_pauses.forget(target)
        self.limits.forget(target)

    def end_work(self, work: str, now: float, *, completed: bool) -> None:
        """Record the end of work, and whether its prefill was completed."""
        self.ledger.end(work, now, completed=completed)
        self.prefixes.end(work, completed=completed)

    def new_tokens(self, target: Target, prompt: Prompt) -> int:
        """Return how many tokens of a prompt an engine has not cached, at least 1."""
        cached = self.prefixes.cached_tokens(target.target, prompt.parts)
        return max(1, prompt.total_tokens - cached)

    def plan(
        self,
        route: Route,
        prompt: Prompt,
        targets: Sequence[Target],
        remaining_s: float,
        now: float,
        excluded: Collection[TargetId] = (),
        elapsed_s: float = 0.0,
        *,
        direct_only: bool = False,
    ) -> Plan | Refusal:
        """Decide where a generation runs, or refuse it.

        Parameters
        ----------
        targets : sequence of Target
            Engines that may get new work.
        remaining_s : float
            Seconds until the caller gives up.
        excluded : collection of TargetId
            Engines where this request has failed.
        elapsed_s : float
            Seconds since the request arrived.
        direct_only : bool
            Whether the engine that writes the answer must do the prefill as well.
        """
        eligible = self._eligible.select(targets, excluded, now)
        prefill_engines = self._eligible.without_suspended(
            [t for t in eligible if t.phase is Phase.PREFILL], now
        )
        decode_engines = self._eligible.without_suspended(
            [t for t in eligible if t.phase is not Phase.PREFILL], now
        )
        steps_by_target = self._prefill_steps(prefill_engines, decode_engines, prompt)
        costs = {
            t.target: self._cost_ms(t, steps_by_target[t.target], prompt, now)
            for t in prefill_engines or decode_engines
        }
        urgency = self._urgency(route, costs, elapsed_s)
        remaining_ms = (route.objective_s - elapsed_s) * 1000.0

        def best(urgency: int) -> Plan | None:
            slot_wait_ms = self._slot_wait_ms(prefill_engines, decode_engines, urgency)
            split = self._split(
                prefill_engines,
                decode_engines,
                prompt,
                steps_by_target,
                costs,
                urgency,
                slot_wait_ms,
                remaining_ms,
                now,
            )
            direct = self._direct(
                decode_engines,
                prompt,
                steps_by_target,
                urgency,
                slot_wait_ms,
                now,
                required=direct_only or not prefill_engines,
            )
            if direct_only:
                return direct
            options = [plan for plan in (split, direct) if plan is not None]
            return min(options, key=_comparison_ms, default=None)

        plan = best(urgency)
        if plan is not None:
            self._sizes.record(route.name, plan.work_ms)
            late = _is_expected_late(plan, remaining_ms)
            self._standing_queue.record(late, now)
            if late and self._standing_queue.is_standing(now):
                reason = f"first event expected late, in {plan.first_ms:.0f} ms"
                return self._refusal(Limit.QUEUE, reason, plan, route)
            if late and self._should_yield(route, plan):
                # At its rank, it would only delay requests that can still be on time.
                plan = best(LATE_URGENCY)
        if plan is None:
            return self._refusal_without_engine(targets, excluded, now)
        budget_s = min(abandon_after_s(route), remaining_s)
        if plan.first_ms > budget_s * 1000.0 * MAX_TIMEOUT_SHARE:
            reason = f"first event expected in {plan.first_ms:.0f} ms"
            return self._refusal(Limit.TIME, reason, plan, route)
        return plan

    def _refusal_without_engine(
        self, targets: Sequence[Target], excluded: Collection[TargetId], now: float
    ) -> Refusal:
        """Return the refusal of a request when one of the phases has no engine."""
        remaining = [t for t in targets if t.target not in excluded]
        prefill = [t for t in remaining if t.phase is Phase.PREFILL]
        decode = [t for t in remaining if t.phase is not Phase.PREFILL]
        after_s = max(
            self._eligible.return_after_s(group, now) for group in (prefill, decode)
        )
        if any(t.target in self.limits.rates for t in remaining):
            reason = "engines take no more requests"
            return Refusal(Limit.RATE, reason, after_s or NO_ENGINE_RETRY_S)
        reason = "no engine is available"
        return Refusal(Limit.NO_ENGINE, reason, after_s or NO_ENGINE_RETRY_S)

    def _refusal(self, limit: Limit, reason: str, plan: Plan, route: Route) -> Refusal:
        """Return the refusal of a request whose first event would be too late."""
        if plan.awaits_slot:
            limit, reason = Limit.SLOTS, f"{reason}, no slot is free"
        after_s = self.retry_after_s(plan, route)
        return Refusal(limit, reason, after_s, plan.work_ms)

    def _slot_wait_ms(
        self,
        prefill_engines: list[Target],
        decode_engines: list[Target],
        urgency: int,
    ) -> float:
        """Return the milliseconds until a decode engine has a slot for a new stream.

        The prompts that are in prefill need their slots first. Less urgent streams
        without a slot wait behind the new one.
        """
        return self.slots.wait_ms(
            sum(t.slots for t in decode_engines),
            self.ledger.open_streams(*(t.target for t in decode_engines)),
            urgency,
            self.ledger.expected_streams(*(t.target for t in prefill_engines)),
        )

    def _should_yield(self, route: Route, plan: Plan) -> bool:
        """Return whether a late prompt has to yield to those that can be on time.

        Short prompts keep their rank because yielding saves others little time. The
        largest prompts of a route keep it because they would yield most often and
        starve.
        """
        return self._sizes.is_long(plan.work_ms) and not self._is_largest(route, plan)

    def _is_largest(self, route: Route, plan: Plan) -> bool:
        return self._sizes.is_largest(route.name, plan.work_ms)

    def choose_decode(
        self,
        targets: Sequence[Target],
        prompt: Prompt,
        now: float,
        excluded: Collection[TargetId] = (),
        near: DomainName | None = None,
        claimed: Collection[TargetId] = (),
    ) -> Target | None:
        """Return the decode engine with the least expected delay.

        Parameters
        ----------
        claimed : collection of TargetId
            Engines whose limit allows this request although the next one has to wait.
        near : DomainName or None
            Failure domain of the prefill engine; None when there is none.
        """
        eligible = self._eligible.select(targets, excluded, now, claimed)
        engines = self._eligible.without_suspended(
            [t for t in eligible if t.phase is not Phase.PREFILL], now
        )
        if not engines:
            return None
        penalties = self.health.failure_penalties_ms([t.target for t in engines])

        def delay_ms(target: Target) -> float:
            streams = self.ledger.open_streams(target.target)
            running = streams.total()
            backlog = self.ledger.backlog_ms(target.target, MAX_URGENCY, now)
            cross_domain = near is not None and target.domain != near
            slot_wait = self.slots.backlog_ms(target.slots, streams)
            return (
                running
                + slot_wait
                + backlog * 0.2
                + cross_domain * CROSS_DOMAIN_MS
                + self._cross_domain_ms(target, prompt)
                + penalties[target.target]
                + self._rng.random()
            )

        return min(engines, key=delay_ms)

    def choose_call(
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
        penalties = self.health.failure_penalties_ms([t.target for t in usable])

        def delay_ms(target: Target) -> float:
            running = self.ledger.count(target.target, WorkKind.CALL)
            factor = self.speeds.factor(target.target, now)
            waiting = max(0, running + 1 - target.slots) / max(1, target.slots)
            return (
                CALL_MS * factor * (1.0 + waiting + 0.1 * running)
                + (target.domain != self._domain) * CROSS_DOMAIN_MS / 2
                + penalties[target.target] / 4
                + self._rng.random()
            )

        return min(usable, key=delay_ms)

    def return_after_s(self, targets: Sequence[Target], now: float) -> float:
        """Return the seconds after which one of the targets takes a request again.

        See :meth:`EligibleTargets.return_after_s`.
        """
        return self._eligible.return_after_s(targets, now)

    def _prefill_steps(
        self,
        prefill_engines: list[Target],
        decode_engines: list[Target],
        prompt: Prompt,
    ) -> dict[TargetId, PrefillSteps]:
        engines, prefixes, parts = (
            [*prefill_engines, *decode_engines],
            self.prefixes,
            prompt.parts,
        )
        cached = {t.target: prefixes.cached_tokens(t.target, parts) for t in engines}
        ready = {t.target: prefixes.ready_tokens(t.target, parts) for t in engines}
        total = prompt.total_tokens
        return plan_prefill_steps(
            engines, cached, ready, engines, total, self._copy_us, self._rng
        )

    def _cost_ms(
        self, target: Target, steps: PrefillSteps, prompt: Prompt, now: float
    ) -> float:
        """Return the copy and prefill time in milliseconds at an idle engine."""
        slowness = self.ledger.slowness(target.target, now)
        return steps.copy_ms + steps.work_ms(prompt.total_tokens) * slowness

    def _split(
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
    ) -> Plan | None:
        """Return the best plan with separate engines for prefill and decode.

        A prefill delays all prompts that arrive at the same engine until it is done. At
        an engine that is busy anyway it delays few others, so a large prompt that has
        time goes there and leaves an idle engine to small ones.
        """
        if not engines:
            return None
        penalties = self.health.failure_penalties_ms([t.target for t in engines])
        engines = self._sample_candidates(engines, steps_by_target)
        # A copy takes little time but as much memory as a repeated prefill, so the
        # cost of repetition is computed as if nothing were copied.
        total = prompt.total_tokens
        without_copy_ms = {
            t.target: steps_by_target[t.target].without_copy.work_ms(total)
            * self.ledger.slowness(t.target, now)
            for t in engines
        }
        min_without_copy_ms = min(without_copy_ms.values())

        def score(target: Target) -> tuple[float, float, float]:
            cost = costs[target.target]
            wait = self.ledger.backlog_ms(target.target, urgency, now)
            cross_domain = self._cross_domain_ms(target, prompt)
            penalty = penalties[target.target]
            repeated_ms = REPEATED_PREFILL_WEIGHT * (
                without_copy_ms[target.target] - min_without_copy_ms
            )
            delayed = self.ledger.count_overtaken(target.target, urgency)
            blocking_ms = cost * (
                math.exp(-wait / IDLE_WAIT_MS) + DELAYED_WEIGHT * delayed
            )
            first = self._first_event_ms(wait + cost, slot_wait_ms)
            late = LATE_PENALTY_MS * (first > remaining_ms)
            score_ms = (
                wait + cost + repeated_ms + blocking_ms + late + cross_domain + penalty
            )
            return (score_ms + MAX_JITTER_MS * self._rng.random(), wait, cost)

        scored = {t.target: score(t) for t in engines}
        best = min(engines, key=lambda t: scored[t.target])
        decode = self.choose_decode(decode_engines, prompt, now, near=best.domain)
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
            first_ms=self._first_event_ms(wait + cost, slot_wait_ms),
            urgency=urgency,
            prefill_steps=steps,
        )

    def _first_event_ms(self, prefill_ms: float, slot_wait_ms: float) -> float:
        """Return the time until the first event, which needs the prefill and a slot."""
        return max(prefill_ms + self._latency.ms, slot_wait_ms) + self._handoff_ms

    def _cross_domain_ms(self, target: Target, prompt: Prompt) -> float:
        """Return the penalty in milliseconds for a target in another failure domain."""
        if target.domain == self._domain:
            return 0.0
        return CROSS_DOMAIN_MS + CROSS_DOMAIN_KB_MS * prompt.body_bytes / 1024.0

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

    def _direct(
        self,
        decode_engines: list[Target],
        prompt: Prompt,
        steps_by_target: dict[TargetId, PrefillSteps],
        urgency: int,
        slot_wait_ms: float,
        now: float,
        *,
        required: bool,
    ) -> Plan | None:
        """Return the plan in which a decode engine does the prefill itself.

        Parameters
        ----------
        required : bool
            Whether there is no other way, so that ``DIRECT_LIMIT_MS`` does not apply.
        """
        engine = self.choose_decode(decode_engines, prompt, now)
        if engine is None:
            return None
        waiting = self.ledger.backlog_ms(engine.target, urgency, now)
        slowdown = DIRECT_SLOWDOWN if engine.phase is Phase.DECODE else 1.0
        steps = steps_by_target[engine.target]
        cost = self._cost_ms(engine, steps, prompt, now) * slowdown
        if not required and waiting + cost > DIRECT_LIMIT_MS:
            return None
        ready = max(waiting + cost + self._latency.ms, slot_wait_ms)
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

    def _urgency(
        self, route: Route, costs: dict[TargetId, float], elapsed_s: float
    ) -> int:
        """Return the rank of a request by its laxity; see ``LAXITY_RANKS_MS``."""
        cost_ms = min(costs.values(), default=0.0)
        spent_ms = elapsed_s * 1000.0 + cost_ms + self._latency.ms + self._handoff_ms
        laxity_ms = route.objective_s * 1000.0 - spent_ms
        if laxity_ms < 0.0:
            return LATE_URGENCY
        return sum(1 for bound in LAXITY_RANKS_MS if laxity_ms >= bound)

    def retry_after_s(self, plan: Plan, route: Route) -> float:
        """Return the seconds after which to retry a refused request, with jitter."""
        over_s = max(0.1, plan.first_ms / 1000.0 - route.objective_s)
        return over_s * (0.7 + 0.6 * self._rng.random())


CALL_MS = 25.0
"""Nominal time of a plain call in milliseconds, to be multiplied by the target's
slowdown factor."""


def _comparison_ms(plan: Plan) -> float:
    return plan.first_ms * (
        DIRECT_COST_FACTOR if plan.decision is Decision.DIRECT else 1.0
    )


def _is_expected_late(plan: Plan, remaining_ms: float) -> bool:
    """Return whether a request is expected to miss its objective because of its wait.

    A request that could not meet its objective even at an idle engine does not count.
    """
    if plan.urgency >= LATE_URGENCY:
        return False
    overtaken = OVERTAKEN_SHARE if plan.urgency >= OVERTAKEN_RANK else 0.0
    wait_ms = max(plan.wait_ms, plan.slot_wait_ms)
    return plan.first_ms + overtaken * wait_ms > remaining_ms
