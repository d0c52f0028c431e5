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


def test_broken_run_is_logged_with_its_parts():
    """The requests of broken runs could not be compared: no line had their parts."""
    lines = []

    async def run():
        engines = model_engines([prefills], [streams(3, breaks=True)])
        context, servers = start_gateway(route(STREAM), engines)
        context.event_log.write = lambda *words, **fields: lines.append((words, fields))
        await send(0, "600,20", None, prefix="a:100,b:100,c:400")
        for server in servers:
            await server.close()
        context.pool.close()
        return context.metrics.text().decode()

    metrics = asyncio.run(run())
    broken = next(f for words, f in lines if words[1] == "stream_broke_off")
    assert broken["shared_parts"] == ("a", "b") and broken["had_event"]
    assert 'streams_broken_total{had_event="True"} 1.0' in metrics
