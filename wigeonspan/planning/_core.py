"""Assignment of roles to the engines of each service."""

from collections.abc import Callable

from wigeonspan.catalog import Engine, EnginePhase, Role
from wigeonspan.common import DomainName, EngineId, ServiceName
from wigeonspan.distribution import DemandSample, EngineSample
from wigeonspan.planning._demand import DemandByService, Scenario
from wigeonspan.planning._goodput import (
    EngineRates,
    Load,
    RoleCounts,
    best_assignments,
    engine_capacity,
    engine_needs,
    goodput,
)
from wigeonspan.planning._messages import (
    Plan,
    PlanInputs,
    PlanningSettings,
    RoleChange,
    ServiceDecision,
)
from wigeonspan.planning._rates import RateEstimator

UNAVAILABLE_PHASES = frozenset(
    {EnginePhase.FAILED, EnginePhase.LEAVING, EnginePhase.WITHDRAWN, EnginePhase.NEW}
)
"""Phases in which an engine does not count as capacity."""

MAX_ALTERNATIVES = 5
"""Maximum number of alternatives that are stored with a decision."""


class Planner:
    """Plans the roles of all engines.

    Parameters
    ----------
    settings : PlanningSettings
        Initial rates, costs of a change and hysteresis.
    """

    def __init__(self, settings: PlanningSettings | None = None) -> None:
        self._settings = settings or PlanningSettings()
        self._demand = DemandByService()
        self._rates: dict[ServiceName, RateEstimator] = {}
        self._engines: dict[EngineId, Engine] = {}
        self._roles: dict[EngineId, Role] = {}
        self._changed_at: dict[EngineId, float] = {}

    def record_demand(
        self, samples: list[DemandSample], interval_s: float, now: float
    ) -> None:
        """Record the demand that entries observed in an interval.

        Parameters
        ----------
        samples : list of DemandSample
            Sums over all entries, by service and class.
        interval_s : float
            Length of the interval in seconds; call once for each interval.
        now : float
            Monotonic time in seconds.
        """
        self._demand.record(samples, interval_s, now)

    def record_engine_work(
        self, samples: list[EngineSample], interval_s: float
    ) -> None:
        """Record the work of the engines that entries observed in an interval.

        Parameters
        ----------
        samples : list of EngineSample
            Sums over all entries, by engine.
        interval_s : float
            Length of the interval in seconds; call once for each interval.
        """
        services = {e.service for e in self._engines.values() if e.service is not None}
        for service in services:
            own = {n: e for n, e in self._engines.items() if e.service == service}
            self._rate_estimator(service).record(own, samples, interval_s)

    def plan(self, inputs: PlanInputs, now: float) -> Plan:
        """Decide the roles of all engines.

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
        self._record_roles(inputs, now)
        services = sorted({e.service for e in inputs.engines if e.service is not None})
        return Plan(tuple(self._plan_service(name, inputs, now) for name in services))

    def _record_roles(self, inputs: PlanInputs, now: float) -> None:
        """Record when each engine last changed role, and forget removed engines."""
        self._engines = {engine.name: engine for engine in inputs.engines}
        for name in [n for n in self._roles if n not in self._engines]:
            del self._roles[name], self._changed_at[name]
        for engine in inputs.engines:
            if self._roles.get(engine.name) is not engine.wanted_role:
                self._roles[engine.name] = engine.wanted_role
                self._changed_at[engine.name] = now
            changed_at = inputs.changed_at.get(engine.name)
            if changed_at is not None:
                self._changed_at[engine.name] = changed_at

    def _plan_service(
        self, service: ServiceName, inputs: PlanInputs, now: float
    ) -> ServiceDecision:
        engines = [e for e in inputs.engines if e.service == service and is_usable(e)]
        scenarios = self._demand.for_service(service).scenarios(now)
        rates = self._rate_estimator(service).rates
        current = count_roles(engines)
        changeable = [e for e in engines if self._may_change(e, inputs, now)]
        if self._demand.for_service(service).observed_s(now) < self._settings.warm_up_s:
            changeable = []
        scored = best_assignments(
            len(engines),
            _count_pinned(engines),
            current,
            self._make_value_function(current, scenarios, rates, inputs),
        )
        target = scored[0][1]
        changes = self._select_changes(
            service, current, target, changeable, engines, inputs
        )
        reason = _reason(current, target, changes)
        return ServiceDecision(
            service=service,
            changes=tuple(changes),
            summary=_summary(service, changes),
            reason=reason,
            inputs=_describe_inputs(current, scenarios, rates, len(changeable)),
            alternatives=[
                {"counts": list(counts), "value": round(value, 3)}
                for value, counts in scored[:MAX_ALTERNATIVES]
            ],
        )

    def _rate_estimator(self, service: ServiceName) -> RateEstimator:
        estimator = self._rates.get(service)
        if estimator is None:
            estimator = self._rates[service] = RateEstimator(self._settings)
        return estimator

    def _make_value_function(
        self,
        current: RoleCounts,
        scenarios: list[Scenario],
        rates: EngineRates,
        inputs: PlanInputs,
    ) -> Callable[[RoleCounts], float]:
        """Return a function that computes the value of an assignment.

        The value is the expected number of requests served on time within the horizon.
        Each role change from the current assignment subtracts its cost, increased by
        the margin, and the minimum gain.
        """
        settings = self._settings
        weighted = [(s.weight, engine_needs(s.demand, rates)) for s in scenarios]
        price = inputs.policy.role_change_price
        outage_per_engine = settings.outage_s / max(1, sum(current))

        def value(counts: RoleCounts) -> float:
            capacity = engine_capacity(counts, rates)
            served = sum(
                weight * goodput(capacity, needs) for weight, needs in weighted
            )
            total = served * settings.horizon_s
            cost = (served * outage_per_engine + price) * (1 + settings.margin)
            required_gain = settings.min_gain * total
            return total - current.role_changes_to(counts) * (cost + required_gain)

        return value

    def _may_change(self, engine: Engine, inputs: PlanInputs, now: float) -> bool:
        """Return whether the limits for a single engine allow a role change now."""
        stayed = now - self._changed_at[engine.name]
        return (
            engine.pinned_role is None
            and engine.phase is EnginePhase.SERVING
            and not engine.drain
            and engine.wanted_role is engine.role
            and stayed >= inputs.policy.minimum_stay_s
        )

    def _select_changes(
        self,
        service: ServiceName,
        current: RoleCounts,
        target: RoleCounts,
        changeable: list[Engine],
        engines: list[Engine],
        inputs: PlanInputs,
    ) -> list[RoleChange]:
        """Return the changes towards the target assignment that the limits allow now.

        Engines that have kept their role longest change first.
        """
        out = count_changing_engines(inputs.engines, service)
        surplus = {r: a - b for r, a, b in zip(ROLES, current, target, strict=True)}
        changes = []
        for engine in sorted(
            changeable, key=lambda e: (self._changed_at[e.name], e.name)
        ):
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
            reason = (
                f"{service} is to have {_format_counts(target)} "
                f"instead of {_format_counts(current)}"
            )
            changes.append(
                RoleChange(
                    engine.name, service, engine.version, engine.role, wanted, reason
                )
            )
        return changes


ROLES = (Role.PREFILL, Role.DECODE, Role.MIXED)
"""Roles in the order of the fields of ``RoleCounts``."""


def count_roles(engines: list[Engine]) -> RoleCounts:
    """Return the number of engines by wanted role."""
    return RoleCounts(*(sum(e.wanted_role is role for e in engines) for role in ROLES))


def count_changing_engines(
    engines: list[Engine], service: ServiceName
) -> dict[DomainName, int]:
    """Count a service's engines that a planned change takes out, by failure domain.

    Failed and leaving engines do not count. When they did, two lost engines blocked
    every role change in their domains, just when other engines needed new roles.
    """
    out: dict[DomainName, int] = {}
    for engine in engines:
        if engine.service != service or engine.phase in UNAVAILABLE_PHASES:
            continue
        changing = engine.wanted_role is not engine.role
        if changing or engine.phase is not EnginePhase.SERVING:
            out[engine.domain] = out.get(engine.domain, 0) + 1
    return out


def is_usable(engine: Engine) -> bool:
    """Return whether an engine serves now or will serve after a planned change."""
    return engine.phase not in UNAVAILABLE_PHASES and not engine.drain


def _count_pinned(engines: list[Engine]) -> RoleCounts:
    return RoleCounts(*(sum(e.pinned_role is role for e in engines) for role in ROLES))


def _format_counts(counts: RoleCounts) -> str:
    names = ("prefill", "decode", "mixed")
    parts = [f"{n} {name}" for n, name in zip(counts, names, strict=True) if n]
    return ", ".join(parts) or "no engines"


def _summary(service: ServiceName, changes: list[RoleChange]) -> str:
    if not changes:
        return f"{service}: no change"
    moves = (f"{c.engine} {c.old.value} to {c.new.value}" for c in changes)
    return f"{service}: " + "; ".join(moves)


def _reason(current: RoleCounts, target: RoleCounts, changes: list[RoleChange]) -> str:
    if target == current:
        return f"no other assignment is worth a change from {_format_counts(current)}"
    verb = "changing" if changes else "waiting for a limit or minimum stay to change"
    return f"{verb} from {_format_counts(current)} to {_format_counts(target)}"


def _describe_inputs(
    current: RoleCounts, scenarios: list[Scenario], rates: EngineRates, changeable: int
) -> dict[str, object]:
    def load(value: Load) -> list[float]:
        return [round(x, 3) for x in (value.requests, value.prompt, value.output)]

    forecast = scenarios[0]
    return {
        "engines": list(current),
        "may_change": changeable,
        "urgent_per_s": load(forecast.demand.urgent),
        "batch_per_s": load(forecast.demand.batch),
        "forecast_weight": round(forecast.weight, 3),
        "past_mixes": len(scenarios) - 1,
        "prefill_tokens_per_s": round(rates.prefill, 1),
        "decode_tokens_per_s": round(rates.decode, 1),
        "mixed_efficiency": round(rates.mixed_efficiency, 3),
    }
