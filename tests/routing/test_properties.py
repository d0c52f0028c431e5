"""Property-based tests of the router under random events."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.routing.test_router import make_engine, make_report, make_request
from wigeonspan.catalog import EnginePhase, PriorityClass, Role
from wigeonspan.common import AttemptId, EngineId
from wigeonspan.engines import CacheEvent, CacheEvents
from wigeonspan.routing import (
    AttemptEnd,
    AttemptResult,
    PromptPrefix,
    Router,
    RoutingSettings,
)
from wigeonspan.routing._prefixes import PrefixEstimate

NAMES = tuple(f"e{number}" for number in range(6))
INDEX = st.integers(0, 40)
STEP = st.one_of(
    st.tuples(st.just("start"), st.sampled_from(list(PriorityClass))),
    st.tuples(st.just("token"), INDEX),
    st.tuples(st.just("end"), INDEX, st.sampled_from(list(AttemptResult))),
    st.tuples(st.just("report"), st.sampled_from(NAMES), st.integers(0, 30_000)),
    st.tuples(st.just("phase"), st.sampled_from(NAMES), st.booleans()),
    st.tuples(st.just("probe"), st.booleans()),
)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.lists(STEP, max_size=120), st.text("pdm", min_size=6, max_size=6))
def test_counts_match_and_chosen_engines_are_usable(steps, letters):
    """Counts must match the running attempts, and chosen engines must be usable.

    A request may only be left without a route if all serving engines are ejected.
    """
    roles = {"p": Role.PREFILL, "d": Role.DECODE, "m": Role.MIXED}
    engines = {n: make_engine(n, roles[c]) for n, c in zip(NAMES, letters, strict=True)}
    router = Router(Random(1))
    router.update_engines(list(engines.values()), 0.0)
    router.update_live_entries(4)
    running, ended, now = {}, 0, 0.0
    for step in steps:
        now += 0.05
        if step[0] == "start":
            request = make_request(priority=step[1])
            route = router.choose(request, now)
            serving = [e for e in engines.values() if e.phase is EnginePhase.SERVING]
            if route is None:
                assert all(router.health.is_ejected(e.name) for e in serving)
                continue
            for name in {route.engine, route.prefill_engine or route.engine}:
                assert engines[name].phase is EnginePhase.SERVING
                assert not router.health.is_ejected(name)
            assert 0 <= route.first_token_s <= route.completion_s
            attempt = AttemptId(f"a{len(running) + ended}")
            router.record_start(attempt, route.engine, request, now)
            running[attempt] = route.engine
        elif step[0] == "token" and running:
            router.record_progress(list(running)[step[1] % len(running)], 5, now)
        elif step[0] == "end" and running:
            attempt = list(running)[step[1] % len(running)]
            del running[attempt]
            ended += 1
            router.record_end(attempt, AttemptEnd(step[2]), now)
        elif step[0] == "report":
            router.record_load(make_report(step[1], queued=step[2], running=16), now)
        elif step[0] == "phase":
            phase = EnginePhase.SERVING if step[2] else EnginePhase.CLOSING
            engines[step[1]] = make_engine(step[1], engines[step[1]].role, phase=phase)
            router.update_engines(list(engines.values()), now)
        elif step[0] == "probe":
            for name in router.probe_targets(now):
                router.record_probe(name, step[1], now)
        counts = {n: c.urgent + c.batch for n, c in router.in_flight().items()}
        assert counts == {n: list(running.values()).count(n) for n in running.values()}
    for attempt in list(running):
        router.record_end(attempt, AttemptEnd(AttemptResult.OK), now)
    for load in router._loads.values():
        assert abs(load.waiting_tokens) < 1e-6
        assert (
            load._waiting_requests
            == load._waiting_prefilled
            == load._starts_since_report
            == 0
        )
    assert not router._attempts


@settings(derandomize=True, deadline=None, max_examples=100)
@given(
    st.lists(st.tuples(st.sampled_from(NAMES), st.booleans()), max_size=80),
    st.sampled_from([0.1, 0.34, 0.5]),
)
def test_at_most_a_share_is_ejected(answers, share):
    """At most ``max_ejected_share`` of the engines may be ejected at the same time.

    A fault of the entry itself once ejected every engine of a service.
    """
    router = Router(Random(1), RoutingSettings(max_ejected_share=share))
    router.update_engines([make_engine(n) for n in NAMES], 0.0)
    for number, (name, ok) in enumerate(answers):
        attempt = AttemptId(str(number))
        router.record_start(attempt, EngineId(name), make_request(), 0.0)
        result = AttemptResult.OK if ok else AttemptResult.FAILED
        router.record_end(attempt, AttemptEnd(result), 0.1)
    assert sum(router.health.is_ejected(n) for n in NAMES) <= share * len(NAMES)


EVENT = st.tuples(
    st.integers(1, 60), st.integers(0, 20), st.booleans(), st.sampled_from("ab")
)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.lists(EVENT, max_size=60), st.integers(1, 10))
def test_prefix_estimate_is_bounded_and_never_exceeds_the_prefix(events, capacity):
    """The estimate must keep its bounds if events are late, repeated or lost.

    The number of prefixes stays limited, and the expected number of cached tokens never
    exceeds the length of the prefix.
    """
    estimate = PrefixEstimate(RoutingSettings(cache_prefixes=capacity))
    incarnation = None
    for number, (seq, prefix, stored, process) in enumerate(events):
        event = CacheEvent(seq, str(prefix), 100, stored)
        estimate.record_events(CacheEvents(process, [event]), float(number))
        if process != incarnation:
            assert len(estimate) <= 1
        incarnation = process
        assert len(estimate) <= capacity
        prefixes = (PromptPrefix(str(prefix), 100),)
        assert 0.0 <= estimate.expected_tokens(prefixes, number + 1.0) <= 100.0
