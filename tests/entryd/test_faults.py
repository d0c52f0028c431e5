"""Tests of engine faults: each response is complete or has a correct error."""

import asyncio
import json

import pytest

from standins._text import answer_text
from standins.engine import EngineFaults, EngineSettings
from tests.entryd.harness import EntryTestbed, error_of, events_of, run, text_of

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


async def _used_engine(testbed):
    """Send a request and return its engine, which routing prefers from then on."""
    assert text_of(await testbed.complete(PROMPT, 8)) == answer_text(PROMPT, 8)
    return max(testbed.engines, key=lambda engine: engine.completions)


async def _send_until_fault(testbed, kind):
    """Send requests until the fault occurs; each response must be complete."""
    for _ in range(20):
        response = await testbed.complete(PROMPT, 8)
        assert text_of(response) == answer_text(PROMPT, 8)
        if testbed.metrics.counts[f"attempt_faults.{kind}"]:
            return True
    return False


@pytest.mark.parametrize(("kind", "faults"), FAULTS)
def test_response_is_complete_when_one_engine_fails(kind, faults):
    """Guards against a response with a gap, a repeated token or no end."""

    async def work():
        async with EntryTestbed(engines=2) as testbed:
            engine = await _used_engine(testbed)
            engine.set_faults(faults)
            fault_occurred = await _send_until_fault(testbed, kind)
            engine.set_faults(EngineFaults())
            return fault_occurred

    assert run(work)


@pytest.mark.parametrize("stop", ["dead", "stopped"])
def test_response_is_complete_when_one_engine_is_killed(stop):
    """Guards against requests that fail because their engine was killed."""
    kind = "truncated" if stop == "dead" else "unreachable"

    async def work():
        async with EntryTestbed(engines=2) as testbed:
            engine = await _used_engine(testbed)
            if stop == "dead":
                engine.dead_until = engine.now + 60
            else:
                await engine.stop()
            return await _send_until_fault(testbed, kind)

    assert run(work)


@pytest.mark.parametrize(
    ("faults", "kind", "ran"),
    [
        (EngineFaults(refuse_status=503), "no_target", "no"),
        # A silent engine may go on until the deadline.
        (EngineFaults(frozen=True), "deadline_exceeded", "unknown"),
        (EngineFaults(stop_before_end=True), "target_failed", "unknown"),
        (EngineFaults(refuse_status=400), "bad_request", "no"),
        (EngineFaults(refuse_status=500), "target_failed", "unknown"),
    ],
)
@pytest.mark.parametrize("stream", [True, False])
def test_failed_request_reports_whether_it_ran(faults, kind, ran, stream):
    """Guards against an error that reports a request as not run although it was."""

    async def work():
        async with EntryTestbed(engines=1) as testbed:
            testbed.engines[0].set_faults(faults)
            response = await testbed.complete(
                PROMPT, 8, stream=stream, X_Deadline_Ms="1500"
            )
            testbed.engines[0].set_faults(EngineFaults())
            return response

    response = run(work)
    # The status cannot change after the first keep-alive comment was sent.
    if response.code == 200:
        events = events_of(response)
        assert stream and "[DONE]" not in events
        error = json.loads(events[-1])["error"]
    else:
        error = error_of(response)
    assert (error["kind"], error["ran"]) == (kind, ran)
    assert error["retry"] == (kind != "bad_request")
    assert (error["retry_after_s"] > 0) == error["retry"]


@pytest.mark.parametrize("status", [302, 400, 404, 409, 429, 500])
def test_error_of_the_next_engine_is_not_part_of_a_stream(status):
    """The text of an error stood in the middle of a caller's stream.

    This happened at the entry of the users' platform after a stream had broken off.
    """

    async def work():
        async with EntryTestbed(engines=2) as testbed:
            engine = await _used_engine(testbed)
            engine.set_faults(EngineFaults(die_after_tokens=3, dead_s=60))
            for other in testbed.engines:
                if other is not engine:
                    other.set_faults(EngineFaults(refuse_status=status))
            return await testbed.complete(PROMPT, 8)

    response = run(work)
    *chunks, error = events_of(response)
    text = "".join(json.loads(chunk)["choices"][0]["text"] for chunk in chunks)
    assert text and answer_text(PROMPT, 8).startswith(text)
    assert json.loads(error)["error"]["kind"] == "target_failed"
    assert "injected" not in text


def test_deadline_ends_a_stream_with_an_error_event():
    """Guards against a stream that stays open after its deadline."""

    async def work():
        slow = EngineSettings(token_interval_s=0.02)
        async with EntryTestbed(engine=slow) as testbed:
            response = await testbed.complete(PROMPT, 1000, X_Deadline_Ms="400")
            while testbed.engines[0].batch.runs:
                await asyncio.sleep(0.01)
            return response

    response = run(work)
    if response.code == 200:
        error = json.loads(events_of(response)[-1])["error"]
        assert error["kind"] == "deadline_exceeded"
    else:
        assert error_of(response)["kind"] == "deadline_too_short"
