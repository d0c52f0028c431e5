"""Choice of targets from the work, prefixes, speeds and failures known here."""

import math
import random
from collections.abc import Collection, Sequence

from wigeonspan.common import DomainName
from wigeonspan.fleetconfig import Route
from wigeonspan.placing._health import HealthBook
from wigeonspan.placing._latency import ReadLatency
from wigeonspan.placing._ledger import WorkKind, WorkLedger
from wigeonspan.placing._messages import Decision, Limit, Plan, Prompt, Refusal
from wigeonspan.placing._paces import PaceBook
from wigeonspan.placing._patience import patience_s
from wigeonspan.placing._prefixes import PrefixBook
from wigeonspan.placing._readings import READ_FIXED_MS, Reading, plan_readings
from wigeonspan.placing._sizes import WorkSizes
from wigeonspan.placing._speed import SpeedBook
from wigeonspan.placing._standing import StandingQueue
from wigeonspan.targets import Phase, Target, TargetId

HANDOFF_MS = 40.0
"""Milliseconds from a read prompt to the first event at another engine, before this is
measured."""

HANDOFF_WEIGHT = 0.1
"""Weight of a new sample of the handoff."""

DIRECT_SLOWDOWN = 2.0
"""Factor by which a decode engine reads prompts more slowly than a prefill engine."""

DIRECT_PRICE = 1.5
"""Factor on the time of reading at a decode engine when the two ways are compared: it
holds up the streams that run there."""

DIRECT_LIMIT_MS = 120.0
"""Most engine time of prompts under way at a decode engine at which it takes one more;
beyond it the pauses of its streams grow over their objective."""

SLOT_WAIT_MS = 20.0
"""Delay that each stream beyond an engine's slots counts as; a stream of a second or
two frees a slot of 64 about that often."""

OTHER_DOMAIN_MS = 4.0
"""Delay that another failure domain counts as: two extra ways of a request, or a
transfer at half the speed."""

FAR_KB_MS = 1.0
"""Delay that each kilobyte sent to another failure domain counts as; links between
domains are shared and dear, and the body of a long prompt is sent to two engines."""

SPREAD_MS = 30.0
"""Largest random delay added when prefill engines are compared: requests that arrive
together at several entries, before these hear of each other, go to different ones."""

CHOICES = 5
"""Prefill engines that are compared for one prompt; a few are nearly as good as all."""

DELAYED_WEIGHT = 0.5
"""Weight of the delay of each waiting prompt that a more urgent one goes before."""

FREE_MS = 100.0
"""Wait in milliseconds over which an engine stops counting as free: small prompts then
go to other engines, so that one more large prompt blocks nobody."""

LATE_PRICE_MS = 600.0
"""Delay that missing the objective counts as when engines are compared."""

LOST_SHARE = 0.8
"""Share of the time left beyond which a request is expected to be lost; the estimate
errs by about a fifth."""

LAXITY_RANKS_MS = (150.0, 300.0, 500.0)
"""Milliseconds that a request can still wait and be on time, below which it gets rank
0, 1 and 2 at the engines; the rest gets rank 3. The least laxity goes first, so that a
large prompt, which takes most of its objective to read, is not kept behind small ones
that have time."""

LATE_URGENCY = 5
"""Rank of a request that cannot be on time: it yields to those that can."""

OVERTAKEN_SHARE = 0.75
"""Share by which a wait grows because of more urgent requests that are yet to come,
from ``OVERTAKEN_RANK`` on; fitted to replays of bursts."""

OVERTAKEN_RANK = 2
"""Rank from which requests that come later often go first."""

MOST_URGENCY = 9
"""Largest rank that engines know."""

NO_ENGINE_S = 1.0
"""Seconds after which a request that finds no engine may come back; engines that were
replaced are listed again within about that time."""

READ_AGAIN_WEIGHT = 2.0
"""Weight of the engine time that reading shared parts again takes from others, against
the delay of this request."""


class Placer:
    """Decisions on where requests run.

    Parameters
    ----------
    domain : DomainName
        Failure domain of this entry.
    rng : random.Random
        Breaks ties, so that entries with the same knowledge spread their work.
    """

    def __init__(self, domain: DomainName, rng: random.Random) -> None:
        self._domain = domain
        self._rng = rng
        self._handoff_ms = HANDOFF_MS
        self._copy_us = 0.0
        self._latency = ReadLatency()
        self._sizes = WorkSizes()
        self._queue = StandingQueue()
        self.ledger = WorkLedger()
        self.prefixes = PrefixBook(400_000.0)
        self.speeds = SpeedBook()
        self.health = HealthBook()
        self.paces = PaceBook()

    @property
    def handoff_ms(self) -> float:
        """Usual milliseconds from a read prompt to the first event elsewhere."""
        return self._handoff_ms

    @property
    def latency_ms(self) -> float:
        """Usual milliseconds that reading a prompt takes beside the engine's work."""
        return self._latency.ms

    def observe_read(self, plan: Plan, took_ms: float) -> None:
        """Take the time from a prompt that was sent to an engine to its answer."""
        if plan.wait_ms <= 0.0:
            self._latency.observe(took_ms - plan.cost_ms)
            self.ledger.set_latency(self._latency.ms)

    def observe_handoff(self, actual_ms: float) -> None:
        """Take a sample of the time from a read prompt to the first event."""
        self._handoff_ms += HANDOFF_WEIGHT * (actual_ms - self._handoff_ms)

    def set_engines(self, memory_tokens: float, copy_us: float) -> None:
        """Note the sizes of the engines, from the configuration.

        Parameters
        ----------
        memory_tokens : float
            Tokens that an engine's memory holds.
        copy_us : float
            Microseconds in which engines copy one token; 0 when they cannot.
        """
        self.prefixes.set_memory(memory_tokens)
        self._copy_us = copy_us

    def forget(self, target: TargetId) -> None:
        """Forget what a target that is gone or has restarted did and held."""
        self.prefixes.forget(target)
        self.ledger.forget(target)
        self.paces.forget(target)

    def end_work(self, work: str, now: float, *, completed: bool) -> None:
        """Note the end of work, and whether its prompt was read to the end."""
        self.ledger.end(work, now, completed=completed)
        self.prefixes.end(work, completed=completed)

    def new_tokens(self, target: Target, prompt: Prompt) -> int:
        """Return how many tokens of a prompt an engine does not hold."""
        held = self.prefixes.cached_tokens(target.target, prompt.parts)
        return max(1, prompt.total_tokens - held)

    def plan(
        self,
        route: Route,
        prompt: Prompt,
        targets: Sequence[Target],
        left_s: float,
        now: float,
        excluded: Collection[TargetId] = (),
        elapsed_s: float = 0.0,
    ) -> Plan | Refusal:
        """Decide where a generation runs, or that it is refused.

        Parameters
        ----------
        targets : sequence of Target
            Engines that may get new work.
        left_s : float
            Seconds until the caller gives up.
        excluded : collection of TargetId
            Engines that have failed this request.
        elapsed_s : float
            Seconds since the request arrived.
        """
        kept = self._open(targets, excluded, now)
        readers = self._sound([t for t in kept if t.phase is Phase.PREFILL], now)
        writers = self._sound([t for t in kept if t.phase is not Phase.PREFILL], now)
        readings = self._readings(readers, writers, prompt)
        costs = {
            t.target: self._cost_ms(t, readings[t.target], prompt, now)
            for t in readers or writers
        }
        urgency = self._urgency(route, costs, elapsed_s)
        left_ms = (route.objective_s - elapsed_s) * 1000.0

        def best(urgency: int) -> Plan | None:
            split = self._split(
                readers, writers, prompt, readings, costs, urgency, left_ms, now
            )
            direct = self._direct(
                writers, prompt, readings, urgency, now, alone=not readers
            )
            options = [plan for plan in (split, direct) if plan is not None]
            return min(options, key=_compared_ms, default=None)

        plan = best(urgency)
        if plan is not None:
            self._sizes.note(route.name, plan.work_ms)
            late = _will_be_late(plan, left_ms)
            self._queue.note(late, now)
            if late and self._queue.stands(now):
                reason = f"first event expected late, in {plan.first_ms:.0f} ms"
                return Refusal(Limit.QUEUE, reason, self.retry_after_s(plan, route))
            if late and self._yields(route, plan):
                # It would only make those late that can still be on time.
                plan = best(LATE_URGENCY)
        if plan is None:
            left_s = self.pause_left_s(targets, now) or NO_ENGINE_S
            return Refusal(Limit.NO_ENGINE, "no engine is available", left_s)
        budget_s = min(patience_s(route), left_s)
        if plan.first_ms > budget_s * 1000.0 * LOST_SHARE:
            reason = f"first event expected in {plan.first_ms:.0f} ms"
            return Refusal(Limit.TIME, reason, self.retry_after_s(plan, route))
        return plan

    def _yields(self, route: Route, plan: Plan) -> bool:
        """Whether a prompt has to yield when it will be late.

        Short prompts gain others little time. The largest ones of a route would yield
        most often and hardly be served.
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
    ) -> Target | None:
        """Return the engine that produces an answer with the least delay.

        Parameters
        ----------
        near : DomainName or None
            Failure domain of the engine that holds the prompt; None when there is
            none.
        """
        kept = self._open(targets, excluded, now)
        engines = self._sound([t for t in kept if t.phase is not Phase.PREFILL], now)
        if not engines:
            return None
        prices = self.health.prices_ms([t.target for t in engines])

        def delay_ms(target: Target) -> float:
            running = self.ledger.count(target.target, WorkKind.DECODE, WorkKind.DIRECT)
            reading = self.ledger.backlog_ms(target.target, MOST_URGENCY, now)
            far = near is not None and target.domain != near
            full = max(0, running + 1 - target.slots) * SLOT_WAIT_MS
            return (
                running
                + full
                + reading * 0.2
                + far * OTHER_DOMAIN_MS
                + self._far_ms(target, prompt)
                + prices[target.target]
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
        usable = self._sound(self._open(targets, excluded, now), now)
        if not usable:
            return None
        prices = self.health.prices_ms([t.target for t in usable])

        def delay_ms(target: Target) -> float:
            running = self.ledger.count(target.target, WorkKind.CALL)
            factor = self.speeds.factor(target.target, now)
            waiting = max(0, running + 1 - target.slots) / max(1, target.slots)
            return (
                CALL_MS * factor * (1.0 + waiting + 0.1 * running)
                + (target.domain != self._domain) * OTHER_DOMAIN_MS / 2
                + prices[target.target] / 4
                + self._rng.random()
            )

        return min(usable, key=delay_ms)

    def pause_left_s(self, targets: Sequence[Target], now: float) -> float:
        """Return the seconds until one of some targets wants requests again.

        It is 0 when there is no target, or one that wants them now.
        """
        health = self.health
        return min((health.pause_left_s(t.target, now) for t in targets), default=0.0)

    def _open(
        self, targets: Sequence[Target], excluded: Collection[TargetId], now: float
    ) -> list[Target]:
        """Return the targets that a request may still be sent to."""
        return [
            target
            for target in targets
            if target.target not in excluded
            and not self.health.pause_left_s(target.target, now)
        ]

    def _readings(
        self, readers: list[Target], writers: list[Target], prompt: Prompt
    ) -> dict[TargetId, Reading]:
        engines, book, parts = [*readers, *writers], self.prefixes, prompt.parts
        held = {t.target: book.cached_tokens(t.target, parts) for t in engines}
        ready = {t.target: book.ready_tokens(t.target, parts) for t in engines}
        total = prompt.total_tokens
        return plan_readings(
            engines, held, ready, engines, total, self._copy_us, self._rng
        )

    def _cost_ms(
        self, target: Target, reading: Reading, prompt: Prompt, now: float
    ) -> float:
        """Return the time until an engine has a prompt, if it does only that."""
        slowness = self.ledger.slowness(target.target, now)
        return reading.copy_ms + reading.work_ms(prompt.total_tokens) * slowness

    def _sound(self, targets: list[Target], now: float) -> list[Target]:
        """Return the targets that are not suspended, or all when all are."""
        sound = [t for t in targets if self.health.available(t.target, now)]
        return sound or targets

    def _split(
        self,
        engines: list[Target],
        writers: list[Target],
        prompt: Prompt,
        readings: dict[TargetId, Reading],
        costs: dict[TargetId, float],
        urgency: int,
        left_ms: float,
        now: float,
    ) -> Plan | None:
        """Return the plan with the best prefill engine.

        An engine that reads a prompt makes others wait until it is done. An engine
        that is busy anyway blocks nobody else, so a large prompt that has time goes
        there and leaves a free engine to small ones.
        """
        if not engines:
            return None
        prices = self.health.prices_ms([t.target for t in engines])
        engines = self._sample(engines, readings)
        # A copy takes little time, but it fills memory like reading again does.
        total = prompt.total_tokens
        alone = {
            t.target: readings[t.target].alone.work_ms(total)
            * self.ledger.slowness(t.target, now)
            for t in engines
        }
        least = min(alone.values())

        def expected(target: Target) -> tuple[float, float, float]:
            cost = costs[target.target]
            wait = self.ledger.backlog_ms(target.target, urgency, now)
            far = self._far_ms(target, prompt)
            price = prices[target.target]
            again = READ_AGAIN_WEIGHT * (alone[target.target] - least)
            delayed = self.ledger.delayed(target.target, urgency)
            blocks = cost * (math.exp(-wait / FREE_MS) + DELAYED_WEIGHT * delayed)
            first = wait + cost + self._latency.ms + self._handoff_ms
            late = LATE_PRICE_MS * (first > left_ms)
            score = wait + cost + again + blocks + late + far + price
            return (score + SPREAD_MS * self._rng.random(), wait, cost)

        scored = {t.target: expected(t) for t in engines}
        best = min(engines, key=lambda t: scored[t.target])
        decode = self.choose_decode(writers, prompt, now, near=best.domain)
        if decode is None:
            return None
        _, wait, cost = scored[best.target]
        first = wait + cost + self._latency.ms + self._handoff_ms
        reading = readings[best.target]
        work = reading.work_ms(prompt.total_tokens)
        return Plan(
            Decision.SPLIT, best, decode, work, cost, wait, first, urgency, reading
        )

    def _far_ms(self, target: Target, prompt: Prompt) -> float:
        """Return the delay that sending a prompt out of this domain counts as."""
        if target.domain == self._domain:
            return 0.0
        return OTHER_DOMAIN_MS + FAR_KB_MS * prompt.body_bytes / 1024.0

    def _sample(
        self, engines: list[Target], readings: dict[TargetId, Reading]
    ) -> list[Target]:
        """Return a few engines at random, and the one that holds most of the prompt.

        Among many engines the best one is the same for all entries, and what they send
        there at once is heard of too late.
        """
        if len(engines) <= CHOICES:
            return engines
        chosen = self._rng.sample(engines, CHOICES)
        new = {t.target: readings[t.target].new_tokens for t in engines}
        holder = min(engines, key=lambda t: new[t.target])
        holds = new[holder.target] < max(new.values())
        return [*chosen, holder] if holds and holder not in chosen else chosen

    def _direct(
        self,
        writers: list[Target],
        prompt: Prompt,
        readings: dict[TargetId, Reading],
        urgency: int,
        now: float,
        *,
        alone: bool,
    ) -> Plan | None:
        """Return the plan in which a decode engine reads the prompt itself."""
        engine = self.choose_decode(writers, prompt, now)
        if engine is None:
            return None
        waiting = self.ledger.backlog_ms(engine.target, urgency, now)
        slowdown = DIRECT_SLOWDOWN if engine.phase is Phase.DECODE else 1.0
        reading = readings[engine.target]
        cost = self._cost_ms(engine, reading, prompt, now) * slowdown
        if not alone and waiting + cost > DIRECT_LIMIT_MS:
            return None
        first = waiting + cost + self._latency.ms + READ_FIXED_MS
        work = reading.work_ms(prompt.total_tokens)
        return Plan(
            Decision.DIRECT, None, engine, work, cost, waiting, first, urgency, reading
        )

    def _urgency(
        self, route: Route, costs: dict[TargetId, float], elapsed_s: float
    ) -> int:
        """Return the rank of a request by how long it can wait and be on time."""
        cost_ms = min(costs.values(), default=0.0)
        spent_ms = elapsed_s * 1000.0 + cost_ms + self._latency.ms + self._handoff_ms
        laxity_ms = route.objective_s * 1000.0 - spent_ms
        if laxity_ms < 0.0:
            return LATE_URGENCY
        return sum(1 for bound in LAXITY_RANKS_MS if laxity_ms >= bound)

    def retry_after_s(self, plan: Plan, route: Route) -> float:
        """Return the seconds after which a refused request can be served, spread."""
        over_s = max(0.1, plan.first_ms / 1000.0 - route.objective_s)
        return over_s * (0.7 + 0.6 * self._rng.random())


CALL_MS = 25.0
"""Milliseconds of a plain call before a target's speed factor is known."""


def _compared_ms(plan: Plan) -> float:
    return plan.first_ms * (DIRECT_PRICE if plan.decision is Decision.DIRECT else 1.0)


def _will_be_late(plan: Plan, left_ms: float) -> bool:
    """Whether a request that can be on time by itself is late because of its wait."""
    if plan.urgency >= LATE_URGENCY:
        return False
    overtaken = OVERTAKEN_SHARE if plan.urgency >= OVERTAKEN_RANK else 0.0
    return plan.first_ms + overtaken * plan.wait_ms > left_ms
