"""Routing and role planning to compare: the system's modules and the baselines."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from bench.workload import LoadShape, ModelDeployment
from wigeonspan.catalog import Engine, Policy, Role
from wigeonspan.common import EngineId
from wigeonspan.distribution import DemandSample, EngineSample
from wigeonspan.engines import LoadReport
from wigeonspan.planning import (
    Demand,
    EngineRates,
    Load,
    PlanInputs,
    Planner,
    PlanningSettings,
    RoleCounts,
    assignments,
    expected_goodput,
)
from wigeonspan.routing import EngineRoute, Router, RouteRequest

ROLES = (Role.PREFILL, Role.DECODE, Role.MIXED)

RoleChanges = list[tuple[EngineId, Role]]


class RoundRobinRouter(Router):
    """Baseline: choose the engines round robin."""

    def __init__(self, rng: Random) -> None:
        super().__init__(rng)
        self._turn = rng.randrange(100)

    def choose(self, request: RouteRequest, now: float) -> EngineRoute | None:
        """Return the next route in round-robin order."""
        routes = self.routes(request, now)
        self._turn += 1
        return routes[self._turn % len(routes)] if routes else None


class LeastLoadRouter(Router):
    """Baseline: choose the engine with the least reported load."""

    def __init__(self, rng: Random) -> None:
        super().__init__(rng)
        self._reports: dict[EngineId, LoadReport] = {}

    def record_load(self, report: LoadReport, now: float) -> None:
        """Store the report in addition to the usual recording."""
        super().record_load(report, now)
        self._reports[report.engine] = report

    def choose(self, request: RouteRequest, now: float) -> EngineRoute | None:
        """Return the route with the lowest sum of batch use and queued prefill."""
        routes = self.routes(request, now)
        return min(routes, key=self._load) if routes else None

    def _load(self, route: EngineRoute) -> float:
        load = 0.0
        for name in (route.engine, route.prefill_engine):
            if name in self._reports:
                report = self._reports[name]
                load += report.running / report.batch_limit
                load += report.queued_prefill_tokens / 6_000
        return load


class RolePlanner:
    """Base class of the role planners; it keeps all engines mixed."""

    def __init__(self, deployment: ModelDeployment, shape: LoadShape) -> None:
        self.deployment = deployment
        self.shape = shape

    def initial_roles(self) -> list[Role]:
        """Return the roles of the engines at the start."""
        return [Role.MIXED] * self.deployment.engines

    def plan(
        self,
        engines: list[Engine],
        demand: list[DemandSample],
        work: list[EngineSample],
        now: float,
    ) -> RoleChanges:
        """Return the role changes to make now."""
        return []


class StaticSplit(RolePlanner):
    """Baseline: the best fixed role assignment, computed from the expected load."""

    def initial_roles(self) -> list[Role]:
        """Return the assignment with the highest expected goodput over 600 s."""
        rates = usable_rates(self.deployment)
        demands = [
            expected_demand(self.deployment, self.shape, t) for t in range(0, 600, 5)
        ]
        best = max(
            assignments(self.deployment.engines),
            key=lambda c: sum(expected_goodput(c, d, rates) for d in demands),
        )
        return expand_roles(best)


class SystemPlanner(RolePlanner):
    """Role planner of the system, with the policy of the deployment."""

    def __init__(self, deployment: ModelDeployment, shape: LoadShape) -> None:
        super().__init__(deployment, shape)
        spec = deployment.spec
        self._planner = Planner(
            PlanningSettings(
                prefill_tokens_per_s=spec.prefill_rate,
                decode_tokens_per_s=spec.decode_rate,
                mixed_efficiency=spec.mixed_efficiency,
            )
        )
        self._last_plan_at = 0.0

    def plan(
        self,
        engines: list[Engine],
        demand: list[DemandSample],
        work: list[EngineSample],
        now: float,
    ) -> RoleChanges:
        """Record demand and engine work, and return the planner's changes."""
        interval = now - self._last_plan_at
        self._last_plan_at = now
        self._planner.record_demand(demand, interval, now)
        self._planner.record_engine_work(work, interval)
        # At the start, treat the last role changes as long past, so that the minimum
        # stay does not hold back the first plan.
        changed_at = {e.name: -1e9 for e in engines} if now < 10 else {}
        inputs = PlanInputs(engines, self.deployment.policy, changed_at)
        return [(c.engine, c.new) for c in self._planner.plan(inputs, now).changes]


class Greedy(RolePlanner):
    """Baseline: the best assignment for the latest demand, without change costs."""

    def plan(
        self,
        engines: list[Engine],
        demand: list[DemandSample],
        work: list[EngineSample],
        now: float,
    ) -> RoleChanges:
        """Return the changes towards the best assignment for the last interval."""
        observed = observed_demand(demand, self.deployment)
        rates = usable_rates(self.deployment)
        usable = [e for e in engines if e.phase.value not in ("failed", "withdrawn")]
        current = count_roles(usable)
        target = max(
            assignments(len(usable)),
            key=lambda c: (
                expected_goodput(c, observed, rates),
                -current.role_changes_to(c),
            ),
        )
        return limited_changes(usable, current, target, self.deployment.policy)


class Oracle(RolePlanner):
    """Upper bound: plans all role changes ahead from the expected load mix.

    Dynamic programming over 60 steps of 10 s picks the assignments with the highest
    expected goodput. Each role change costs the time that an engine is out of service.
    """

    step_s = 10.0

    def __init__(self, deployment: ModelDeployment, shape: LoadShape) -> None:
        super().__init__(deployment, shape)
        self._rates = usable_rates(deployment)
        self._path: list[RoleCounts] = []

    def initial_roles(self) -> list[Role]:
        """Return the first assignment of the optimal path."""
        self._path = self._best_path(None, 0, self.deployment.engines)
        return expand_roles(self._path[0])

    def plan(
        self,
        engines: list[Engine],
        demand: list[DemandSample],
        work: list[EngineSample],
        now: float,
    ) -> RoleChanges:
        """Return the changes towards the assignment one step ahead."""
        usable = [e for e in engines if e.phase.value not in ("failed", "withdrawn")]
        current = count_roles(usable)
        index = min(int((now + self.step_s) / self.step_s), 59)
        if sum(self._path[index]) != len(usable):
            rest = self._best_path(current, index, len(usable))
            self._path[index:] = rest
        target = self._path[index]
        return limited_changes(usable, current, target, self.deployment.policy)

    def _best_path(
        self, start: RoleCounts | None, first: int, total: int
    ) -> list[RoleCounts]:
        states = assignments(total)
        best = {s: 0.0 if start is None else -self._cost(start, s) for s in states}
        predecessors: list[dict[RoleCounts, RoleCounts]] = []
        for index in range(first, 60):
            now = (index + 0.5) * self.step_s
            demand = expected_demand(self.deployment, self.shape, now)
            gain = {s: expected_goodput(s, demand, self._rates) for s in states}
            value_after = {s: best[s] + gain[s] * self.step_s for s in states}
            step = {}
            for s in states:
                step[s] = max(states, key=lambda p: value_after[p] - self._cost(p, s))
            best = {s: value_after[step[s]] - self._cost(step[s], s) for s in states}
            predecessors.append(step)
        state = max(states, key=lambda s: best[s])
        path = []
        for step in reversed(predecessors):
            state = step[state]
            path.append(state)
        return path[::-1]

    def _cost(self, a: RoleCounts, b: RoleCounts) -> float:
        moves = a.role_changes_to(b)
        if moves > len(self.deployment.domains):
            return 1e9
        return moves * 12.0


@dataclass(frozen=True)
class Contender:
    """Named combination of a router and a role planner.

    ``perfect_reports`` makes load reports arrive without delay and loss.
    """

    name: str
    router: Callable[[Random], Router]
    planner: Callable[[ModelDeployment, LoadShape], RolePlanner]
    perfect_reports: bool = False


CONTENDERS = (
    Contender("wigeonspan", Router, SystemPlanner),
    Contender("static, round robin", RoundRobinRouter, RolePlanner),
    Contender("static, least load", LeastLoadRouter, RolePlanner),
    Contender("static split, least load", LeastLoadRouter, StaticSplit),
    Contender("greedy", Router, Greedy),
    Contender("oracle", Router, Oracle, perfect_reports=True),
)


def usable_rates(deployment: ModelDeployment) -> EngineRates:
    """Return the engine rates, reduced by 5 % to leave room for queueing."""
    spec = deployment.spec
    return EngineRates(
        0.95 * spec.prefill_rate, 0.95 * spec.decode_rate, spec.mixed_efficiency
    )


def expected_demand(
    deployment: ModelDeployment, shape: LoadShape, now: float
) -> Demand:
    """Return the expected demand at a time."""
    urgent, batch = Load(), Load()
    for kind, fraction in zip(deployment.kinds, shape.mix(now), strict=True):
        rate = fraction * deployment.engines / kind.service_time_s(deployment.spec)
        load = Load(rate, rate * kind.prompt_tokens, rate * kind.output_tokens)
        if kind.priority.value == "batch":
            batch = batch.plus(load)
        else:
            urgent = urgent.plus(load)
    return Demand(urgent, batch)


def observed_demand(samples: list[DemandSample], deployment: ModelDeployment) -> Demand:
    """Return the demand observed in the last planning interval of 5 s."""
    urgent, batch = Load(), Load()
    lengths = {k.priority: k.output_tokens for k in deployment.kinds}
    for sample in samples:
        rate = sample.arrivals / 5.0
        length = lengths[sample.priority]
        ended = sample.finished + sample.late
        if ended:
            length = sample.output_tokens / ended
        load = Load(rate, sample.prompt_tokens / 5.0, rate * length)
        if sample.priority.value == "batch":
            batch = batch.plus(load)
        else:
            urgent = urgent.plus(load)
    return Demand(urgent, batch)


def count_roles(engines: list[Engine]) -> RoleCounts:
    """Return the number of engines per wanted role."""
    return RoleCounts(*(sum(e.wanted_role is r for e in engines) for r in ROLES))


def expand_roles(counts: RoleCounts) -> list[Role]:
    """Return a list with one role per counted engine."""
    return [r for r, n in zip(ROLES, counts, strict=True) for _ in range(n)]


def limited_changes(
    engines: list[Engine], current: RoleCounts, target: RoleCounts, policy: Policy
) -> RoleChanges:
    """Return the role changes towards a target that the policy allows now.

    The policy limits the engines that are out of service at once in a failure domain.
    """
    surplus = {r: a - b for r, a, b in zip(ROLES, current, target, strict=True)}
    out: dict[str, int] = {}
    for e in engines:
        if e.phase.value != "serving":
            out[e.domain] = out.get(e.domain, 0) + 1
    changes: RoleChanges = []
    for e in engines:
        wanted = next((r for r in ROLES if surplus[r] < 0), None)
        if wanted is None:
            break
        if e.phase.value != "serving" or surplus[e.role] <= 0:
            continue
        if out.get(e.domain, 0) >= policy.max_out_per_domain:
            continue
        surplus[e.role] -= 1
        surplus[wanted] += 1
        out[e.domain] = out.get(e.domain, 0) + 1
        changes.append((e.name, wanted))
    return changes
