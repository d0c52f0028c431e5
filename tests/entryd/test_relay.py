"""Tests of the retry rules, with an engine client that follows a script."""

import asyncio
import random

import pytest
from msgspec import structs

from tests.entryd.harness import CountingMetrics
from wigeonspan.catalog import Engine, EnginePhase, ModelService, PriorityClass
from wigeonspan.common import SystemClock, WigeonspanError
from wigeonspan.entryd._budget import MAX_AVAILABLE_RETRIES, RetryBudget
from wigeonspan.entryd._completion_job import CompletionJob, RelayContext
from wigeonspan.entryd._limits import TargetLimits
from wigeonspan.entryd._relay import MAX_ATTEMPTS_WITHOUT_PROGRESS, CompletionRelay
from wigeonspan.entryd._requests import CompletionBody
from wigeonspan.routing import Router
from wigeonspan.streams import StreamFault, StreamLimits, TokenFrame

RESPONSE_TOKENS = ["a ", "b ", "c "]


class ScriptedEngines:
    """Engine client whose attempts deliver some tokens and then end with a fault."""

    def __init__(self, script):
        self.script = list(script)
        self.addresses = []

    def stream(self, address, fields, extension, listener, fresh=False):
        self.addresses.append(address)
        count, fault = (
            self.script.pop(0) if self.script else (len(RESPONSE_TOKENS), None)
        )
        loop = asyncio.get_running_loop()
        loop.call_soon(self._respond, extension, listener, count, fault)
        return ScriptedStream()

    def _respond(self, extension, listener, count, fault):
        attempt, start = extension.attempt, extension.resume_position
        for position in range(start, min(start + count, len(RESPONSE_TOKENS))):
            listener.on_frame(
                TokenFrame(attempt, position, RESPONSE_TOKENS[position], size=1)
            )
        if fault is not None:
            listener.on_ended(fault, 0, "script")
            return
        end = TokenFrame(
            attempt, len(RESPONSE_TOKENS), "", "stop", len(RESPONSE_TOKENS)
        )
        listener.on_frame(end)
        listener.on_end_marker()

    def cancel_later(self, address, attempt):
        pass

    def avoid_idle_connections(self, address):
        pass


class ScriptedStream:
    """Engine stream without a connection."""

    reused = False
    connected = True

    def close(self):
        pass

    def release(self):
        pass


def make_relay(script, engines=3, available=None, lease=lambda: True, deadline_s=30.0):
    """Return a relay, its engines and its budget."""
    clock = SystemClock()
    router = Router(random.Random(1))
    router.update_engines(
        [
            Engine(
                name=f"e{i}",
                address=f"e{i}",
                domain="szeged",
                service="note",
                phase=EnginePhase.SERVING,
                model="m",
                model_version="1",
            )
            for i in range(engines)
        ],
        clock.now(),
    )
    client = ScriptedEngines(script)
    budget = RetryBudget(0.0)
    if available is not None:
        budget._available = float(available)
    context = RelayContext(
        router=router,
        engines=client,
        clock=clock,
        budget=budget,
        limits=StreamLimits(),
        has_lease=lease,
        accepts_new_work=lambda engine: True,
        target_limits=TargetLimits(clock, CountingMetrics()),
        limited_engines=dict,
        domain="szeged",
        attempt_prefix="test",
        metrics=CountingMetrics(),
    )
    now = clock.now()
    job = CompletionJob(
        request="r",
        admission_id="r",
        tenant="default",
        priority=PriorityClass.DESK,
        service=ModelService("note", "m", "1"),
        body=CompletionBody("note", "p", max_tokens=3),
        arrived=now,
        deadline=now + deadline_s,
        prompt_tokens=1,
        prefixes=(),
        expected_output_tokens=3,
    )
    return CompletionRelay(context, job), client, budget


def run_relay(*args, **options):
    """Run a relay; return its text or error kind, and the engines it used."""

    async def work():
        relay, client, budget = make_relay(*args, **options)
        try:
            await relay.run()
        except WigeonspanError as error:
            return error.kind.value, client.addresses, budget
        return relay.tracker.text, client.addresses, budget

    return asyncio.run(asyncio.wait_for(work(), 10))


TRUNCATED, SILENT, REFUSED = (
    StreamFault.TRUNCATED,
    StreamFault.SILENT,
    StreamFault.REFUSED,
)
UNREACHABLE = StreamFault.UNREACHABLE

COMPLETE_TEXT = "".join(RESPONSE_TOKENS)


@pytest.mark.parametrize(
    ("script", "engines", "result", "attempts"),
    [
        ([], 1, COMPLETE_TEXT, 1),
        ([(1, TRUNCATED)], 2, COMPLETE_TEXT, 2),
        ([(0, TRUNCATED), (0, TRUNCATED)], 3, COMPLETE_TEXT, 3),
        ([(0, TRUNCATED), (0, TRUNCATED), (0, TRUNCATED)], 3, "target_failed", 3),
        ([(0, UNREACHABLE), (0, UNREACHABLE), (0, UNREACHABLE)], 3, "no_target", 3),
        (
            [(0, REFUSED), (0, UNREACHABLE), (0, REFUSED), (0, UNREACHABLE)],
            2,
            "no_target",
            4,
        ),
        # The last fault is a different one, so the first engine is tried again.
        ([(0, TRUNCATED), (0, SILENT)], 2, COMPLETE_TEXT, 3),
        ([(0, TRUNCATED), (0, SILENT), (0, SILENT)], 2, "target_failed", 3),
        ([(0, REFUSED)], 1, "no_target", 1),
        ([(1, TRUNCATED), (1, TRUNCATED)], 2, "target_failed", 2),
        ([(1, TRUNCATED), (1, SILENT), (0, TRUNCATED)], 3, COMPLETE_TEXT, 4),
    ],
)
def test_no_engine_is_tried_again_after_the_same_fault(
    script, engines, result, attempts
):
    """Guards against retries on an engine that has failed with the same fault."""
    text, used, _ = run_relay(script, engines)
    assert (text, len(used)) == (result, attempts)


def test_attempts_without_progress_are_bounded():
    """Guards against a request that is tried on every engine of the fleet."""
    script = [(0, TRUNCATED)] * 20
    result, used, _ = run_relay(script, engines=20)
    assert (result, len(used)) == ("target_failed", MAX_ATTEMPTS_WITHOUT_PROGRESS)


@pytest.mark.parametrize(
    ("script", "available", "result", "remaining"),
    [
        ([(0, REFUSED)], 0, "no_target", 0),
        ([(0, REFUSED)], 1, COMPLETE_TEXT, 0),
        ([(0, TRUNCATED), (0, TRUNCATED)], 1, "target_failed", 0),
        # An attempt that delivered new tokens is not charged to the budget.
        ([(1, TRUNCATED), (1, TRUNCATED)], 0, COMPLETE_TEXT, 0),
    ],
)
def test_retries_are_taken_from_the_budget(script, available, result, remaining):
    """Guards against several attempts for each request of a failing service."""
    text, _, budget = run_relay(script, available=available)
    assert (text, budget.available) == (result, remaining)


def test_first_attempts_add_to_the_budget():
    """Guards against an unlimited number of accumulated retries."""
    budget = RetryBudget(0.5)
    while budget.try_spend():
        pass
    budget.record_first_attempt()
    assert not budget.try_spend()
    budget.record_first_attempt()
    assert budget.try_spend() and not budget.try_spend()
    for _ in range(1000):
        budget.record_first_attempt()
    assert budget.available == MAX_AVAILABLE_RETRIES


def test_lease_is_checked_before_each_attempt():
    """Guards against an entry that retries a request after its lease has ended."""
    leases = iter([True, True, False, False])
    result, used, _ = run_relay([(0, TRUNCATED)], lease=lambda: next(leases))
    assert (result, len(used)) == ("lease_expired", 1)


def test_retry_that_cannot_end_in_time_is_not_made():
    """Guards against a request that is held until its deadline but cannot succeed."""

    async def work():
        relay, client, _ = make_relay([(0, TRUNCATED)], deadline_s=0.5)
        router = relay._context.router
        choose = router.choose
        router.choose = lambda request, now: (
            structs.replace(route, first_token_s=9.0 * bool(request.excluded))
            if (route := choose(request, now))
            else None
        )
        with pytest.raises(WigeonspanError) as caught:
            await relay.run()
        return caught.value, len(client.addresses)

    error, attempts = asyncio.run(work())
    assert (error.kind.value, attempts) == ("deadline_exceeded", 1)
    assert error.body.error.retry_after_s > 0
