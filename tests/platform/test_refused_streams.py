"""Tests of prefilled prompts that a decode engine refuses to run."""

from tests.platform.gateway_harness import (
    STREAM,
    Engine,
    answers,
    model_engines,
    not_run,
    prefills,
    route,
    serve,
    status,
    streams,
)
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
