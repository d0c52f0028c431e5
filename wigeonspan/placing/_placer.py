"""Placement of requests: where a generation or a call runs, or why it is refused."""

import copy
import random
from collections.abc import Collection, Sequence

from msgspec.structs import replace

from wigeonspan.common import DomainName, HostId, TenantName
from wigeonspan.fleetconfig import Route
from wigeonspan.placing._choice import EngineChoice, comparison_ms
from wigeonspan.placing._eligible import EligibleTargets
from wigeonspan.placing._estimate import EngineEstimate
from wigeonspan.placing._event_pauses import EventPauses
from wigeonspan.placing._fair_share import MIN_WAIT_MS, TenantUse
from wigeonspan.placing._figures import PlacementFigures
from wigeonspan.placing._health import TargetAvailability
from wigeonspan.placing._ledger import EXPIRY_S, WorkLedger
from wigeonspan.placing._memory import EngineMemory
from wigeonspan.placing._messages import Limit, Plan, Prompt, Refusal
from wigeonspan.placing._order import WorkOrder, is_expected_late
from wigeonspan.placing._pace import TargetPace
from wigeonspan.placing._patience import abandon_after_s
from wigeonspan.placing._prefixes import CachedPrefixes
from wigeonspan.placing._priority import SOLE_BAND, PriorityBand
from wigeonspan.placing._refusals import Refusals
from wigeonspan.placing._shared_failures import BrokenWork
from wigeonspan.placing._slots import SlotForecast
from wigeonspan.placing._speed import SlowdownFactors
from wigeonspan.placing._work_queue import Work
from wigeonspan.ratelimits import SharedRateLimits
from wigeonspan.targets import Phase, Target, TargetId

MAX_TIMEOUT_SHARE = 0.8
"""Maximum share of the remaining time that a request may be expected to take until its
first event; with more, it is refused. The estimate is off by about a fifth."""


class Placer:
    """Decide where requests run.

    Parameters
    ----------
    domain : DomainName
        Failure domain of this entry.
    rng : random.Random
        Source of jitter and tie-breaks, so that entries with the same information
        spread their work.
    limits_memory : bool
        Whether requests go only where an engine has the memory for them.
    """

    def __init__(
        self, domain: DomainName, rng: random.Random, *, limits_memory: bool = False
    ) -> None:
        self.ledger = WorkLedger()
        self.prefixes = CachedPrefixes(400_000.0)
        self.speeds = SlowdownFactors()
        self.health = TargetAvailability(rng)
        self.event_pauses = EventPauses()
        self.slots = SlotForecast()
        self.memory = EngineMemory(self.slots, enabled=limits_memory)
        self.limits = SharedRateLimits()
        self.pace = TargetPace(self.ledger)
        self.tenant_use = TenantUse()
        self._broken_work = BrokenWork()
        self._order = WorkOrder()
        self._eligible = EligibleTargets(self.health, self.limits)
        self._refusals = Refusals(rng, self._eligible, self.limits, self.ledger)
        self._estimate = EngineEstimate(
            domain, rng, self.ledger, self.prefixes, self.slots
        )
        self._choice = EngineChoice(
            domain,
            rng,
            self._eligible,
            self._estimate,
            self.ledger,
            self.health,
            self.slots,
            self.speeds,
            self.pace,
            self.memory,
        )
        self.figures = PlacementFigures(
            self.ledger,
            self.prefixes,
            self.speeds,
            self.health,
            self.slots,
            self.limits,
            self.pace,
            self._order,
            self._estimate,
            self.memory,
        )

    def trial_copy(self) -> "Placer":
        """Return a copy whose decisions change nothing here, not even random draws.

        It shares the work in progress and the caches, which decisions only read, and
        must not be told about work.
        """
        shared = (self.ledger, self.prefixes, self.memory)
        memo = {id(state): copy.copy(state) for state in shared}
        return copy.deepcopy(self, memo)

    @property
    def handoff_ms(self) -> float:
        """Mean milliseconds from the end of a prefill to the first decode event."""
        return self._estimate.handoff_ms

    @property
    def latency_ms(self) -> float:
        """Estimated milliseconds of a prefill request beyond the engine time."""
        return self._estimate.latency_ms

    def record_prefill(self, plan: Plan, took_ms: float) -> None:
        """Record the time from sending a prompt to an engine to its answer."""
        self._estimate.record_prefill(plan, took_ms)

    def record_handoff(self, actual_ms: float) -> None:
        """Record the time from the end of a prefill to the first decode event."""
        self._estimate.record_handoff(actual_ms)

    def set_engines(
        self, memory_tokens: float, copy_us: float, handle_ttl_s: float = EXPIRY_S
    ) -> None:
        """Set the properties of the engines, from the configuration.

        Parameters
        ----------
        memory_tokens : float
            Tokens that fit into an engine's memory.
        copy_us : float
            Copy time of a token in microseconds; 0 when engines cannot copy.
        handle_ttl_s : float
            Seconds for which an engine stores a prompt for another one to fetch.
        """
        self.prefixes.set_memory(memory_tokens)
        self.memory.set_capacity(memory_tokens, handle_ttl_s)
        self._estimate.set_copy_time(copy_us)

    def transfer_ms(self, plan: Plan, prompt: Prompt) -> float:
        """Return the milliseconds of a plan's transfer; 0 when none or unknown."""
        if plan.prefill is None:
            return 0.0
        return self._estimate.transfer_ms(plan.prefill, plan.decode, prompt)

    def forget(self, target: TargetId) -> None:
        """Remove the state of a target that is gone or has restarted."""
        self.prefixes.forget(target)
        self.ledger.forget(target)
        self.memory.forget(target)
        self.event_pauses.forget(target)
        self.limits.forget(target)
        self.health.forget(target)
        self._broken_work.clear(target)

    def expire(self, now: float) -> None:
        """Remove work whose end was not reported in time."""
        self.ledger.expire(now)
        self.memory.expire(now)

    def drop_host(self, host: HostId, now: float) -> None:
        """Remove the work of an entry that is gone."""
        self.ledger.drop_host(host, now)
        self.memory.drop_host(host)

    def end_work(
        self, work: str, now: float, *, completed: bool, broken: bool = False
    ) -> TargetId | None:
        """Record the end of work of any entry.

        Parameters
        ----------
        completed : bool
            Whether its prefill was completed.
        broken : bool
            Whether the target broke it off.

        Returns
        -------
        TargetId or None
            Target that is now suspended; None when the end suspends none.
        """
        begun = self.ledger.end(work, now, completed=completed)
        self.memory.end(work, now, completed=completed)
        if completed and begun is not None:
            self.pace.record_answer(*begun, now)
        self.prefixes.end(work, completed=completed)
        self.health.record_ended(work)
        if begun is None or not self.health.is_shared:
            return None
        return self._record_shared(begun[0], now, completed=completed, broken=broken)

    def _record_shared(
        self, work: Work, now: float, *, completed: bool, broken: bool
    ) -> TargetId | None:
        """Suspend a target that entries find broken, or end its suspension."""
        target = work.target
        if completed:
            self._broken_work.clear(target)
            self.health.record_completed(target, now)
            return None
        if not broken or not self._broken_work.record(work, now):
            return None
        if not self.health.suspend(target, now):
            return None
        self.pace.record_suspension(target, now)
        return target

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
        prefers_direct: bool = False,
        band: PriorityBand = SOLE_BAND,
        tenant: TenantName | None = None,
        has_run: bool = False,
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
        prefers_direct : bool
            Whether it should, as far as the pauses of its streams allow: a repeat is
            then one arrival instead of two.
        band : PriorityBand
            Ranks of the request's priority.
        tenant : TenantName or None
            Tenant of the request, if it has one.
        has_run : bool
            Whether the request may have run at an engine and runs at none now. Its
            caller cannot be told to return, so it goes on as long as it can be answered
            at all.
        """
        if not band.is_sole:
            self.ledger.follow_starts()
        need = self.memory.need(route.name, prompt)
        if self.memory.exceeds_engine(need):
            return self._refusals.too_large(need, self.memory.capacity)
        eligible = self._eligible.select(targets, excluded, now)
        prefill_engines = self._eligible.without_suspended(
            [t for t in eligible if t.phase is Phase.PREFILL], now
        )
        decode_engines = self._eligible.without_suspended(
            [t for t in eligible if t.phase is not Phase.PREFILL], now
        )
        steps_by_target = self._estimate.prefill_steps(
            prefill_engines, decode_engines, prompt
        )
        costs = {
            t.target: self._estimate.cost_ms(t, steps_by_target[t.target], prompt, now)
            for t in prefill_engines or decode_engines
        }
        spent_ms = self._estimate.spent_ms(costs, elapsed_s)
        urgency = self._order.urgency(route, spent_ms, band)
        remaining_ms = (route.objective_s - elapsed_s) * 1000.0

        def best(urgency: int) -> Plan | None:
            slot_wait_ms = self._estimate.slot_wait_ms(
                prefill_engines, decode_engines, urgency
            )
            memory_wait_ms = self.memory.wait_ms(
                prefill_engines, decode_engines, need, urgency
            )
            slot_wait_ms = max(slot_wait_ms, memory_wait_ms)
            split = self._choice.split(
                prefill_engines,
                decode_engines,
                prompt,
                steps_by_target,
                costs,
                urgency,
                slot_wait_ms,
                remaining_ms,
                now,
                need,
                band,
            )
            direct = self._choice.direct(
                decode_engines,
                prompt,
                steps_by_target,
                urgency,
                slot_wait_ms,
                now,
                need,
                band,
                required=direct_only or not prefill_engines,
            )
            one_engine = direct_only or (prefers_direct and direct is not None)
            options = [direct] if one_engine else [split, direct]
            found = [plan for plan in options if plan is not None]
            best_plan = min(found, key=comparison_ms, default=None)
            if best_plan is None:
                return None
            return replace(best_plan, band=band, memory_wait_ms=memory_wait_ms)

        plan = best(urgency)
        if plan is not None:
            late = is_expected_late(plan, remaining_ms)
            self._order.record(route, plan, late=late, now=now)
            prefill_ids = [t.target for t in prefill_engines]
            overload_s = self._order.room_after_s(plan, now)
            # A request that failed at an engine was admitted before.
            if self._order.is_closed(plan) and not excluded and not has_run:
                reason = "more urgent requests are late"
                return self._refusals.ranked(
                    Limit.PRIORITY, reason, plan, route, prefill_ids, now, overload_s
                )
            is_spared = has_run or self.tenant_use.spares(tenant, band, now)
            if late and self._order.refuses_late(plan, now) and not is_spared:
                reason = f"first event expected late, in {plan.first_ms:.0f} ms"
                if band.is_sole:
                    return self._refusals.late(Limit.QUEUE, reason, plan, route)
                return self._refusals.ranked(
                    Limit.QUEUE, reason, plan, route, prefill_ids, now, overload_s
                )
            if late and self._order.should_yield(route, plan):
                # At its rank, it would only delay requests that can still be on time.
                plan = best(band.late_rank)
            elif (
                max(plan.wait_ms, plan.slot_wait_ms) >= MIN_WAIT_MS
                and plan.urgency < band.late_rank
                and self.tenant_use.exceeds(tenant, band, now)
            ):
                plan = _mark_over_share(best(band.late_rank))
        if plan is None:
            return self._refusals.without_engine(targets, excluded, now)
        budget_s, share = min(abandon_after_s(route), remaining_s), MAX_TIMEOUT_SHARE
        if has_run:
            budget_s, share = remaining_s, 1.0
        if plan.first_ms > budget_s * 1000.0 * share:
            reason = f"first event expected in {plan.first_ms:.0f} ms"
            return self._refusals.late(Limit.TIME, reason, plan, route)
        return plan

    def choose_decode(
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

        See :meth:`EngineChoice.decode`.
        """
        return self._choice.decode(
            targets, prompt, now, excluded, near, claimed, need, band
        )

    def choose_call(
        self,
        targets: Sequence[Target],
        now: float,
        excluded: Collection[TargetId] = (),
    ) -> Target | None:
        """Return the target of a plain call with the least expected delay."""
        return self._choice.call(targets, now, excluded)

    def return_after_s(self, targets: Sequence[Target], now: float) -> float:
        """Return the seconds after which one of the targets takes a request again.

        See :meth:`EligibleTargets.return_after_s`.
        """
        return self._eligible.return_after_s(targets, now)

    def retry_after_s(self, plan: Plan, route: Route) -> float:
        """Return the seconds after which to retry a refused request, with jitter."""
        return self._refusals.retry_after_s(plan, route)


def _mark_over_share(plan: Plan | None) -> Plan | None:
    return None if plan is None else replace(plan, over_share=True)
