"""Targets that say that they leave, or that they want no requests for a while."""

import asyncio

import pytest

from tests.platform.jobs import (
    CALL,
    LOAN,
    SIGNED,
    STREAM,
    answers,
    echo,
    model,
    plain,
    reads,
    route,
    send,
    serve,
    start_gateway,
    status,
    streams,
)
from wigeonspan.sharing import TargetLeaving
from wigeonspan.targets import TargetId

LEAVING = ("Server-Leaving", "1")


def leaves(number):
    async def step(fields, caller):
        await caller.send_head(200, [*SIGNED, LEAVING, echo(fields)])
        await caller.send(f"id: 1\ndata: {number}\n\n".encode())
        await caller.finish()

    return step


async def slowly(fields, caller):
    """Answer later than the other target, so that this one is the second choice."""
    await asyncio.sleep(0.03)
    await answers(200)(fields, caller)


def refuses(pause):
    return answers(503, b"", [("Not-Executed", "1"), ("Retry-After", pause)])


@pytest.mark.parametrize("code", [200, 500, 503])
@pytest.mark.parametrize("kind", [CALL, LOAN])
def test_target_that_says_that_it_leaves_gets_no_more_calls(kind, code):
    """The list named a leaving target seconds later than the target itself did."""
    headers = [*SIGNED, LEAVING] if code < 503 else [("Not-Executed", "1"), LEAVING]
    engines = plain([answers(code, headers=headers)], [slowly])
    results = serve(route(kind), engines, usage=None, times=12)
    assert len(engines[0].seen) == 1
    assert len(engines[1].seen) >= 11
    assert sum(status(answer) == 200 for answer in results) >= 11


def test_engine_that_says_that_it_leaves_gets_no_more_prompts():
    """Its word counts in the answers that callers do not see, too."""
    handle = b'{"transfer_handle":"ab"}'
    engines = model([answers(200, handle, [LEAVING])], [streams(2)])
    results = serve(route(STREAM), engines, times=3)
    assert len(engines[0].seen) == 1
    assert all(answer.count(b"data: ") == 2 for answer in results)


def test_engine_that_says_that_it_leaves_gets_no_more_streams():
    """Streams take seconds; an engine that leaves may end before a new one does."""
    engines = model([reads], [leaves(0)], [streams(1)])
    results = serve(route(STREAM), engines, times=8)
    assert len(engines[1].seen) <= 1
    assert all(answer.count(b"data: ") == 1 for answer in results)


def test_other_entries_hear_that_a_target_leaves():
    """Each entry would send it a request to learn the same."""

    async def run():
        engines = plain([answers(200, headers=[*SIGNED, LEAVING])])
        parts, servers = start_gateway(route(CALL), engines)
        told = []
        parts.link.publish = told.append
        await send(0, None, None)
        await send(1, None, None)
        for server in servers:
            await server.close()
        return [event for event in told if isinstance(event, TargetLeaving)]

    assert asyncio.run(run()) == [TargetLeaving(TargetId("t0"), 0)]


@pytest.mark.parametrize("kind", [CALL, LOAN])
def test_target_that_asks_for_a_pause_gets_no_calls_in_it(kind):
    """A target with a long queue was asked again with every request."""
    engines = plain([refuses("30")], [answers(200)])
    results = serve(route(kind), engines, usage=None, times=12)
    assert len(engines[0].seen) <= 1
    assert all(status(answer) == 200 for answer in results)


def test_target_gets_calls_again_after_its_pause():
    """A pause that never ended would take the target out for good."""
    engines = plain([refuses("0.2"), answers(200)])

    async def run():
        parts, servers = start_gateway(route(CALL), engines)
        during = [await send(number, None, None) for number in range(3)]
        await asyncio.sleep(0.25)
        after = await send(9, None, None)
        for server in servers:
            await server.close()
        return during, after

    during, after = asyncio.run(run())
    assert [status(answer) for answer in [*during, after]] == [503, 503, 503, 200]
    assert len(engines[0].seen) == 2


def test_refusal_tells_when_a_target_wants_requests_again():
    """Callers came back while every target still asked for its pause."""
    engines = plain([refuses("1.5")], [refuses("1.2")])
    answer = serve(route(CALL), engines, usage=None, times=2)[1]
    assert status(answer) == 503 and b'"ran":"no"' in answer
    after_s = float(answer.split(b"Retry-After: ")[1].split(b"\r\n")[0])
    assert 0.9 < after_s <= 1.2


def test_engines_that_ask_for_a_pause_are_no_place_for_a_prompt():
    """A prompt is read by the engine that streams while all others pause."""
    engines = model([refuses("30")], [streams(2)])
    results = serve(route(STREAM), engines, times=4)
    assert len(engines[0].seen) == 1
    assert all(answer.count(b"data: ") == 2 for answer in results)


@pytest.mark.parametrize("value", ["soon", "nan", "inf", "-5", "", "0"])
def test_pause_that_cannot_be_read_is_none(value):
    """Bytes of a faulty target must not take it out for good."""
    engines = plain([refuses(value), answers(200)])
    results = serve(route(CALL), engines, usage=None, times=2)
    assert status(results[1]) == 200
