"""Tests of sound targets that fall silent for a second and go on."""

import asyncio

import pytest

from tests.platform.gateway_harness import (
    IDEMPOTENT,
    SIGNED,
    STREAM,
    answers,
    echo,
    hangs,
    model_engines,
    not_run,
    plain_engines,
    prefills,
    route,
    serve,
    status,
    streams,
)
from tests.platform.test_stalls import slow_stream

SILENCE_S = 1.0
EVENTS = 6
# The fourth event comes after the silence.
goes_silent = slow_stream([0.005] * 3 + [SILENCE_S] + [0.005] * 2)
# The head and the first event come after the silence.
begins_silent = slow_stream([SILENCE_S] + [0.005] * 5)


def late_answer(status, body, headers=SIGNED, *, after_s=SILENCE_S):
    """Answer after a silence."""
    step = answers(status, body, headers)

    async def answer(fields, caller):
        await asyncio.sleep(after_s)
        await step(fields, caller)

    return answer


def assert_complete(answer):
    assert [answer.count(b"id: %d\n" % n) for n in range(1, EVENTS + 1)] == [1] * EVENTS
    assert answer.endswith(b"0\r\n\r\n")


CASES = {
    "no other engine": ([goes_silent], [], 50.0),
    "the others refuse": ([goes_silent], [[not_run], [not_run]], 50.0),
    "all are silent at the same event": ([goes_silent], [[goes_silent]], 50.0),
    "no retry is left": ([goes_silent], [[goes_silent]], 0.0),
    "the successor breaks off": (
        [goes_silent],
        [[streams(3, breaks=True)], [streams(3, breaks=True)]],
        50.0,
    ),
    "the first event is late": ([begins_silent], [[not_run], [not_run]], 50.0),
    "all are silent at the first event": ([begins_silent], [[begins_silent]], 50.0),
}


@pytest.mark.parametrize("case", CASES.values(), ids=CASES)
@pytest.mark.parametrize("seed", range(2))
def test_stream_of_a_silent_target_is_not_cut_off(case, seed):
    """A stream was cut off when its target was silent and no other could go on.

    The target would have gone on a tenth of a second later; its caller still waited.
    """
    first, others, budget = case
    # The engine that is chosen first must be the silent one, whichever that is.
    engines = model_engines([prefills], first, *others)
    steps = [engine.script for engine in engines[1:]]
    taken = iter(steps)

    def choose_script(engine):
        async def step(fields, caller):
            if not engine.seen[:-1]:
                engine.script = next(taken)
            await engine.script[0](fields, caller)

        return step

    for engine in engines[1:]:
        engine.script = [choose_script(engine)]
    answer = serve(route(STREAM, resumable=True), engines, budget=budget, seed=seed)[0]
    assert_complete(answer)


def test_stream_goes_on_at_a_successor_without_waiting_for_the_silent_target():
    """A silence that lasts must not keep the caller from the successor's events."""

    async def silent_for_good(fields, caller):
        await caller.send_head(200, [*SIGNED, echo(fields)])
        await caller.send(b"id: 1\ndata: 1\n\n")
        await hangs(fields, caller)

    engines = model_engines([prefills], [], [])
    engines[1].script = engines[2].script = [silent_for_good, streams(EVENTS)]
    answer = serve(route(STREAM, resumable=True), engines)[0]
    assert_complete(answer)
    # The silent target is let go once the successor has gone on.
    assert engines[1].cancelled + engines[2].cancelled == 1


def test_call_to_a_silent_target_is_answered():
    """An idempotent call was ended long before its caller's time was over."""
    late = late_answer(200, b"late")
    engines = plain_engines(*([late if n == 0 else not_run] for n in range(3)))
    results = serve(route(IDEMPOTENT, attempts=3), engines, usage=None, times=4)
    assert [status(answer) for answer in results] == [200] * 4


def test_prompt_stays_at_a_silent_engine_when_no_other_reads_it():
    """A request was refused because the only engine that reads prompts was silent."""
    late = late_answer(200, b'{"transfer_handle":"ab"}', [], after_s=1.2)
    engines = model_engines([late], [streams(EVENTS)])
    answer = serve(route(STREAM, resumable=True), engines, usage="600,20")[0]
    assert_complete(answer)


def test_silence_is_no_failure_of_the_target():
    """Targets that were silent and went on were left out like targets that fail."""
    engines = model_engines([prefills], [goes_silent])
    results = serve(
        route(STREAM, resumable=True), engines, times=6, together=True, budget=0.0
    )
    for answer in results:
        assert_complete(answer)
