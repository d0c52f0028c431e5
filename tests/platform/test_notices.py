"""Tests of targets that announce that they leave or ask for a pause."""

import asyncio

import pytest
from msgspec.structs import replace

from tests.platform.gateway_harness import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    SIGNED,
    STREAM,
    answers,
    echo,
    hangs,
    model_engines,
    plain_engines,
    prefills,
    route,
    send,
    serve,
    start_gateway,
    status,
    streams,
)
from wigeonspan.sharing import TargetLeaving, TargetLimited
from wigeonspan.targets import TargetId

LEAVING = ("Server-Leaving", "1")


def leaves(number):
    async def step(fields, caller):
        await caller.send_head(200, [*SIGNED, LEAVING, echo(fields)])
        await caller.send(f"id: 1\ndata: {number}\n\n".encode())
        await caller.finish()

    return step


async def slowly(fields, caller):
    """Answer more slowly than the other target, so that the other one is preferred."""
    await asyncio.sleep(0.03)
    await answers(200)(fields, caller)


def refuses(pause):
    return answers(503, b"", [("Not-Executed", "1"), ("Retry-After", pause)])


@pytest.mark.parametrize("code", [200, 500, 503])
@pytest.mark.parametrize("kind", [IDEMPOTENT, NON_IDEMPOTENT])
def test_target_that_says_that_it_leaves_gets_no_more_calls(kind, code):
    """The target's own announcement counts, as the list shows it only seconds later."""
    headers = [*SIGNED, LEAVING] if code < 503 else [("Not-Executed", "1"), LEAVING]
    engines = plain_engines([answers(code, headers=headers)], [slowly])
    results = serve(route(kind), engines, usage=None, times=12)
    assert len(engines[0].seen) == 1
    assert len(engines[1].seen) >= 11
    assert sum(status(answer) == 200 for answer in results) >= 11


def test_engine_that_says_that_it_leaves_gets_no_more_prompts():
    """The announcement also counts in answers to prefills, which callers do not see."""
    handle = b'{"transfer_handle":"ab"}'
    engines = model_engines([answers(200, handle, [LEAVING])], [streams(2)])
    results = serve(route(STREAM), engines, times=3)
    assert len(engines[0].seen) == 1
    assert all(answer.count(b"data: ") == 2 for answer in results)


def test_engine_that_says_that_it_leaves_gets_no_more_streams():
    """A stream takes seconds, and an engine that leaves may stop before it ends."""
    engines = model_engines([prefills], [leaves(0)], [streams(1)])
    results = serve(route(STREAM), engines, times=8)
    assert len(engines[1].seen) <= 1
    assert all(answer.count(b"data: ") == 1 for answer in results)


def test_other_entries_are_informed_that_a_target_leaves():
    """Otherwise each entry has to send the target a request to learn it."""

    async def run():
        engines = plain_engines([answers(200, headers=[*SIGNED, LEAVING])])
        context, servers = start_gateway(route(IDEMPOTENT), engines)
        published = []
        context.link.publish = published.append
        await send(0, None, None)
        await send(1, None, None)
        for server in servers:
            await server.close()
        return [event for event in published if isinstance(event, TargetLeaving)]

    assert asyncio.run(run()) == [TargetLeaving(TargetId("t0"), 0)]


@pytest.mark.parametrize("kind", [IDEMPOTENT, NON_IDEMPOTENT])
def test_target_that_asks_for_a_pause_gets_no_calls_in_it(kind):
    """Without this, every new request was sent to a target with a long queue."""
    engines = plain_engines([refuses("30")], [answers(200)])
    results = serve(route(kind), engines, usage=None, times=12)
    assert len(engines[0].seen) <= 1
    assert all(status(answer) == 200 for answer in results)


def test_target_gets_calls_again_after_its_pause():
    """A pause that never ended would exclude the target permanently."""
    engines = plain_engines([refuses("0.2"), answers(200)])

    async def run():
        context, servers = start_gateway(route(IDEMPOTENT), engines)
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
    """Without this, callers tried again while all targets were still paused."""
    engines = plain_engines([refuses("1.5")], [refuses("1.2")])
    answer = serve(route(IDEMPOTENT), engines, usage=None, times=2)[1]
    assert status(answer) == 503 and b'"ran":"no"' in answer
    after_s = float(answer.split(b"Retry-After: ")[1].split(b"\r\n")[0])
    assert 0.9 < after_s <= 1.2


def test_engine_that_asks_for_a_pause_gets_no_prompts():
    """While the prefill engine pauses, the decode engine prefills the prompts."""
    engines = model_engines([refuses("30")], [streams(2)])
    results = serve(route(STREAM), engines, times=4)
    assert len(engines[0].seen) == 1
    assert all(answer.count(b"data: ") == 2 for answer in results)


@pytest.mark.parametrize("value", ["soon", "nan", "inf", "-5", "", "0"])
def test_unreadable_pause_is_ignored(value):
    """An invalid value of Retry-After must not exclude a target permanently."""
    engines = plain_engines([refuses(value), answers(200)])
    results = serve(route(IDEMPOTENT), engines, usage=None, times=2)
    assert status(results[1]) == 200


def limited(rate, body=b"ok"):
    return answers(200, body, [*SIGNED, ("Server-Limit", rate)])


def max_requests(rate, seconds):
    """Return how many requests a target that named a limit may get in a time."""
    return 1.5 * rate * seconds + 5


@pytest.mark.parametrize("kind", [IDEMPOTENT, NON_IDEMPOTENT])
def test_target_that_names_a_limit_gets_no_more_calls(kind):
    """Nothing read the limit, and the target got twenty times as much."""
    engines = plain_engines([limited("2")], [slowly])
    results = serve(route(kind), engines, usage=None, times=40)
    assert len(engines[0].seen) <= max_requests(2.0, 4.0)
    assert all(status(answer) == 200 for answer in results)


def test_engine_that_names_a_limit_gets_no_more_prompts_and_streams():
    """Prompts that are only prefilled and hand-overs count like other requests."""
    handle = b'{"transfer_handle":"ab"}'
    limit = [("Server-Limit", "1")]

    async def stream(fields, caller):
        await caller.send_head(200, [*SIGNED, *limit, echo(fields)])
        await caller.send(b"id: 1\ndata: 1\n\n")
        await caller.finish()

    engines = model_engines([answers(200, handle, limit)], [stream])
    serve(route(STREAM), engines, times=40)
    assert all(len(engine.seen) <= max_requests(1.0, 4.0) for engine in engines)


def test_other_entries_are_informed_of_a_limit_and_of_its_end():
    """Each entry that was not told sent its own requests beyond the limit."""

    async def run():
        engines = plain_engines([limited("50"), limited("50"), answers(200)])
        context, servers = start_gateway(route(IDEMPOTENT), engines)
        published = []
        context.link.publish = published.append
        for number in range(3):
            await send(number, None, None)
            await asyncio.sleep(0.06)
        for server in servers:
            await server.close()
        return [event for event in published if isinstance(event, TargetLimited)]

    name = TargetId("t0")
    assert asyncio.run(run()) == [
        TargetLimited(name, 0, 50.0),
        TargetLimited(name, 0, 0.0),
    ]


@pytest.mark.parametrize(("born_ms", "applied"), [(0, True), (7, False)])
def test_limit_announced_by_another_entry_is_applied(born_ms, applied):
    """A new start under the same name begins without a limit."""

    async def run():
        context, servers = start_gateway(route(IDEMPOTENT), plain_engines([hangs]))
        event = TargetLimited(TargetId("t0"), born_ms, 0.1)
        context.apply_announced_limit(event)
        rates = context.placer.limits.rates
        context.apply_announced_limit(replace(event, max_rate=0.0))
        for server in servers:
            await server.close()
        return rates, context.placer.limits.rates

    assert asyncio.run(run()) == ({"t0": 0.1} if applied else {}, {})


def test_calls_beyond_all_limits_are_refused_at_once_with_different_returns():
    """They waited or were sent all the same, and came back together."""
    engines = plain_engines([limited("2")], [limited("2")])
    results = serve(route(IDEMPOTENT), engines, usage=None, times=20)
    refused = [answer for answer in results if status(answer) == 503]
    assert len(refused) >= 10
    assert all(b'"ran":"no"' in answer for answer in refused)
    returns = [
        float(answer.split(b"Retry-After: ")[1].split(b"\r\n")[0]) for answer in refused
    ]
    assert returns == sorted(returns) and len(set(returns)) > len(returns) / 2


def test_unreadable_limit_does_not_lift_the_one_before():
    """A target in need that names a broken value was flooded again."""
    engines = plain_engines([limited("1"), limited("many")], [slowly])
    serve(route(IDEMPOTENT), engines, usage=None, times=20)
    assert len(engines[0].seen) <= 3


def test_prompt_keeps_its_turn_at_the_decode_engine():
    """A prompt was prefilled, then refused since the only decode engine was limited."""

    async def stream(fields, caller):
        limit = ("Server-Limit", "4")
        await caller.send_head(200, [*SIGNED, limit, echo(fields)])
        await caller.send(b"id: 1\ndata: 1\n\n")
        await caller.finish()

    engines = model_engines([prefills], [stream])
    results = serve(route(STREAM), engines, usage="6000,20", times=20)
    served = [answer for answer in results if answer.count(b"data: ") == 1]
    prefill, decode = engines
    assert len(served) == len(decode.seen)
    assert sum(call[0] == "POST" for call in prefill.seen) <= len(decode.seen)
