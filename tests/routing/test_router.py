"""Tests of the choice of engines."""

from collections import Counter
from random import Random

import pytest

from wigeonspan.catalog import Engine, EnginePhase, PriorityClass, Role
from wigeonspan.common import AttemptId, DomainName, EngineId, ModelName, ServiceName
from wigeonspan.distribution import InFlight
from wigeonspan.engines import LoadReport
from wigeonspan.routing import (
    AttemptEnd,
    AttemptResult,
    PromptPrefix,
    Router,
    RouteRequest,
)


def engine(name, role=Role.MIXED, domain="a", phase=EnginePhase.SERVING):
    return Engine(
        name=EngineId(name),
        address=f"127.0.0.1:{name[1:]}",
        domain=DomainName(domain),
        service=ServiceName("s"),
        phase=phase,
        role=role,
        wanted_role=role,
        model=ModelName("m"),
        model_version="1",
    )


def report(name, queued=0, running=0, age=0.0, incarnation="i"):
    return LoadReport(
        engine=EngineId(name),
        incarnation=incarnation,
        age_s=age,
        role=Role.MIXED,
        queued_prefill_tokens=queued,
        running=running,
        batch_limit=16,
        pieces_total=4000,
        pieces_free=4000,
        prefill_tokens_per_s=5000.0,
        decode_tokens_per_s=0.0,
    )


def request(**changes):
    values = dict(
        service=ServiceName("s"),
        model=ModelName("m"),
        model_version="1",
        priority=PriorityClass.DESK,
        prompt_tokens=1000,
        output_tokens=30,
        deadline=100.0,
    )
    return RouteRequest(**(values | changes))


def router(*engines, entries=1):
    made = Router(Random(7))
    made.update_engines(list(engines), 0.0)
    made.update_live_entries(entries)
    return made


def picks(made, count=200, **changes):
    routes = (made.choose(request(**changes), 1.0) for _ in range(count))
    return Counter(route.engine for route in routes)


def test_loaded_engine_is_avoided():
    """A queue in the report was once ignored when the engine was otherwise equal."""
    made = router(engine("e1"), engine("e2"))
    made.note_load(report("e1", queued=20_000), 0.9)
    made.note_load(report("e2"), 0.9)
    assert picks(made)["e2"] > 195


def test_own_work_since_the_report_counts():
    """With lagging reports, one entry would send a whole burst to one engine."""
    made = router(engine("e1"), engine("e2"), engine("e3"))
    for name in ("e1", "e2", "e3"):
        made.note_load(report(name, age=0.5), 1.0)
    chosen = Counter()
    for number in range(30):
        route = made.choose(request(), 1.0)
        made.started(AttemptId(f"a{number}"), route.engine, request(), 1.0)
        chosen[route.engine] += 1
    assert max(chosen.values()) <= 12


def test_expected_first_token_counts_work_since_the_report():
    """Without them a burst made every estimate too short and nothing was refused."""
    made = router(engine("e1"))
    made.note_load(report("e1", queued=5000, age=0.5), 1.0)
    for number in range(10):
        made.started(AttemptId(f"a{number}"), EngineId("e1"), request(), 1.0)
    route = made.choose(request(), 1.0)
    assert route.first_token_s == pytest.approx((5000 + 11_000) / 5000 - 0.5)


def test_entries_with_the_same_report_spread():
    """Entries that share one report and differ in their seed must not agree."""
    first = []
    for seed in range(40):
        made = Router(Random(seed))
        made.update_engines([engine("e1"), engine("e2"), engine("e3")], 0.0)
        made.update_live_entries(8)
        for queued, name in ((0, "e1"), (50, "e2"), (100, "e3")):
            made.note_load(report(name, queued=queued), 1.0)
        first.append(made.choose(request(), 1.0).engine)
    assert max(Counter(first).values()) < 25


@pytest.mark.parametrize(
    "changes",
    [
        {"model_version": "2"},
        {"model": ModelName("other")},
        {"adapters": ("missing",)},
        {"excluded": frozenset({EngineId("e1")})},
        {"service": ServiceName("other")},
    ],
)
def test_unfit_engine_is_never_chosen(changes):
    """A request must not reach an engine without its model, version or adapter."""
    assert router(engine("e1")).choose(request(**changes), 0.0) is None


@pytest.mark.parametrize("phase", [p for p in EnginePhase if p.value != "serving"])
def test_engine_out_of_service_gets_no_work(phase):
    """An engine in a planned change must not receive new work (I7)."""
    made = router(engine("e1", phase=phase))
    assert made.choose(request(), 0.0) is None


def test_prefill_and_decode_engines_are_paired():
    """With split roles, the decode engine must not get the whole prompt."""
    made = router(engine("e1", Role.PREFILL), engine("e2", Role.DECODE))
    route = made.choose(request(), 0.0)
    assert (route.prefill_engine, route.engine) == ("e1", "e2")
    assert 0 < route.first_token_s < route.completion_s


@pytest.mark.parametrize("roles", ["pm", "md"])
def test_mixed_engines_pair_with_either_role(roles):
    """An engine with one role was idle when no engine had the other role."""
    names = {"p": Role.PREFILL, "d": Role.DECODE, "m": Role.MIXED}
    engines = [engine(f"e{n}", names[c]) for n, c in enumerate(roles)]
    made = router(*engines)
    for e in engines:
        queued = 0 if e.role is not Role.MIXED else 2_000
        made.note_load(report(e.name, queued=queued, running=8), 1.0)
    routes = made.routes(request(), 1.0)
    assert ("e0", "e1") in {(r.prefill_engine, r.engine) for r in routes}
    assert (None, "e1" if roles == "pm" else "e0") in {
        (r.prefill_engine, r.engine) for r in routes
    }


def test_single_role_left_still_serves():
    """When all prefill engines are gone, requests run whole on decode engines."""
    route = router(engine("e2", Role.DECODE)).choose(request(), 0.0)
    assert (route.prefill_engine, route.engine) == (None, "e2")


def test_cached_prefix_attracts():
    """A prompt that ran on an engine before is cheapest there."""
    made = router(engine("e1"), engine("e2"))
    prefixes = (PromptPrefix("p", 900),)
    made.started(AttemptId("a"), EngineId("e2"), request(prefixes=prefixes), 0.0)
    made.progressed(AttemptId("a"), 1, 0.5)
    made.ended(AttemptId("a"), AttemptEnd(AttemptResult.OK), 0.6)
    assert picks(made, prefixes=prefixes)["e2"] > 180


def test_restart_forgets_the_cache():
    """After a restart the engine's cache is empty, whatever events said before."""
    made = router(engine("e1"), engine("e2"))
    made.note_load(report("e2"), 0.0)
    prefixes = (PromptPrefix("p", 900),)
    made.started(AttemptId("a"), EngineId("e2"), request(prefixes=prefixes), 0.0)
    made.ended(AttemptId("a"), AttemptEnd(AttemptResult.OK), 0.6)
    made.note_load(report("e2", incarnation="j"), 0.9)
    assert picks(made, prefixes=prefixes)["e2"] < 150


def test_failures_eject_until_a_good_probe():
    """An engine that fails all requests must not keep receiving them."""
    made = router(engine("e1"), engine("e2"), engine("e3"))
    for number in range(3):
        attempt = AttemptId(f"a{number}")
        made.started(attempt, EngineId("e1"), request(), 0.0)
        made.ended(attempt, AttemptEnd(AttemptResult.FAILED), 0.1)
    assert "e1" not in picks(made)
    assert made.probe_targets(1.0) == []
    assert made.probe_targets(6.0) == ["e1"]
    made.probed(EngineId("e1"), False, 6.1)
    assert "e1" not in picks(made)
    assert made.probe_targets(20.0) == ["e1"]
    made.probed(EngineId("e1"), True, 20.1)
    assert "e1" in picks(made)


def test_in_flight_counts_by_class():
    """The drain barrier relies on these counts being complete."""
    made = router(engine("e1"))
    batch = request(priority=PriorityClass.BATCH)
    made.started(AttemptId("a"), EngineId("e1"), request(), 0.0)
    made.started(AttemptId("b"), EngineId("e1"), batch, 0.0)
    assert made.in_flight() == {"e1": InFlight(1, 1)}
    made.update_engines([], 0.1)
    assert made.in_flight() == {"e1": InFlight(1, 1)}
    made.ended(AttemptId("a"), AttemptEnd(AttemptResult.CANCELLED), 0.2)
    made.ended(AttemptId("b"), AttemptEnd(AttemptResult.OK), 0.2)
    assert made.in_flight() == {}


def test_samples_are_taken_once():
    """Work counted in two syncs would double the demand that the planner sees."""
    made = router(engine("e1"))
    made.started(AttemptId("a"), EngineId("e1"), request(), 0.0)
    made.progressed(AttemptId("a"), 1, 0.5)
    made.progressed(AttemptId("a"), 31, 1.5)
    made.ended(AttemptId("a"), AttemptEnd(AttemptResult.OK), 1.5)
    (sample,) = made.take_samples()
    assert (sample.prefill_tokens, sample.decode_tokens) == (1000, 30)
    assert (sample.prefill_s, sample.decode_s) == (0.5, 1.0)
    assert made.take_samples() == []
