"""Tests of requests that reach a stopping gateway, whatever happens to them then."""

import asyncio

import pytest

from tests.platform.gateway_harness import (
    NET,
    NON_IDEMPOTENT,
    answers,
    plain_engines,
    route,
    shared_state,
    start_gateway,
    status,
)


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
