"""Tests of plain targets that are silent for a while and then respond."""

import asyncio
import random

import pytest

from standins.plain import PlainFaults
from tests.entryd.harness import EntryTestbed, error_of, run

PATH = "/v1/services/dispatch/sheets/a"


async def _call_slow_target(testbed, slow_s, other, **headers):
    """Send a call to a slow target; the other ones get their faults afterwards."""
    for target in testbed.plain:
        target.set_faults(PlainFaults(slow_s=slow_s))
    call = asyncio.create_task(testbed.fetch(PATH, **headers))
    while not any(target.arrivals for target in testbed.plain):
        await asyncio.sleep(0.002)
    slow = next(target for target in testbed.plain if target.arrivals)
    for target in testbed.plain:
        if target is not slow:
            target.set_faults(other)
    return call, slow


def _state(testbed, target):
    health = testbed.daemon.entry.plain._health
    return health._states["dispatch", target.address]


@pytest.mark.parametrize("targets", [1, 2, 3])
@pytest.mark.parametrize("other", ["refuses", "closes", "is slow", "is unreachable"])
def test_slow_target_responds_when_the_others_cannot(targets, other):
    """Guards against a call that fails although its first target responds in time."""
    faults = {
        "refuses": PlainFaults(status=503),
        "closes": PlainFaults(close_before=True),
        "is slow": PlainFaults(slow_s=5.0),
        "is unreachable": PlainFaults(),
    }[other]

    async def work():
        async with EntryTestbed(plain=targets) as testbed:
            call, slow = await _call_slow_target(
                testbed, 1.1, faults, X_Deadline_Ms="2000"
            )
            if other == "is unreachable":
                for target in testbed.plain:
                    if target is not slow:
                        await target.stop()
            response = await call
            return response.code, _state(testbed, slow).failures

    assert run(work) == (200, 0)


def test_other_target_responds_while_the_first_one_is_silent():
    """Guards against waiting for a silent target until the deadline."""

    async def work():
        async with EntryTestbed(plain=2) as testbed:
            call, slow = await _call_slow_target(
                testbed, 10.0, PlainFaults(), X_Deadline_Ms="1000"
            )
            response = await call
            arrivals = [target.arrivals for target in testbed.plain]
            return response.code, arrivals, _state(testbed, slow).failures

    assert run(work) == (200, [1, 1], 0)


@pytest.mark.parametrize("available", [0.0, 1.0])
def test_second_send_is_taken_from_the_budget(available):
    """Guards against twice the load on a service that has become slow."""

    async def work():
        async with EntryTestbed(plain=3) as testbed:
            budget = testbed.daemon.entry.plain._budget
            budget.record_first_attempt = lambda: None
            budget._available = available
            call, _ = await _call_slow_target(
                testbed, 0.8, PlainFaults(slow_s=0.9), X_Deadline_Ms="1000"
            )
            response = await call
            return response.code, sum(target.arrivals for target in testbed.plain)

    assert run(work) == (200, 1 + available)


def test_call_without_a_response_may_have_run():
    """Guards against a 503 for a call that a silent target may have executed."""

    async def work():
        async with EntryTestbed(plain=2) as testbed:
            call, _ = await _call_slow_target(
                testbed, 5.0, PlainFaults(status=503), X_Deadline_Ms="600"
            )
            return await call

    error = error_of(run(work))
    assert (error["kind"], error["ran"]) == ("target_failed", "unknown")


def test_call_that_must_not_be_repeated_is_sent_once():
    """Guards against a second execution of a call whose target is slow."""

    async def work():
        async with EntryTestbed(plain=2) as testbed:
            for target in testbed.plain:
                target.set_faults(PlainFaults(slow_s=0.8))
            response = await testbed.fetch(
                "/v1/services/dispatch/loans",
                {"tool": "drill"},
                X_Deadline_Ms="1000",
                Idempotency_Key="k1",
            )
            return response.code, sum(target.arrivals for target in testbed.plain)

    assert run(work) == (201, 1)


@pytest.mark.parametrize("seed", range(8))
def test_both_targets_may_respond_in_the_same_moment(seed):
    """Guards against a lost response when two sends end together."""
    rng = random.Random(seed)

    async def work():
        async with EntryTestbed(plain=2) as testbed:
            slow_s = 0.4 + rng.uniform(0.0, 0.02)
            call, _ = await _call_slow_target(
                testbed,
                slow_s,
                PlainFaults(slow_s=max(0.0, slow_s - 0.3 + rng.uniform(-0.02, 0.02))),
                X_Deadline_Ms="600",
            )
            response = await call
            testbed.plain[0].set_faults(PlainFaults())
            testbed.plain[1].set_faults(PlainFaults())
            again = await testbed.fetch(PATH)
            return response.code, again.code

    assert run(work) == (200, 200)
