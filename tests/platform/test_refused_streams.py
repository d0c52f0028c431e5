"""Tests of prefilled prompts that a decode engine refuses to run."""

import asyncio

import pytest

from tests.platform.gateway_harness import (
    STREAM,
    Engine,
    answers,
    model_engines,
    not_run,
    prefills,
    resets,
    route,
    send,
    serve,
    start_gateway,
    status,
    streams,
)
from wigeonspan.sharing import TargetSuspended
from wigeonspan.targets import Phase

another = answers(421, b"", [])
sound = streams(5)

ONE_RETRY = 2.0
"""Retry budget of which an entry may use one retry, but not two."""


def decode_engines(first, second):
    prefill, one, two = model_engines([prefills], [first], [second])
    return prefill, one, two


def served(answer):
    return status(answer) == 200 and answer.endswith(b"0\r\n\r\n")


def test_refused_prompt_is_offered_to_another_engine_as_it_is():
    """It was prefilled again, which took two retries from the budget instead of one."""
    for refuses in (another, not_run):
        prefill, one, two = decode_engines(refuses, sound)
        # Each engine refuses or streams by its own script; the first choice is random.
        for seed in range(1, 6):
            engines = (prefill, one, two)
            answers_ = serve(route(STREAM), engines, budget=ONE_RETRY, seed=seed)
            assert all(served(answer) for answer in answers_)
        assert len(prefill.seen) == 5, "one prefill for each request"
        assert one.seen, "the engine that refuses must have been tried"


def test_engine_that_is_another_one_gets_no_further_prompts():
    """Every request was offered to it for as long as the list named it."""
    prefill, one, two = decode_engines(another, sound)
    results = serve(route(STREAM), (prefill, one, two), times=12)
    assert all(served(answer) for answer in results)
    assert len(one.seen) <= 1


def test_engine_that_refuses_sound_prompts_gets_no_further_ones():
    """The engine that had prefilled the prompt was taken for the one at fault."""
    prefill, one, two = decode_engines(not_run, sound)
    results = serve(route(STREAM), (prefill, one, two), times=12)
    assert all(served(answer) for answer in results)
    assert len(one.seen) <= 1


def test_prompt_that_is_gone_is_prefilled_again():
    """A lapsed prompt must not be offered to one engine after the other."""
    lapsed = [not_run, sound]
    prefill, one, two = (
        Engine("p", Phase.PREFILL, prefills),
        Engine("d", Phase.DECODE, *lapsed),
        Engine("d0", Phase.DECODE, *lapsed),
    )
    more = [Engine(f"d{n}", Phase.DECODE, *lapsed) for n in (1, 2)]
    (answer,) = serve(route(STREAM), [prefill, one, two, *more])
    assert status(answer) in (200, 503)
    refusals = sum(bool(engine.seen) for engine in (one, two, *more))
    assert len(prefill.seen) > 1 and refusals >= 2


def suspended_by(engines, *, times=1, seed=1):
    """Send requests and return the engines that were suspended at all entries."""

    async def run():
        context, servers = start_gateway(route(STREAM), engines, seed=seed)
        published = []
        context.link.publish = published.append
        answers_ = [await send(number, "600,20", None) for number in range(times)]
        for server in servers:
            await server.close()
        context.pool.close()
        return answers_, [
            event.target for event in published if isinstance(event, TargetSuspended)
        ]

    return asyncio.run(run())


def test_engine_is_not_blamed_when_the_next_one_breaks_off_at_once():
    """A prompt that was sent counted as taken, and the engine that had refused a lapsed
    one was suspended at all entries."""
    first, second = (Engine(n, Phase.DECODE) for n in ("d", "d0"))
    # The first send is refused and the second one is reset, whichever engine it is.
    first.script = second.script = [not_run, resets]
    engines = [Engine("p", Phase.PREFILL, prefills), first, second]
    _, suspended = suspended_by(engines)
    assert len(first.seen) + len(second.seen) >= 2
    assert suspended == []


@pytest.mark.parametrize("reason", ["Retry-After", "Server-Limit"])
def test_engine_that_gives_a_reason_for_its_refusal_is_not_suspended(reason):
    """A limit or a pause is kept to anyway; the suspension also began a pace, so that
    the engine got an eighth of its streams from all entries."""
    refuses = answers(503, b"", [("Not-Executed", "1"), (reason, "0.5")])
    prefill, one, two = decode_engines(refuses, sound)
    results, suspended = suspended_by((prefill, one, two), times=12)
    assert all(served(answer) for answer in results)
    assert one.seen, "the engine that refuses must have been tried"
    assert suspended == []


def test_engine_that_is_another_one_is_suspended_once():
    """Its second suspension, when the next engine took the prompt, lasted twice as
    long."""
    prefill, one, two = decode_engines(another, sound)
    # One request for each gateway, so that the engine is not probed in between.
    for seed in range(1, 6):
        before = len(one.seen)
        results, suspended = suspended_by((prefill, one, two), seed=seed)
        assert all(served(answer) for answer in results)
        assert suspended == ["d"] * (len(one.seen) - before)
    assert one.seen, "the engine that refuses must have been tried"
