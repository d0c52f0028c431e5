"""Assignment of roles to the engines of each service."""

from collections.abc import Callable

from wigeonspan.catalog import Engine, EnginePhase, Role
from wigeonspan.common import DomainName, EngineId, ServiceName
from wigeonspan.distribution import DemandSample, EngineSample
from wigeonspan.planning._demand import DemandBook, Scenario
from wigeonspan.planning._goodput import (
    Counts,
    Load,
    Rates,
    best_assignments,
    capacity_of,
    goodput,
    needs_of,
)
from wigeonspan.planning._messages import (
    Plan,
    PlanInputs,
    PlanningSettings,
    RoleChange,
    ServiceDecision,
)
from wigeonspan.planning._rates import RateBook

GONE = frozenset(
    {EnginePhase.FAILED, EnginePhase.LEAVING, EnginePhase.WITHDRAWN, EnginePhase.NEW}
)
"""Phases in which an engine cannot be counted on."""

ALTERNATIVES_KEPT = 5
"""Alternatives that a decision carries into the record."""


class Planner:
    """Plans the roles of all engines.

    Parameters
    ----------
    settings : PlanningSettings
        Rates and hysteresis.
    """

    def __init__(self, settings: PlanningSettings | None = None) -> None:
        self._settings = settings or PlanningSettings()
        self._demand = DemandBook()
        self._rates: dict[ServiceName, RateBook] = {}
        self._engines: dict[EngineId, Engine] = {}
        self._roles: dict[EngineId, Role] = {}
        self._changed_at: dict[EngineId, float] = {}

    def note_demand(
        self, samples: list[DemandSample], interval_s: float, now: float
    ) -> None:
        """Take the demand that entries saw.

        Parameters
        ----------
        samples : list of DemandSample
            Sums over all entries, by service and class.
        interval_s : float
            Time that they cover; call once for each interval.
        now : float
            Monotonic time in seconds.
        """
        self._demand.note(samples, interval_s, now)

    def note_engines(self, samples: list[EngineSample], interval_s: float) -> None:
        """Take the work that entries saw engines do in an interval.

        Parameters
        ----------
        samples : list of EngineSample
            Sums over all entries, by engine.
        interval_s : float
            Time that they cover; call once for each interval.
        """
        services = {e.service for e in self._engines.values() if e.service is not None}
        for service in services:
            own = {n: e for n, e in self._engines.items() if e.service == service}
            self._rate_book(service).note(own, samples, interval_s)

    def plan(self, inputs: PlanInputs, now: float) -> Plan:
        """Decide the roles.

        Parameters
        ----------
        inputs : PlanInputs
            Engines and policy.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        Plan
            A decision for each service that has engines.
        """
        self._note_roles(inputs, now)
        services = sorted({e.service for e in inputs.engines if e.service is not None})
        return Plan(tuple(self._plan_service(name, inputs, now) for name in services))

    def _note_roles(self, inputs: PlanInputs, now: float) -> None:
        """Remember when each engine changed role."""
        self._engines = {engine.name: engine for engine in inputs.engines}
        for name in [n for n in self._roles if n not in self._engines]:
            del self._roles[name], self._changed_at[name]
        for engine in inputs.engines:
            if self._roles.get(engine.name) is not engine.wanted_role:
                self._roles[engine.name] = engine.wanted_role
                self._changed_at[engine.name] = now
            known = inputs.changed_at.get(engine.name)
            if known is not None:
                self._changed_at[engine.name] = known

    def _plan_service(
        self, service: ServiceName, inputs: PlanInputs, now: float
    ) -> ServiceDecision:
        engines = [e for e in inputs.engines if e.service == service and is_usable(e)]
        scenarios = self._demand.of(service).scenarios(now)
        rates = self._rate_book(service).rates
        current = count_roles(engines)
        free = [e for e in engines if self._may_change(e, inputs, now)]
        if self._demand.of(service).known_s(now) < self._settings.warm_up_s:
            free = []
        scored = best_assignments(
            len(engines),
            _pinned(engines),
            current,
            self._value(current, scenarios, rates, inputs),
        )
        target = scored[0][1]
        changes = self._changes(service, current, target, free, engines, inputs)
        reason = _reason(current, target, changes)
        return ServiceDecision(
            service=service,
            changes=tuple(changes),
            summary=_summary(service, changes),
            reason=reason,
            inputs=_describe(current, scenarios, rates, len(free)),
            alternatives=[
                {"counts": list(counts), "value": round(value, 3)}
                for value, counts in scored[:ALTERNATIVES_KEPT]
            ],
        )

    def _rate_book(self, service: ServiceName) -> RateBook:
        book = self._rates.get(service)
        if book is None:
            book = self._rates[service] = RateBook(self._settings)
        return book

    def _value(
        self,
        current: Counts,
        scenarios: list[Scenario],
        rates: Rates,
        inputs: PlanInputs,
    ) -> Callable[[Counts], float]:
        """Return a function that values an assignment.

        The value is the number of useful answers within the horizon, less the cost of
        the changes that lead to it.
        """
        settings = self._settings
        weighted = [(s.weight, needs_of(s.demand, rates)) for s in scenarios]
        price = inputs.policy.role_change_price
        out_part = settings.out_s / max(1, sum(current))

        def value(counts: Counts) -> float:
            capacity = capacity_of(counts, rates)
            served = sum(
                weight * goodput(capacity, needs) for weight, needs in weighted
            )
            gained = served * settings.horizon_s
            cost = (served * out_part + price) * (1 + settings.margin)
            doubt = settings.least_gain * gained
            return gained - current.moves_to(counts) * (cost + doubt)

        return value

    def _may_change(self, engine: Engine, inputs: PlanInputs, now: float) -> bool:
        stayed = now - self._changed_at[engine.name]
        return (
            engine.pinned_role is None
            and engine.phase is EnginePhase.SERVING
            and not engine.drain
            and engine.wanted_role is engine.role
            and stayed >= inputs.policy.minimum_stay_s
        )

    def _changes(
        self,
        service: ServiceName,
        current: Counts,
        target: Counts,
        free: list[Engine],
        engines: list[Engine],
        inputs: PlanInputs,
    ) -> list[RoleChange]:
        """Return the changes towards the target that the limits allow now."""
        out = count_out(inputs.engines, service)
        surplus = {r: a - b for r, a, b in zip(ROLES, current, target, strict=True)}
        changes = []
        for engine in sorted(free, key=lambda e: (self._changed_at[e.name], e.name)):
            wanted = next((r for r in ROLES if surplus[r] < 0), None)
            if wanted is None:
                break
            if surplus[engine.role] <= 0:
                continue
            if out.get(engine.domain, 0) >= inputs.policy.max_out_per_domain:
                continue
            surplus[engine.role] -= 1
            surplus[wanted] += 1
            out[engine.domain] = out.get(engine.domain, 0) + 1
            reason = f"{service} is to have {_show(target)} instead of {_show(current)}"
            changes.append(
                RoleChange(
                    engine.name, service, engine.version, engine.role, wanted, reason
                )
            )
        return changes


ROLES = (Role.PREFILL, Role.DECODE, Role.MIXED)
"""Roles in the order of the fields of ``Counts``."""


def count_roles(engines: list[Engine]) -> Counts:
    """Return the number of engines by wanted role."""
    return Counts(*(sum(e.wanted_role is role for e in engines) for role in ROLES))


def count_out(engines: list[Engine], service: ServiceName) -> dict[DomainName, int]:
    """Return the engines of a service out for a planned change, by failure domain.

    Failed and leaving engines do not count: two lost engines once stopped every change
    in their domains, when the rest needed new roles most.
    """
    out: dict[DomainName, int] = {}
    for engine in engines:
        if engine.service != service or engine.phase in GONE:
            continue
        changing = engine.wanted_role is not engine.role
        if changing or engine.phase is not EnginePhase.SERVING:
            out[engine.domain] = out.get(engine.domain, 0) + 1
    return out


def is_usable(engine: Engine) -> bool:
    """Whether an engine serves now or will after a planned change."""
    return engine.phase not in GONE and not engine.drain


def _pinned(engines: list[Engine]) -> Counts:
    return Counts(*(sum(e.pinned_role is role for e in engines) for role in ROLES))


def _show(counts: Counts) -> str:
    names = ("prefill", "decode", "mixed")
    parts = [f"{n} {name}" for n, name in zip(counts, names, strict=True) if n]
    return ", ".join(parts) or "no engines"


def _summary(service: ServiceName, changes: list[RoleChange]) -> str:
    if not changes:
        return f"{service}: no change"
    moves = (f"{c.engine} {c.old.value} to {c.new.value}" for c in changes)
    return f"{service}: " + "; ".join(moves)


def _reason(current: Counts, target: Counts, changes: list[RoleChange]) -> str:
    if target == current:
        return f"no other assignment is worth a change from {_show(current)}"
    verb = "changing" if changes else "waiting for a limit or minimum stay to change"
    return f"{verb} from {_show(current)} to {_show(target)}"


def _describe(
    current: Counts, scenarios: list[Scenario], rates: Rates, free: int
) -> dict[str, object]:
    def load(value: Load) -> list[float]:
        return [round(x, 3) for x in (value.requests, value.prompt, value.output)]

    forecast = scenarios[0]
    return {
        "engines": list(current),
        "may_change": free,
        "urgent_per_s": load(forecast.demand.urgent),
        "batch_per_s": load(forecast.demand.batch),
        "forecast_weight": round(forecast.weight, 3),
        "past_mixes": len(scenarios) - 1,
        "prefill_tokens_per_s": round(rates.prefill, 1),
        "decode_tokens_per_s": round(rates.decode, 1),
        "mixed_efficiency": round(rates.mixed_efficiency, 3),
    }
