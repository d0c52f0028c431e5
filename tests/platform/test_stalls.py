"""Tests of streams that stall, are slow or break off."""

import asyncio
from itertools import count

import pytest

from tests.platform.gateway_harness import (
    SIGNED,
    STREAM,
    echo,
    model_engines,
    prefills,
    route,
    send,
    serve,
    start_gateway,
    status,
    streams,
)
from wigeonspan.pool import ExchangeError, FailureKind


def slow_stream(pauses_s):
    """Send each event after its pause in seconds, then finish."""

    async def step(fields, caller):
        await caller.send_head(200, [*SIGNED, echo(fields)])
        begin = int(fields.get("last-event-id", 0)) + 1
        for n, pause_s in list(enumerate(pauses_s, 1))[begin - 1 :]:
            await asyncio.sleep(pause_s)
            await caller.send(f"id: {n}\ndata: {n}\n\n".encode())
        await caller.finish()

    return step


def trickle(data, pause_s=0.2):
    """Send one event and then the same bytes until the caller leaves."""

    async def step(fields, caller):
        await caller.send_head(200, [*SIGNED, echo(fields)])
        if not fields.get("last-event-id"):
            await caller.send(b"id: 1\ndata: 1\n\n")
        while not caller.disconnected:
            await caller.send(data)
            await asyncio.sleep(pause_s)

    return step


TRICKLES = {
    "a byte now and then": b"x",
    "comments": b": ping\n\n",
    "half events": b"id: 2\ndata: 2\n",
    "the same event": b"id: 1\ndata: 1\n\n",
}


@pytest.mark.parametrize("data", TRICKLES.values(), ids=TRICKLES)
@pytest.mark.parametrize("pause_s", [0.0, 0.2])
def test_stalled_stream_that_sends_bytes_is_resumed_elsewhere(data, pause_s):
    """Only new events count as progress.

    When any byte counted, a stalled stream that still sent bytes was never resumed.
    """
    engines = model_engines([prefills], [], [])
    for engine in engines[1:]:
        engine.script = [trickle(data, pause_s)]
    engines[1].script = engines[2].script = [trickle(data, pause_s), streams(5)]
    answer = serve(route(STREAM, resumable=True), engines)[0]
    assert [answer.count(b"id: %d\n" % n) for n in range(1, 6)] == [1] * 5
    assert answer.endswith(b"0\r\n\r\n")
    # Bytes that the stalled engine sent after its last event are not passed on.
    assert b"ping" not in answer


@pytest.mark.parametrize("failing_connection", [1, 2, 3])
def test_engine_that_took_no_connection_is_tried_again_when_it_is_the_last(
    failing_connection,
):
    """A connect timeout must not exclude an engine from a request for good.

    On a loaded machine a connection took too long, the engine counted as failed for
    that request, and when the other engine stalled no engine remained.
    """

    async def run():
        engines = model_engines([prefills], [], [])
        engines[1].script = engines[2].script = [trickle(b"x"), streams(5)]
        context, servers = start_gateway(route(STREAM, resumable=True), engines)
        connect, tries = context.pool._connect, count(1)

        async def fail_once(address):
            # The first connection goes to the prefill engine.
            if next(tries) == failing_connection + 1:
                raise ExchangeError(FailureKind.TIMEOUT, sent=False)
            return await connect(address)

        context.pool._connect = fail_once
        answer = await send(0, "600,20", None)
        for server in servers:
            await server.close()
        context.pool.close()
        return answer

    answer = asyncio.run(run())
    assert [answer.count(b"id: %d\n" % n) for n in range(1, 6)] == [1] * 5
    assert answer.endswith(b"0\r\n\r\n")


def test_unreachable_engine_is_tried_a_limited_number_of_times():
    """The caller is told quickly that no engine is available."""
    engines = model_engines([prefills], [streams(5)])

    async def run():
        context, servers = start_gateway(route(STREAM, resumable=True), engines)
        tries = []

        async def fail(address):
            tries.append(address)
            raise ExchangeError(FailureKind.CONNECT, sent=False)

        context.pool._connect = fail
        answer = await send(0, "600,20", None)
        for server in servers:
            await server.close()
        return answer, len(tries)

    answer, tries = asyncio.run(run())
    assert status(answer) == 503 and b'"ran":"no"' in answer
    assert tries <= 2 * len(engines)


def test_comments_of_a_complete_stream_are_passed_on():
    """The body of the target is forwarded unchanged."""

    async def step(fields, caller):
        await caller.send_head(200, [*SIGNED, echo(fields)])
        await caller.send(b": one\n\nid: 1\ndata: 1\n\n: two\n\n")
        await caller.finish()

    answer = serve(route(STREAM), model_engines([prefills], [step]))[0]
    assert answer.count(b"one") == answer.count(b"two") == 1
    assert answer.index(b"one") < answer.index(b"data: 1") < answer.index(b"two")


@pytest.mark.parametrize("data", TRICKLES.values(), ids=TRICKLES)
def test_stalled_stream_that_may_not_run_twice_ends(data):
    """It ends at the caller's deadline and must not look like a complete answer."""
    engines = model_engines([prefills], [trickle(data)], [trickle(data)])
    answer = serve(route(STREAM), engines)[0]
    assert not answer.endswith(b"0\r\n\r\n")
    assert len(engines[1].seen) + len(engines[2].seen) == 1


def test_slow_but_working_stream_is_not_cut():
    """A stream at a tenth of its usual speed stays at its engine to the end."""
    engines = model_engines(
        [prefills], [slow_stream([0.4] * 4)], [slow_stream([0.4] * 4)]
    )
    answer = serve(route(STREAM, resumable=True), engines)[0]
    assert answer.count(b"data: ") == 4 and answer.endswith(b"0\r\n\r\n")
    assert len(engines[1].seen) + len(engines[2].seen) == 1


@pytest.mark.parametrize("size", range(1, 15))
def test_stream_without_length_that_ends_in_an_event_is_not_complete(size):
    """A connection that closes in the middle of an event must not count as the end."""
    events = b"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"

    async def ends_early(fields, caller):
        stream = caller._connection.stream
        name, value = echo(fields)
        head = f"HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n{name}: {value}\r\n\r\n"
        await stream.write(head.encode() + events[: 15 + size])
        stream.close()

    engines = model_engines([prefills], [ends_early])
    answer = serve(route(STREAM), engines)[0]
    assert not answer.endswith(b"0\r\n\r\n")
