"""Tests of role planning."""

import pytest

from wigeonspan.catalog import Engine, EnginePhase, Policy, PriorityClass, Role
from wigeonspan.common import DomainName, EngineId, ServiceName
from wigeonspan.distribution import DemandSample
from wigeonspan.planning import PlanInputs, Planner, PlanningSettings

SERVICE = ServiceName("s")
POLICY = Policy(role_change_price=1.0, minimum_stay_s=60.0, max_out_per_domain=1)
SETTINGS = PlanningSettings()


def fleet(roles="mmmmmmmmm", **changes):
    names = {"p": Role.PREFILL, "d": Role.DECODE, "m": Role.MIXED}
    return [
        Engine(
            name=EngineId(f"e{number}"),
            address="",
            domain=DomainName("abc"[number % 3]),
            service=SERVICE,
            role=names[letter],
            wanted_role=names[letter],
            phase=EnginePhase.SERVING,
            **changes,
        )
        for number, letter in enumerate(roles)
    ]


def demand(rate, prompt, output, priority=PriorityClass.DESK):
    arrivals = round(rate * 5)
    return DemandSample(
        service=SERVICE,
        priority=priority,
        arrivals=arrivals,
        prompt_tokens=arrivals * prompt,
        output_tokens=arrivals * output,
        finished=arrivals,
        late=0,
        refused=0,
    )


def run(planner, engines, samples, until, start=0.0, policy=POLICY):
    """Plan every 5 s and apply the changes at once.

    Return the changes as (time, change) pairs, and the engines at the end.
    """
    made, now = [], start
    while now < until:
        planner.record_demand(samples(now), 5.0, now)
        plan = planner.plan(PlanInputs(engines, policy), now)
        for change in plan.changes:
            made.append((now, change))
            engines = [
                Engine(**{**_fields(e), "role": change.new, "wanted_role": change.new})
                if e.name == change.engine
                else e
                for e in engines
            ]
        now += 5.0
    return made, engines


def _fields(value):
    return {name: getattr(value, name) for name in value.__struct_fields__}


def overload(now):
    return [demand(12.0, 2000, 200)]


def test_roles_split_when_mixed_engines_cannot_keep_up():
    """Under lasting load, roles are split, since mixed engines have a lower rate."""
    made, engines = run(Planner(SETTINGS), fleet(), overload, 600.0)
    roles = [e.role for e in engines]
    assert roles.count(Role.PREFILL) >= 3
    assert roles.count(Role.DECODE) >= 3


def test_light_load_causes_no_role_change():
    """Under light load a role change gains nothing and only has a cost."""
    made, _ = run(Planner(SETTINGS), fleet(), lambda now: [demand(1, 500, 50)], 600.0)
    assert made == []


@pytest.mark.parametrize("price, changes", [(1.0, True), (1e6, False)])
def test_high_role_change_price_prevents_changes(price, changes):
    """The price of a role change in the policy limits the number of changes."""
    policy = Policy(role_change_price=price, minimum_stay_s=60.0)
    made, _ = run(Planner(SETTINGS), fleet(), overload, 600.0, policy=policy)
    assert bool(made) is changes


@pytest.mark.parametrize("pinned", [1, 4, 9])
def test_pinned_roles_are_not_changed(pinned):
    """The planner never changes the role of an engine that an operator pinned."""
    engines = fleet(pinned_role=Role.MIXED)[:pinned] + fleet()[pinned:]
    made, _ = run(Planner(SETTINGS), engines, overload, 600.0)
    assert not {c.engine for _, c in made} & {e.name for e in engines[:pinned]}
    assert bool(made) is (pinned < 9)


def test_minimum_stay_and_limit_per_domain():
    """Changes respect the minimum stay and the limit of changing engines per domain."""
    made, _ = run(Planner(SETTINGS), fleet(), overload, 600.0)
    last = {}
    for now, change in made:
        assert now - last.get(change.engine, 0.0) >= POLICY.minimum_stay_s
        last[change.engine] = now
    by_time = {}
    for now, change in made:
        by_time.setdefault(now, []).append("abc"[int(change.engine[1:]) % 3])
    assert all(len(set(domains)) == len(domains) for domains in by_time.values())


@pytest.mark.parametrize(
    "phase", [EnginePhase.FAILED, EnginePhase.LEAVING, EnginePhase.WITHDRAWN]
)
def test_lost_engines_do_not_block_changes(phase):
    """Lost engines do not count towards the limit of changing engines per domain.

    When they did, no further role change was possible after a loss.
    """
    engines = [
        Engine(**{**_fields(e), "phase": phase if number < 3 else e.phase})
        for number, e in enumerate(fleet())
    ]
    made, _ = run(Planner(SETTINGS), engines, overload, 300.0)
    assert made
    assert not {change.engine for _, change in made} & {"e0", "e1", "e2"}


def test_decision_contains_inputs_alternatives_and_reason():
    """A decision has the inputs, alternatives and reason that an audit needs."""
    planner = Planner(SETTINGS)
    for now in range(0, 100, 5):
        planner.record_demand(overload(now), 5.0, float(now))
        plan = planner.plan(PlanInputs(fleet(), POLICY), float(now))
        if plan.changes:
            break
    (decision,) = plan.decisions
    assert decision.inputs["urgent_per_s"][0] > 10
    assert len(decision.alternatives) > 1
    assert "mixed" in decision.reason
    assert decision.changes[0].engine in decision.summary
