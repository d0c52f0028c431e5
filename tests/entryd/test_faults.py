"""Fault table of completions: each answer is whole or its error is true."""

import asyncio
import json

import pytest

from standins._text import answer_text
from standins.engine import EngineFaults, EngineSettings
from tests.entryd.harness import World, error_of, events_of, run, text_of

PROMPT = "plate 7 is"

FAULTS = [
    ("refused", EngineFaults(refuse_status=503)),
    ("refused", EngineFaults(refuse_status=409)),
    ("server_error", EngineFaults(refuse_status=500)),
    ("truncated", EngineFaults(die_after_tokens=1)),
    ("truncated", EngineFaults(die_after_tokens=5, dead_s=60)),
    ("truncated", EngineFaults(die_after_tokens=8)),
    ("truncated", EngineFaults(stop_before_end=True)),
    ("count", EngineFaults(wrong_count=1)),
    ("count", EngineFaults(wrong_count=-1)),
    ("position", EngineFaults(skip_position=0)),
    ("position", EngineFaults(skip_position=4)),
    ("position", EngineFaults(repeat_position=4)),
    ("position", EngineFaults(cross_position=4)),
    ("position", EngineFaults(skip_position=7)),
    ("garbage", EngineFaults(garbage_position=4)),
    ("silent", EngineFaults(freeze_after_tokens=3)),
    ("silent", EngineFaults(frozen=True)),
]


async def _used_engine(world):
    """Return the engine that answered a request; routing prefers it from then on."""
    assert text_of(await world.complete(PROMPT, 8)) == answer_text(PROMPT, 8)
    return max(world.engines, key=lambda engine: engine.completions)


async def _until_fault(world, kind):
    """Send requests until one has met the fault; each must be whole."""
    for _ in range(20):
        response = await world.complete(PROMPT, 8)
        assert text_of(response) == answer_text(PROMPT, 8)
        if world.metrics.counts[f"attempt_faults.{kind}"]:
            return True
    return False


@pytest.mark.parametrize(("kind", "faults"), FAULTS)
def test_answer_is_whole_when_one_engine_fails(kind, faults):
    """A caller received an answer with a gap, a repeated token or no end."""

    async def work():
        async with World(engines=2) as world:
            engine = await _used_engine(world)
            engine.set_faults(faults)
            met = await _until_fault(world, kind)
            engine.set_faults(EngineFaults())
            return met

    assert run(work)


@pytest.mark.parametrize("stop", ["dead", "stopped"])
def test_answer_is_whole_when_one_engine_is_gone(stop):
    """An engine that was killed before it answered failed its requests."""
    kind = "truncated" if stop == "dead" else "unreachable"

    async def work():
        async with World(engines=2) as world:
            engine = await _used_engine(world)
            if stop == "dead":
                engine.dead_until = engine.now + 60
            else:
                await engine.stop()
            return await _until_fault(world, kind)

    assert run(work)


@pytest.mark.parametrize(
    ("faults", "kind", "ran"),
    [
        (EngineFaults(refuse_status=503), "no_target", "no"),
        (EngineFaults(frozen=True), "target_failed", "unknown"),
        (EngineFaults(stop_before_end=True), "target_failed", "unknown"),
        (EngineFaults(refuse_status=400), "bad_request", "no"),
        (EngineFaults(refuse_status=500), "target_failed", "unknown"),
    ],
)
@pytest.mark.parametrize("stream", [True, False])
def test_given_up_request_says_truly_whether_it_ran(faults, kind, ran, stream):
    """A request that an engine had run was reported as not run."""

    async def work():
        async with World(engines=1) as world:
            world.engines[0].set_faults(faults)
            response = await world.complete(PROMPT, 8, stream=stream)
            world.engines[0].set_faults(EngineFaults())
            return response

    response = run(work)
    # A stream that has sent a keep-alive cannot change its status any more.
    if response.code == 200:
        events = events_of(response)
        assert stream and "[DONE]" not in events
        error = json.loads(events[-1])["error"]
    else:
        error = error_of(response)
    assert (error["kind"], error["ran"]) == (kind, ran)
    assert error["retry"] == (kind != "bad_request")
    assert (error["retry_after_s"] > 0) == error["retry"]


def test_deadline_ends_a_stream_with_an_error_event():
    """A stream whose deadline passed was held open."""

    async def work():
        slow = EngineSettings(token_interval_s=0.02)
        async with World(engine=slow) as world:
            response = await world.complete(PROMPT, 1000, X_Deadline_Ms="400")
            while world.engines[0].batch.runs:
                await asyncio.sleep(0.01)
            return response

    response = run(work)
    if response.code == 200:
        error = json.loads(events_of(response)[-1])["error"]
        assert error["kind"] == "deadline_exceeded"
    else:
        assert error_of(response)["kind"] == "deadline_too_short"
