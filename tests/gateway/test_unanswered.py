"""Tests of the record of requests that end without an answer."""

import asyncio

import pytest

from tests.platform.gateway_harness import (
    STREAM,
    model_engines,
    prefills,
    route,
    send,
    start_gateway,
    streams,
)
from wigeonspan.gateway._generation import Generation


async def _serve_nothing(self, caller):
    raise RuntimeError("broken")


async def _cut_off(self, caller):
    await caller.send_head(200, [])
    raise RuntimeError("broken")


@pytest.mark.parametrize(
    "serve, causes", [(_serve_nothing, []), (_cut_off, ["RuntimeError"])]
)
def test_answer_that_is_never_finished_is_recorded(serve, causes, monkeypatch):
    """A connection that closed without an answer left no line and no metric.

    An error before the head is answered with status 500.
    """
    monkeypatch.setattr(Generation, "serve", serve)

    async def run():
        engines = model_engines([prefills], [streams(2)])
        context, servers = start_gateway(route(STREAM), engines)
        lines = []
        context.event_log.write = lambda *words, **fields: lines.append((words, fields))
        await send(0, "600,20", None)
        for server in servers:
            await server.close()
        context.pool.close()
        return lines, context.metrics.text().decode()

    lines, metrics = asyncio.run(run())
    unanswered = [f for words, f in lines if words == ("serve", "unanswered")]
    assert [f["cause"] for f in unanswered] == causes
    assert metrics.count('unanswered_total{cause="RuntimeError"} 1.0') == len(causes)
