"""Properties of role planning under random demand and events."""

from collections import Counter

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.planning.test_planner import demand, fleet
from wigeonspan.catalog import EnginePhase, Policy, PriorityClass
from wigeonspan.planning import (
    Demand,
    EngineRates,
    Load,
    PlanInputs,
    Planner,
    PlanningSettings,
    RoleCounts,
    expected_goodput,
)

DEMAND = st.tuples(
    st.floats(0.0, 40.0),
    st.integers(10, 8_000),
    st.integers(1, 500),
    st.sampled_from(list(PriorityClass)),
)
ROUND = st.tuples(
    st.lists(DEMAND, max_size=2),
    st.integers(0, 3),
    st.one_of(st.none(), st.integers(0, 8)),
)


@settings(derandomize=True, deadline=None, max_examples=30)
@given(
    st.lists(ROUND, min_size=20, max_size=60),
    st.text("pdm", min_size=3, max_size=9),
    st.integers(1, 2),
    st.sampled_from([0.0, 30.0, 60.0]),
)
def test_limits_hold_under_any_demand(rounds, roles, limit, stay):
    """The planner respects pinned roles, the limit per domain and the minimum stay.

    It once changed too many engines at a time, or one within its minimum stay.
    """
    planner = Planner(PlanningSettings(warm_up_s=0.0, min_gain=0.0, margin=0.0))
    policy = Policy("policy", 0.0, stay, limit)
    engines = {e.name: e for e in fleet(roles)}
    pinned = next(iter(engines))
    engines[pinned] = msgspec.structs.replace(
        engines[pinned], pinned_role=engines[pinned].role
    )
    changed_at = dict.fromkeys(engines, 0.0)
    for index, (samples, slow, lost) in enumerate(rounds):
        now = index * 5.0
        planner.record_demand([demand(*s) for s in samples], 5.0, now)
        plan = planner.plan(PlanInputs(list(engines.values()), policy), now)
        for change in plan.changes:
            engine = engines[change.engine]
            assert change.engine != pinned
            assert engine.phase is EnginePhase.SERVING
            assert change.new is not engine.role
            assert now - changed_at[change.engine] >= stay
            changed_at[change.engine] = now
            engines[change.engine] = msgspec.structs.replace(
                engine, wanted_role=change.new, phase=EnginePhase.CLOSING
            )
        out = [e for e in engines.values() if e.phase is EnginePhase.CLOSING]
        assert all(n <= limit for n in Counter(e.domain for e in out).values())
        for engine in out[slow:]:
            engines[engine.name] = msgspec.structs.replace(
                engine, role=engine.wanted_role, phase=EnginePhase.SERVING
            )
        if lost is not None and lost < len(roles) and index % 7 == 0:
            name = list(engines)[lost]
            if engines[name].phase is EnginePhase.SERVING:
                engines[name] = msgspec.structs.replace(
                    engines[name], phase=EnginePhase.FAILED
                )


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    st.tuples(st.integers(0, 9), st.integers(0, 9), st.integers(0, 9)),
    st.integers(0, 2),
    st.floats(0.0, 50.0),
    st.floats(0.0, 50_000.0),
    st.floats(0.0, 5_000.0),
)
def test_more_engines_never_serve_less(counts, added, requests, prompt, output):
    """An additional engine never lowers the goodput.

    Otherwise the planner would prefer fewer engines.
    """
    rates = EngineRates(5_000.0, 800.0, 0.7)
    load = Load(requests, prompt, output)
    for needed in (Demand(load, Load()), Demand(Load(), load), Demand(load, load)):
        more = list(counts)
        more[added] += 1
        fewer = expected_goodput(RoleCounts(*counts), needed, rates)
        assert expected_goodput(RoleCounts(*more), needed, rates) >= fewer - 1e-9
        assert 0 <= fewer <= needed.urgent.requests + needed.batch.requests + 1e-9


@settings(derandomize=True, deadline=None, max_examples=10)
@given(st.floats(5.0, 12.0), st.integers(500, 4_000), st.integers(50, 300))
def test_roles_settle_under_steady_demand(rate, prompt, output):
    """Under steady demand the roles settle; they once kept alternating."""
    planner = Planner()
    engines = {e.name: e for e in fleet()}
    policy = Policy(role_change_price=1.0, minimum_stay_s=30.0)
    changes = []
    for index in range(160):
        now = index * 5.0
        planner.record_demand([demand(rate, prompt, output)], 5.0, now)
        for change in planner.plan(
            PlanInputs(list(engines.values()), policy), now
        ).changes:
            changes.append((now, change))
            engines[change.engine] = msgspec.structs.replace(
                engines[change.engine], role=change.new, wanted_role=change.new
            )
    assert all(now < 400.0 for now, _ in changes)
    assert len(changes) <= 2 * len(engines)
