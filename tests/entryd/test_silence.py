"""Tests of engines that are silent for a while and then go on."""

import asyncio
import json
import random

import pytest

from standins._text import answer_text
from standins.engine import EngineFaults, EngineSettings
from tests.entryd.harness import EntryTestbed, events_of, run, text_of
from tests.entryd.test_connections import open_stream

PROMPT = "plate 7 is"

PAUSE = EngineFaults(freeze_after_tokens=3, freeze_s=0.6)
"""Pause of a sound engine in the middle of a stream, longer than the limit of 0.3 s."""

FROZEN = EngineFaults(freeze_after_tokens=3)

SLOW_TOKENS = EngineSettings(token_interval_s=0.02)


def _running(testbed):
    """Return the engines that work on a request now."""
    return [engine for engine in testbed.engines if engine.batch.runs]


async def _start_stream(testbed, max_tokens=8, **headers):
    """Start a stream; return its task, the engine that runs it and the other ones."""
    stream = asyncio.create_task(testbed.complete(PROMPT, max_tokens, **headers))
    while not _running(testbed):
        await asyncio.sleep(0.002)
    (engine,) = _running(testbed)
    return stream, engine, [e for e in testbed.engines if e is not engine]


async def _wait_idle(testbed):
    """Wait until no engine works and the router knows of no attempt."""
    router = testbed.daemon.entry._context.router
    while _running(testbed) or router.in_flight():
        await asyncio.sleep(0.01)


async def _obstruct(testbed, others, obstacle):
    for other in others:
        if obstacle == "refuse":
            other.set_faults(EngineFaults(refuse_status=503))
        elif obstacle == "unreachable":
            await other.stop()
        elif obstacle == "pause":
            other.set_faults(PAUSE)
    if obstacle == "budget":
        testbed.daemon.entry._context.budget._available = 0.0


@pytest.mark.parametrize(
    ("engines", "obstacle"),
    [(1, ""), (2, "refuse"), (3, "refuse"), (2, "unreachable"), (2, "pause")],
)
@pytest.mark.parametrize("stream", [True, False])
def test_sound_engine_goes_on_when_no_other_one_runs_its_request(
    engines, obstacle, stream
):
    """Guards against a response that is lost because its engine was only silent."""

    async def work():
        async with EntryTestbed(engines, engine=SLOW_TOKENS) as testbed:
            for engine in testbed.engines:
                engine.set_faults(PAUSE)
            task, _, others = await _start_stream(testbed, stream=stream)
            await _obstruct(testbed, others, obstacle)
            response = await task
            await _wait_idle(testbed)
            return response

    response = run(work)
    if stream:
        text = text_of(response)
    else:
        text = json.loads(response.body)["choices"][0]["text"]
    assert text == answer_text(PROMPT, 8)


def test_sound_engine_goes_on_when_the_retry_budget_is_used_up():
    """Guards against a response that is lost although its engine goes on later."""

    async def work():
        async with EntryTestbed(2) as testbed:
            for engine in testbed.engines:
                engine.set_faults(EngineFaults(frozen=True))
            stream = asyncio.create_task(testbed.complete(PROMPT, 8))
            await asyncio.sleep(0.1)
            await _obstruct(testbed, [], "budget")
            await asyncio.sleep(0.6)
            for engine in testbed.engines:
                engine.set_faults(EngineFaults())
            return await stream, [e.completions for e in testbed.engines]

    response, completions = run(work)
    assert text_of(response) == answer_text(PROMPT, 8)
    assert sorted(completions) == [0, 1]


@pytest.mark.parametrize(
    ("engines", "refusing"), [(1, 0), (2, 0), (3, 0), (2, 1), (3, 2)]
)
def test_engines_may_be_silent_before_the_first_token(engines, refusing):
    """Guards against a request that fails while all its engines pause."""

    async def work():
        async with EntryTestbed(engines) as testbed:
            for engine in testbed.engines:
                engine.set_faults(EngineFaults(frozen=True))
            for engine in testbed.engines[:refusing]:
                engine.set_faults(EngineFaults(refuse_status=503))
            stream = asyncio.create_task(testbed.complete(PROMPT, 8))
            await asyncio.sleep(1.6)
            for engine in testbed.engines[refusing:]:
                engine.set_faults(EngineFaults())
            response = await stream
            await _wait_idle(testbed)
            return response

    assert text_of(run(work)) == answer_text(PROMPT, 8)


@pytest.mark.parametrize("refusals", [0, 1])
def test_another_engine_continues_the_stream_of_a_silent_one(refusals):
    """Guards against waiting for an engine that stays silent."""

    async def work():
        async with EntryTestbed(2 + refusals) as testbed:
            for engine in testbed.engines:
                engine.set_faults(FROZEN)
            stream, silent, others = await _start_stream(testbed)
            for other in others:
                other.set_faults(EngineFaults())
            for other in others[:refusals]:
                other.set_faults(EngineFaults(refuse_status=503))
            started = silent.now
            response = await stream
            elapsed_s = silent.now - started
            await _wait_idle(testbed)
            return response, elapsed_s

    response, elapsed_s = run(work)
    assert text_of(response) == answer_text(PROMPT, 8)
    assert elapsed_s < 1.0


@pytest.mark.parametrize("sound", [True, False])
def test_two_engines_work_on_one_request_only_for_a_short_time(sound):
    """Guards against a silent engine that works on while its successor prefills."""

    async def work():
        async with EntryTestbed(2, engine=SLOW_TOKENS) as testbed:
            for engine in testbed.engines:
                engine.set_faults(FROZEN)
            stream, silent, others = await _start_stream(testbed, max_tokens=100)
            others[0].set_faults(EngineFaults())
            others[0].batch._prefill_rate = 400.0 / (0.1 if sound else 1.2)
            both_s, last = 0.0, silent.now
            while not stream.done():
                await asyncio.sleep(0.005)
                now = silent.now
                both_s += (now - last) * (len(_running(testbed)) == 2)
                last = now
            await _wait_idle(testbed)
            return await stream, both_s

    response, both_s = run(work)
    assert text_of(response) == answer_text(PROMPT, 100)
    assert 0.0 < both_s < 0.4


@pytest.mark.parametrize("seed", range(12))
def test_silent_engine_and_successor_may_go_on_in_the_same_moment(seed):
    """Guards against a response with lost, repeated or mixed tokens after a race."""
    rng = random.Random(seed)

    async def work():
        engine = EngineSettings(token_interval_s=rng.choice([0.0, 0.002, 0.01]))
        async with EntryTestbed(rng.choice([2, 3]), engine=engine) as testbed:
            tokens = rng.choice([4, 8, 20])
            for standin in testbed.engines:
                standin.set_faults(
                    EngineFaults(
                        freeze_after_tokens=rng.randint(1, tokens),
                        freeze_s=rng.uniform(0.27, 0.36),
                    )
                )
            responses = await asyncio.gather(
                *(testbed.complete(PROMPT, tokens) for _ in range(6))
            )
            await _wait_idle(testbed)
            return tokens, responses

    tokens, responses = run(work)
    for response in responses:
        assert text_of(response) == answer_text(PROMPT, tokens)


@pytest.mark.parametrize("seed", range(6))
def test_both_attempts_end_when_the_caller_leaves(seed):
    """Guards against engines that work on for a caller that has left."""
    wait_s = random.Random(seed).uniform(0.25, 0.65)

    async def work():
        async with EntryTestbed(2, engine=SLOW_TOKENS) as testbed:
            for engine in testbed.engines:
                engine.set_faults(FROZEN)
                engine.batch._prefill_rate = 1_000.0
            connection = await open_stream(testbed, 1000)
            while not _running(testbed):
                await asyncio.sleep(0.002)
            await asyncio.sleep(wait_s)
            connection.close()
            await _wait_idle(testbed)
            return len(testbed.daemon.entry._relays)

    assert run(work) == 0


@pytest.mark.parametrize("seed", range(4))
def test_stopping_entry_completes_the_response_of_a_silent_engine(seed):
    """Guards against a stop that ends a request while a successor begins."""
    wait_s = random.Random(seed).uniform(0.25, 0.45)

    async def work():
        async with EntryTestbed(2, engine=SLOW_TOKENS) as testbed:
            for engine in testbed.engines:
                engine.set_faults(FROZEN)
            stream, _, others = await _start_stream(testbed, max_tokens=20)
            others[0].set_faults(EngineFaults())
            await asyncio.sleep(wait_s)
            testbed.daemon.entry.start_drain()
            testbed.daemon.entry.start_drain()
            await testbed.daemon.entry.wait_drained()
            return await stream

    assert text_of(run(work)) == answer_text(PROMPT, 20)


def test_silence_is_no_failure_of_the_engine():
    """Guards against ejecting a sound engine with backoff after it was silent."""

    async def work():
        async with EntryTestbed(1, engine=SLOW_TOKENS) as testbed:
            testbed.engines[0].set_faults(PAUSE)
            responses = [await testbed.complete(PROMPT, 8) for _ in range(4)]
            health = testbed.daemon.entry._context.router.health
            (state,) = health._states.values()
            return responses, (state.failures, state.silences, state.ejections)

    responses, counts = run(work)
    assert counts == (0, 0, 0)
    assert all(text_of(r) == answer_text(PROMPT, 8) for r in responses)


def test_deadline_ends_the_wait_for_a_silent_engine():
    """Guards against a request that stays open, or is reported as not run."""

    async def work():
        async with EntryTestbed(1) as testbed:
            testbed.engines[0].set_faults(FROZEN)
            started = testbed.engines[0].now
            response = await testbed.complete(PROMPT, 8, X_Deadline_Ms="900")
            await _wait_idle(testbed)
            return response, testbed.engines[0].now - started

    response, elapsed_s = run(work)
    error = json.loads(events_of(response)[-1])["error"]
    assert (error["kind"], error["ran"]) == ("deadline_exceeded", "unknown")
    assert elapsed_s < 1.3
