"""Streams that stall, are slow or break off."""

import asyncio
from itertools import count

import pytest

from tests.platform.jobs import (
    SIGNED,
    STREAM,
    echo,
    model,
    reads,
    route,
    send,
    serve,
    start_gateway,
    status,
    streams,
)
from wigeonspan.pool import ExchangeError, FailureKind


def slow_stream(pauses_s):
    """Send events with pauses; the last pause is before the end."""

    async def step(fields, caller):
        await caller.send_head(200, [*SIGNED, echo(fields)])
        begin = int(fields.get("last-event-id", 0)) + 1
        for n, pause_s in list(enumerate(pauses_s, 1))[begin - 1 :]:
            await asyncio.sleep(pause_s)
            await caller.send(f"id: {n}\ndata: {n}\n\n".encode())
        await caller.finish()

    return step


def trickle(data, pause_s=0.2):
    """Send one event, and then the same bytes for ever."""

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
def test_stalled_stream_that_sends_bytes_goes_on_elsewhere(data, pause_s):
    """Any byte counted as progress, so that such a stream was never resumed."""
    engines = model([reads], [], [])
    for engine in engines[1:]:
        engine.script = [trickle(data, pause_s)]
    engines[1].script = engines[2].script = [trickle(data, pause_s), streams(5)]
    answer = serve(route(STREAM, resumable=True), engines)[0]
    assert [answer.count(b"id: %d\n" % n) for n in range(1, 6)] == [1] * 5
    assert answer.endswith(b"0\r\n\r\n")
    # What the stalled engine sent after its last event is no part of the answer.
    assert b"ping" not in answer


@pytest.mark.parametrize("unreached", [1, 2, 3])
def test_engine_that_took_no_connection_is_tried_again_when_it_is_the_last(unreached):
    """Beside load a connection was not made in its time. The engine counted as failed
    for that request, and when the other one stalled none was left."""

    async def run():
        engines = model([reads], [], [])
        engines[1].script = engines[2].script = [trickle(b"x"), streams(5)]
        parts, servers = start_gateway(route(STREAM, resumable=True), engines)
        connect, tries = parts.pool._connect, count(1)

        async def fail_once(address):
            # The first connection goes to the engine that reads.
            if next(tries) == unreached + 1:
                raise ExchangeError(FailureKind.TIMEOUT, sent=False)
            return await connect(address)

        parts.pool._connect = fail_once
        answer = await send(0, "600,20", None)
        for server in servers:
            await server.close()
        parts.pool.close()
        return answer

    answer = asyncio.run(run())
    assert [answer.count(b"id: %d\n" % n) for n in range(1, 6)] == [1] * 5
    assert answer.endswith(b"0\r\n\r\n")


def test_engine_that_takes_no_connections_is_not_tried_for_ever():
    """The caller hears at once that no engine is there."""
    engines = model([reads], [streams(5)])

    async def run():
        parts, servers = start_gateway(route(STREAM, resumable=True), engines)
        tries = []

        async def fail(address):
            tries.append(address)
            raise ExchangeError(FailureKind.CONNECT, sent=False)

        parts.pool._connect = fail
        answer = await send(0, "600,20", None)
        for server in servers:
            await server.close()
        return answer, len(tries)

    answer, tries = asyncio.run(run())
    assert status(answer) == 503 and b'"ran":"no"' in answer
    assert tries <= 2 * len(engines)


def test_comments_of_a_whole_stream_are_passed_on():
    """The caller gets the target's body as it is."""

    async def step(fields, caller):
        await caller.send_head(200, [*SIGNED, echo(fields)])
        await caller.send(b": one\n\nid: 1\ndata: 1\n\n: two\n\n")
        await caller.finish()

    answer = serve(route(STREAM), model([reads], [step]))[0]
    assert answer.count(b"one") == answer.count(b"two") == 1
    assert answer.index(b"one") < answer.index(b"data: 1") < answer.index(b"two")


@pytest.mark.parametrize("data", TRICKLES.values(), ids=TRICKLES)
def test_stalled_stream_that_may_not_run_twice_ends(data):
    """It ends with the caller's time, and not as a complete answer."""
    engines = model([reads], [trickle(data)], [trickle(data)])
    answer = serve(route(STREAM), engines)[0]
    assert not answer.endswith(b"0\r\n\r\n")
    assert len(engines[1].seen) + len(engines[2].seen) == 1


def test_slow_but_sound_stream_is_not_cut():
    """A stream at a tenth of its usual pace is served by its engine to the end."""
    engines = model([reads], [slow_stream([0.4] * 4)], [slow_stream([0.4] * 4)])
    answer = serve(route(STREAM, resumable=True), engines)[0]
    assert answer.count(b"data: ") == 4 and answer.endswith(b"0\r\n\r\n")
    assert len(engines[1].seen) + len(engines[2].seen) == 1


@pytest.mark.parametrize("size", range(1, 15))
def test_stream_without_length_that_ends_in_an_event_is_not_complete(size):
    """The end of the connection in the middle of an event passed for the end."""
    events = b"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"

    async def ends_early(fields, caller):
        stream = caller._connection.stream
        name, value = echo(fields)
        head = f"HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n{name}: {value}\r\n\r\n"
        await stream.write(head.encode() + events[: 15 + size])
        stream.close()

    engines = model([reads], [ends_early])
    answer = serve(route(STREAM), engines)[0]
    assert not answer.endswith(b"0\r\n\r\n")
