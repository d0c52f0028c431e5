"""Tests of the router's choice of engines."""

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


def make_engine(name, role=Role.MIXED, domain="a", phase=EnginePhase.SERVING):
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


def make_report(name, queued=0, running=0, age=0.0, incarnation="i"):
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


def make_request(**changes):
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


def make_router(*engines, entries=1):
    router = Router(Random(7))
    router.update_engines(list(engines), 0.0)
    router.update_live_entries(entries)
    return router


def count_choices(router, count=200, **changes):
    routes = (router.choose(make_request(**changes), 1.0) for _ in range(count))
    return Counter(route.engine for route in routes)


def test_loaded_engine_is_avoided():
    """The queue in a load report must count when engines are otherwise equal.

    The router once ignored it in this case.
    """
    router = make_router(make_engine("e1"), make_engine("e2"))
    router.record_load(make_report("e1", queued=20_000), 0.9)
    router.record_load(make_report("e2"), 0.9)
    assert count_choices(router)["e2"] > 195


def test_own_work_since_the_report_counts():
    """Attempts sent after the last load report must count as load.

    Otherwise an entry with old reports would send a complete burst to one engine.
    """
    router = make_router(make_engine("e1"), make_engine("e2"), make_engine("e3"))
    for name in ("e1", "e2", "e3"):
        router.record_load(make_report(name, age=0.5), 1.0)
    chosen = Counter()
    for number in range(30):
        route = router.choose(make_request(), 1.0)
        router.record_start(AttemptId(f"a{number}"), route.engine, make_request(), 1.0)
        chosen[route.engine] += 1
    assert max(chosen.values()) <= 12


def test_expected_first_token_counts_work_since_the_report():
    """The expected time must include attempts sent after the last load report.

    Without them, a burst made every estimate too short and nothing was refused.
    """
    router = make_router(make_engine("e1"))
    router.record_load(make_report("e1", queued=5000, age=0.5), 1.0)
    for number in range(10):
        router.record_start(
            AttemptId(f"a{number}"), EngineId("e1"), make_request(), 1.0
        )
    route = router.choose(make_request(), 1.0)
    assert route.first_token_s == pytest.approx((5000 + 11_000) / 5000 - 0.5)


def test_entries_with_the_same_report_spread():
    """Entries with the same load report must not all choose the same engine."""
    first = []
    for seed in range(40):
        router = Router(Random(seed))
        router.update_engines(
            [make_engine("e1"), make_engine("e2"), make_engine("e3")], 0.0
        )
        router.update_live_entries(8)
        for queued, name in ((0, "e1"), (50, "e2"), (100, "e3")):
            router.record_load(make_report(name, queued=queued), 1.0)
        first.append(router.choose(make_request(), 1.0).engine)
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
    """A request must not be sent to an engine without its model, version or adapter.

    Nor may it be sent to an excluded engine or to one of another service.
    """
    assert make_router(make_engine("e1")).choose(make_request(**changes), 0.0) is None


@pytest.mark.parametrize("phase", [p for p in EnginePhase if p.value != "serving"])
def test_engine_out_of_service_gets_no_work(phase):
    """An engine in a planned change must not receive new requests (invariant I7)."""
    router = make_router(make_engine("e1", phase=phase))
    assert router.choose(make_request(), 0.0) is None


def test_prefill_and_decode_engines_are_paired():
    """With prefill and decode engines, the decode engine must not run the prompt."""
    router = make_router(
        make_engine("e1", Role.PREFILL), make_engine("e2", Role.DECODE)
    )
    route = router.choose(make_request(), 0.0)
    assert (route.prefill_engine, route.engine) == ("e1", "e2")
    assert 0 < route.first_token_s < route.completion_s


@pytest.mark.parametrize("roles", ["pm", "md"])
def test_mixed_engines_pair_with_either_role(roles):
    """A mixed engine must be paired with a prefill or decode engine.

    Engines with one role were once idle when no engine had the other role.
    """
    names = {"p": Role.PREFILL, "d": Role.DECODE, "m": Role.MIXED}
    engines = [make_engine(f"e{n}", names[c]) for n, c in enumerate(roles)]
    router = make_router(*engines)
    for e in engines:
        queued = 0 if e.role is not Role.MIXED else 2_000
        router.record_load(make_report(e.name, queued=queued, running=8), 1.0)
    routes = router.routes(make_request(), 1.0)
    assert ("e0", "e1") in {(r.prefill_engine, r.engine) for r in routes}
    assert (None, "e1" if roles == "pm" else "e0") in {
        (r.prefill_engine, r.engine) for r in routes
    }


def test_decode_engine_alone_runs_complete_requests():
    """Without prefill engines, decode engines must run complete requests."""
    route = make_router(make_engine("e2", Role.DECODE)).choose(make_request(), 0.0)
    assert (route.prefill_engine, route.engine) == (None, "e2")


def test_engine_with_the_cached_prefix_is_preferred():
    """A prompt must be sent to the engine that ran its prefix before."""
    router = make_router(make_engine("e1"), make_engine("e2"))
    prefixes = (PromptPrefix("p", 900),)
    router.record_start(
        AttemptId("a"), EngineId("e2"), make_request(prefixes=prefixes), 0.0
    )
    router.record_progress(AttemptId("a"), 1, 0.5)
    router.record_end(AttemptId("a"), AttemptEnd(AttemptResult.OK), 0.6)
    assert count_choices(router, prefixes=prefixes)["e2"] > 180


def test_restart_clears_the_cache_estimate():
    """A new incarnation must clear the prefixes estimated for an engine.

    After a restart the engine's cache is empty.
    """
    router = make_router(make_engine("e1"), make_engine("e2"))
    router.record_load(make_report("e2"), 0.0)
    prefixes = (PromptPrefix("p", 900),)
    router.record_start(
        AttemptId("a"), EngineId("e2"), make_request(prefixes=prefixes), 0.0
    )
    router.record_end(AttemptId("a"), AttemptEnd(AttemptResult.OK), 0.6)
    router.record_load(make_report("e2", incarnation="j"), 0.9)
    assert count_choices(router, prefixes=prefixes)["e2"] < 150


def test_failures_eject_until_a_probe_succeeds():
    """An engine that fails requests must get none until a probe of it succeeds."""
    router = make_router(make_engine("e1"), make_engine("e2"), make_engine("e3"))
    for number in range(3):
        attempt = AttemptId(f"a{number}")
        router.record_start(attempt, EngineId("e1"), make_request(), 0.0)
        router.record_end(attempt, AttemptEnd(AttemptResult.FAILED), 0.1)
    assert "e1" not in count_choices(router)
    assert router.probe_targets(1.0) == []
    assert router.probe_targets(6.0) == ["e1"]
    router.record_probe(EngineId("e1"), False, 6.1)
    assert "e1" not in count_choices(router)
    assert router.probe_targets(20.0) == ["e1"]
    router.record_probe(EngineId("e1"), True, 20.1)
    assert "e1" in count_choices(router)


def test_in_flight_counts_by_class():
    """Counts must include all running attempts, also on engines that were removed.

    The control hosts use them to decide whether an engine may be stopped.
    """
    router = make_router(make_engine("e1"))
    batch = make_request(priority=PriorityClass.BATCH)
    router.record_start(AttemptId("a"), EngineId("e1"), make_request(), 0.0)
    router.record_start(AttemptId("b"), EngineId("e1"), batch, 0.0)
    assert router.in_flight() == {"e1": InFlight(1, 1)}
    router.update_engines([], 0.1)
    assert router.in_flight() == {"e1": InFlight(1, 1)}
    router.record_end(AttemptId("a"), AttemptEnd(AttemptResult.CANCELLED), 0.2)
    router.record_end(AttemptId("b"), AttemptEnd(AttemptResult.OK), 0.2)
    assert router.in_flight() == {}


def test_samples_are_taken_once():
    """Work must be returned by only one call of ``take_samples``.

    Work counted in two syncs would double the demand that the planner sees.
    """
    router = make_router(make_engine("e1"))
    router.record_start(AttemptId("a"), EngineId("e1"), make_request(), 0.0)
    router.record_progress(AttemptId("a"), 1, 0.5)
    router.record_progress(AttemptId("a"), 31, 1.5)
    router.record_end(AttemptId("a"), AttemptEnd(AttemptResult.OK), 1.5)
    (sample,) = router.take_samples()
    assert (sample.prefill_tokens, sample.decode_tokens) == (1000, 30)
    assert (sample.prefill_s, sample.decode_s) == (0.5, 1.0)
    assert router.take_samples() == []
