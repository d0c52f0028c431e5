"""Tests of requests that reach a stopping gateway, whatever happens to them then."""

import asyncio
import time

import pytest

from tests.platform.gateway_harness import (
    IDEMPOTENT,
    NET,
    NON_IDEMPOTENT,
    SIGNED,
    STREAM,
    answers,
    echo,
    hangs,
    model_engines,
    not_run,
    plain_engines,
    prefills,
    resets,
    route,
    send,
    shared_state,
    start_gateway,
    status,
    streams,
)

DEADLINE_S = 1.9
"""Deadline of the requests of the harness."""


async def stalls(fields, caller):
    """Begin a stream and send no further event."""
    await caller.send_head(200, [*SIGNED, echo(fields)])
    await caller.send(b"id: 1\ndata: 1\n\n")
    await asyncio.sleep(30)


def begin_stop(context, servers, ends_in_s):
    now = context.clock.now()
    context.stop.begin(now, now + ends_in_s)
    servers[-1].refuse_early(shared_state["server"].check_head)


@pytest.mark.parametrize(
    "head", ["", "Transfer-Encoding: chunked", "Content-Length: 9"]
)
@pytest.mark.parametrize("expects", [False, True])
def test_upload_that_cannot_be_served_is_refused_at_its_head(head, expects):
    """A stopping entry read the whole body of requests that it then refused."""

    async def run():
        engines = plain_engines([answers(200)])
        context, servers = start_gateway(route(NON_IDEMPOTENT), engines)
        begin_stop(context, servers, 1.0)
        reader, writer = await asyncio.open_connection(f"{NET}.1.1", 18081)
        fields = [
            "POST /r/x HTTP/1.1",
            "Host: h",
            "Request-Id: q",
            "Deadline-Ms: 1500",
            *([head] if head else []),
            *(["Expect: 100-continue"] if expects else []),
        ]
        writer.write("\r\n".join([*fields, "", ""]).encode())
        answer = await asyncio.wait_for(reader.readuntil(b"}}"), 0.5)
        if not expects and head:
            # The rest of the body is read, so that the close does not reset.
            await asyncio.sleep(0.05)
            body = b"9\r\n123456789\r\n0\r\n\r\n" if "ch" in head else b"123456789"
            writer.write(body)
        rest = await asyncio.wait_for(reader.read(), 1.0) if expects else b""
        writer.close()
        for server in servers:
            await server.close()
        context.pool.close()
        return answer, rest, engines[0].seen

    answer, rest, seen = asyncio.run(run())
    assert status(answer) == 503 and b'"ran":"no"' in answer
    assert not rest and not seen


@pytest.mark.parametrize(
    ("kind", "engines"),
    [
        (IDEMPOTENT, lambda: plain_engines([hangs], [hangs], [hangs])),
        (IDEMPOTENT, lambda: plain_engines([resets], [hangs], [hangs])),
        (NON_IDEMPOTENT, lambda: plain_engines([not_run], [not_run], [hangs])),
        (STREAM, lambda: model_engines([hangs], [hangs])),
        (STREAM, lambda: model_engines([prefills], [hangs], [hangs])),
        (STREAM, lambda: model_engines([prefills], [stalls], [stalls])),
        (STREAM, lambda: model_engines([prefills], [not_run], [stalls])),
        (STREAM, lambda: model_engines([prefills], [streams(3, breaks=True)], [hangs])),
        (STREAM, lambda: model_engines([resets], [stalls], [hangs])),
    ],
)
def test_accepted_request_ends_by_its_deadline(kind, engines):
    """A retry, a successor or a new prefill must not outlast what was promised.

    A stopping entry accepts a request when its deadline falls before the end.
    """

    async def run():
        context, servers = start_gateway(route(kind, resumable=True), engines())
        begin_stop(context, servers, 2.0)
        began = time.monotonic()
        answer = await send(0, "600,20" if kind is STREAM else None, 3.0)
        took_s = time.monotonic() - began
        for server in servers:
            await server.close()
        context.pool.close()
        return answer, took_s

    answer, took_s = asyncio.run(run())
    assert took_s < DEADLINE_S + 0.1
    assert answer and b"0\r\n\r\n" not in answer
    assert status(answer) == 200 or b'"ran"' in answer
    assert b'"draining"' not in answer
