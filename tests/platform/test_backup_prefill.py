"""Tests of the search for another engine while a prefill engine is silent."""

import asyncio

from tests.platform.gateway_harness import (
    STREAM,
    Engine,
    NullRecorder,
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
from wigeonspan.targets import Phase, TargetId

EVENTS = 20
BUSY_MS = 1000.0
"""Work of the other prefill engine in milliseconds, so that it is not chosen."""


def test_failed_search_for_another_prefill_does_not_end_the_request():
    """Guards against a request that ends with its silent prefill engine because the
    search beside it found a decode engine, which does the prefill itself, instead of
    another prefill engine."""

    async def run():
        async def falls_silent_and_breaks(fields, caller):
            await asyncio.sleep(0.1)
            # Another entry has found the engine silent.
            context.placer.health.suspend(TargetId("p"), context.clock.now())
            await asyncio.sleep(0.3)
            caller.abort()

        engines = model_engines([falls_silent_and_breaks], [streams(EVENTS)])
        engines.append(Engine("p1", Phase.PREFILL, prefills))
        context, servers = start_gateway(route(STREAM, resumable=True), engines)
        target, kind = TargetId("p1"), WorkKind.PREFILL
        work = Work("o/p1", HostId("o"), target, kind, BUSY_MS, 0)
        context.placer.ledger.begin(work, context.clock.now())
        context.event_log = lines = Lines()
        answer = await send(0, "600,20", None)
        for server in servers:
            await server.close()
        context.pool.close()
        return answer, lines

    answer, lines = asyncio.run(run())
    assert "read_silent" in lines.events, "a search must have begun"
    assert status(answer) == 200 and answer.endswith(b"0\r\n\r\n")
    assert answer.count(b"data:") == EVENTS


class Lines(NullRecorder):
    """Log that keeps the names of its events."""

    def __init__(self):
        self.events = []

    def write(self, part, event, **fields):
        super().write(part, event, **fields)
        self.events.append(event)
