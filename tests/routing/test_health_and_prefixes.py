"""Tests of target health, prefix estimates, slots and engine sampling."""

from random import Random

import pytest

from tests.routing.test_router import (
    make_engine,
    make_report,
    make_request,
    make_router,
)
from wigeonspan.common import AttemptId, EngineId
from wigeonspan.engines import CacheEvent, CacheEvents
from wigeonspan.routing import (
    AttemptEnd,
    AttemptResult,
    PromptPrefix,
    Router,
    RoutingSettings,
    TargetHealth,
)
from wigeonspan.routing._prefixes import PrefixEstimate

SERVICE = "s"
PREFIXES = (PromptPrefix("p", 100),)


def run_attempt(router, name, number, interval_s):
    """Run one attempt of 11 tokens with the given seconds between tokens."""
    attempt = AttemptId(f"{name}/{number}")
    router.record_start(attempt, EngineId(name), make_request(), 0.0)
    router.record_progress(attempt, 1, 1.0)
    router.record_progress(attempt, 11, 1.0 + 10 * interval_s)
    router.record_end(attempt, AttemptEnd(AttemptResult.OK), 9.0)


@pytest.mark.parametrize("factor, out", [(2.0, False), (8.0, True)])
def test_slow_engine_is_ejected(factor, out):
    """An engine whose responses are all slow must be ejected.

    An engine with a failing accelerator still answers, but every answer is late.
    """
    router = make_router(*(make_engine(f"e{n}") for n in range(4)))
    for number in range(10):
        for name in ("e1", "e2", "e3"):
            run_attempt(router, name, number, 0.03)
        run_attempt(router, "e0", number, 0.03 * factor)
    assert router.health.is_ejected("e0") is out
    assert not any(router.health.is_ejected(n) for n in ("e1", "e2", "e3"))


def test_long_queue_is_not_slowness():
    """The wait in an engine's queue must not count as latency.

    A loaded prefill engine was once ejected because of its queue.
    """
    router = make_router(*(make_engine(f"e{n}") for n in range(4)))
    for number in range(10):
        for name in ("e0", "e1", "e2", "e3"):
            attempt = AttemptId(f"{name}/{number}")
            first = 60.0 if name == "e0" else 0.2
            router.record_start(attempt, EngineId(name), make_request(), 0.0)
            router.record_progress(attempt, 1, first)
            router.record_progress(attempt, 11, first + 0.3)
            router.record_end(attempt, AttemptEnd(AttemptResult.OK), first + 0.3)
    assert not router.health.is_ejected("e0")


def test_single_target_is_never_ejected():
    """The only target of a service must not be ejected.

    When the only target of a plain service was slow and therefore ejected, callers got
    no responses at all.
    """
    health = TargetHealth(RoutingSettings())
    health.update_targets({"t1": "sheets"})
    for _ in range(20):
        health.record_failure("t1", 0.0)
    assert not health.is_ejected("t1")


@pytest.mark.parametrize(
    "events, expected",
    [
        ([(1, True)], 100.0),
        ([(1, True), (2, False)], 0.0),
        ([(2, False), (1, True)], 0.0),
        ([(1, True), (1, True)], 100.0),
    ],
)
def test_cache_events_apply_in_order(events, expected):
    """A late copy of an older event must not restore an evicted prefix."""
    estimate = PrefixEstimate(RoutingSettings())
    for seq, stored in events:
        event = CacheEvent(seq, "p", 100, stored)
        estimate.record_events(CacheEvents("i", [event]), 0.0)
    assert estimate.expected_tokens(PREFIXES, 0.0) == pytest.approx(expected)


def test_gap_and_age_lower_the_cache_estimate():
    """Gaps between events and age must lower the expected number of cached tokens.

    Otherwise a lost eviction event would keep attracting requests to an engine that
    no longer has their prefix.
    """
    estimate = PrefixEstimate(RoutingSettings(cache_half_life_s=300.0))
    first = CacheEvent(1, "p", 100, True)
    after_gap = CacheEvent(5, "q", 100, True)
    estimate.record_events(CacheEvents("i", [first, after_gap]), 0.0)
    assert estimate.expected_tokens(PREFIXES, 0.0) == pytest.approx(50.0)
    assert estimate.expected_tokens(PREFIXES, 300.0) == pytest.approx(25.0)


def test_slots_follow_the_queues():
    """The number of slots must fall under overload and recover afterwards.

    With a fixed number, overload filled the engines' queues and urgent requests were
    late.
    """
    router = make_router(make_engine("e1"), make_engine("e2"), entries=2)
    initial = router.slots(SERVICE, 0.0)
    now = 0.0
    for _ in range(40):
        now += 0.5
        for name in ("e1", "e2"):
            router.record_load(make_report(name, queued=60_000), now)
        loaded = router.slots(SERVICE, now)
    assert loaded < initial / 4
    for _ in range(60):
        now += 0.5
        for name in ("e1", "e2"):
            router.record_load(make_report(name), now)
        recovered = router.slots(SERVICE, now)
    assert recovered == initial


def test_sample_includes_engine_that_ran_the_prefix():
    """The candidates in a large fleet must include an engine that ran the prefix.

    A random sample of 12 of 400 engines would almost never contain it.
    """
    router = Router(Random(3))
    router.update_engines([make_engine(f"e{n}") for n in range(400)], 0.0)
    router.record_start(
        AttemptId("a"), EngineId("e399"), make_request(prefixes=PREFIXES), 0.0
    )
    routes = router.routes(make_request(prefixes=PREFIXES), 0.1)
    assert len(routes) <= 13
    assert "e399" in {route.engine for route in routes}


def make_health(targets=4):
    """Return the health of some targets of one group."""
    health = TargetHealth(RoutingSettings())
    health.update_targets({f"t{n}": "sheets" for n in range(targets)})
    return health


@pytest.mark.parametrize("end", ["activity", "success", "probe"])
def test_silences_only_keep_new_work_away(end):
    """Silences of a sound target once counted as failures of it."""
    health = make_health()
    limit = RoutingSettings().failures_to_eject
    for _ in range(limit - 1):
        health.record_silence("t0", 0.0)
    assert not health.is_ejected("t0")
    health.record_silence("t0", 0.0)
    assert health.is_ejected("t0")
    if end == "activity":
        health.record_activity("t0")
    elif end == "success":
        health.record_success("t0", 0.1, 1.0)
    else:
        assert health.probe_targets(RoutingSettings().eject_s) == ["t0"]
        health.record_probe("t0", True, RoutingSettings().eject_s)
    assert not health.is_ejected("t0")
    for _ in range(limit - 1):
        health.record_failure("t0", 9.0)
        assert not health.is_ejected("t0")
    health.record_failure("t0", 9.0)
    assert health.is_ejected("t0")
    # The first ejection after failures has not been doubled by the silence.
    assert not health.probe_targets(8.9 + RoutingSettings().eject_s)
    assert health.probe_targets(9.0 + RoutingSettings().eject_s) == ["t0"]


def test_activity_does_not_end_an_ejection_after_failures():
    """A late token of a failing engine must not bring it new work."""
    health = make_health()
    for _ in range(RoutingSettings().failures_to_eject):
        health.record_failure("t1", 0.0)
        health.record_silence("t0", 0.0)
    health.record_activity("t1")
    assert health.is_ejected("t1")
    # At most a third of the targets may be without new work.
    assert not health.is_ejected("t0")


def test_silent_target_is_ejected_again_after_its_probe():
    """A target that answers probes but no request must not get requests for long."""
    health = make_health()
    settings = RoutingSettings()
    for _ in range(settings.failures_to_eject):
        health.record_silence("t0", 0.0)
    health.probe_targets(settings.eject_s)
    health.record_probe("t0", True, settings.eject_s)
    health.record_silence("t0", settings.eject_s)
    assert health.is_ejected("t0")
