"""Tests of streams that have broken off and go on although they will be late."""

import asyncio

import pytest

from tests.platform.gateway_harness import (
    STREAM,
    model_engines,
    prefills,
    route,
    send,
    start_gateway,
    status,
    streams,
)
from wigeonspan.common import HostId
from wigeonspan.placing import Work, WorkKind
from wigeonspan.targets import TargetId

EVENTS = 20
BUSY_MS = 1000.0
"""Expected wait at the other engines in milliseconds: beyond the objective, within the
caller's time."""


def serve_when_busy(step):
    """Return the answer when the first engine fails while the others become busy.

    A queue of late requests stands, so that late ones are refused.
    """

    async def run():
        engines = model_engines([prefills], [], [streams(EVENTS)])
        context, servers = start_gateway(route(STREAM, resumable=True), engines)
        context.placer._order.refuses_late = lambda band, now: True

        async def become_busy_and_fail(fields, caller):
            now = context.clock.now()
            for name, kind in (("p", WorkKind.PREFILL), ("d0", WorkKind.DIRECT)):
                target = TargetId(name)
                work = Work(f"o/{name}", HostId("o"), target, kind, BUSY_MS, 0)
                context.placer.ledger.begin(work, now)
            await step(fields, caller)

        engines[1].script = [become_busy_and_fail]
        for number in range(6):
            target, kind = TargetId("d0"), WorkKind.DECODE
            work = Work(f"o/{number}", HostId("o"), target, kind, 0.0, 0)
            context.placer.ledger.begin(work, context.clock.now())
        answer = await send(0, "600,20", None)
        for server in servers:
            await server.close()
        context.pool.close()
        return answer

    return asyncio.run(run())


async def breaks_without_an_event(fields, caller):
    caller.abort()


@pytest.mark.parametrize("step", [streams(4, breaks=True), breaks_without_an_event])
def test_broken_stream_goes_on_while_late_requests_are_refused(step):
    """Guards against a 502 after an engine crash for a request that another engine
    could run: it was refused like a new one because a queue of late ones stood."""
    answer = serve_when_busy(step)
    assert status(answer) == 200 and answer.endswith(b"0\r\n\r\n")
    assert answer.count(b"data:") == EVENTS
