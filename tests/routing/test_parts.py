"""Tests of health, prefix estimate and slots."""

from random import Random

import pytest

from tests.routing.test_router import engine, report, request, router
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
ASKED = (PromptPrefix("p", 100),)


def answer(made, name, number, interval_s):
    """Run one attempt of 11 tokens with a time between tokens."""
    attempt = AttemptId(f"{name}/{number}")
    made.started(attempt, EngineId(name), request(), 0.0)
    made.progressed(attempt, 1, 1.0)
    made.progressed(attempt, 11, 1.0 + 10 * interval_s)
    made.ended(attempt, AttemptEnd(AttemptResult.OK), 9.0)


@pytest.mark.parametrize("factor, out", [(2.0, False), (8.0, True)])
def test_slow_engine_is_ejected(factor, out):
    """An engine with a failing accelerator answers, but every answer is late."""
    made = router(*(engine(f"e{n}") for n in range(4)))
    for number in range(10):
        for name in ("e1", "e2", "e3"):
            answer(made, name, number, 0.03)
        answer(made, "e0", number, 0.03 * factor)
    assert made.health.is_out("e0") is out
    assert not any(made.health.is_out(n) for n in ("e1", "e2", "e3"))


def test_long_queue_is_not_slowness():
    """A busy prefill engine was ejected because its queue counted as latency."""
    made = router(*(engine(f"e{n}") for n in range(4)))
    for number in range(10):
        for name in ("e0", "e1", "e2", "e3"):
            attempt = AttemptId(f"{name}/{number}")
            first = 60.0 if name == "e0" else 0.2
            made.started(attempt, EngineId(name), request(), 0.0)
            made.progressed(attempt, 1, first)
            made.progressed(attempt, 11, first + 0.3)
            made.ended(attempt, AttemptEnd(AttemptResult.OK), first + 0.3)
    assert not made.health.is_out("e0")


def test_single_target_is_never_ejected():
    """Ejecting the only target of a plain service turned slow answers into none."""
    health = TargetHealth(RoutingSettings())
    health.update_targets({"t1": "sheets"})
    for _ in range(20):
        health.failed("t1", 0.0)
    assert not health.is_out("t1")


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
    """A late copy of an older event must not revive an evicted prefix."""
    estimate = PrefixEstimate(RoutingSettings())
    for seq, stored in events:
        event = CacheEvent(seq, "p", 100, stored)
        estimate.record_events(CacheEvents("i", [event]), 0.0)
    assert estimate.expected_tokens(ASKED, 0.0) == pytest.approx(expected)


def test_gap_and_age_lower_the_belief():
    """A lost eviction would keep requests on an engine without their prefix."""
    estimate = PrefixEstimate(RoutingSettings(cache_half_life_s=300.0))
    first = CacheEvent(1, "p", 100, True)
    after_gap = CacheEvent(5, "q", 100, True)
    estimate.record_events(CacheEvents("i", [first, after_gap]), 0.0)
    assert estimate.expected_tokens(ASKED, 0.0) == pytest.approx(50.0)
    assert estimate.expected_tokens(ASKED, 300.0) == pytest.approx(25.0)


def test_slots_follow_the_queues():
    """With slots fixed, overload filled the engines' queues and questions were late."""
    made = router(engine("e1"), engine("e2"), entries=2)
    free = made.slots(SERVICE, 0.0)
    now = 0.0
    for _ in range(40):
        now += 0.5
        for name in ("e1", "e2"):
            made.note_load(report(name, queued=60_000), now)
        busy = made.slots(SERVICE, now)
    assert busy < free / 4
    for _ in range(60):
        now += 0.5
        for name in ("e1", "e2"):
            made.note_load(report(name), now)
        again = made.slots(SERVICE, now)
    assert again == free


def test_large_fleet_is_sampled_and_holders_are_added():
    """Sampling 12 of 400 engines would almost never find the one with the prefix."""
    made = Router(Random(3))
    made.update_engines([engine(f"e{n}") for n in range(400)], 0.0)
    made.started(AttemptId("a"), EngineId("e399"), request(prefixes=ASKED), 0.0)
    routes = made.routes(request(prefixes=ASKED), 0.1)
    assert len(routes) <= 13
    assert "e399" in {route.engine for route in routes}
