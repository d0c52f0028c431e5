"""Tests of the memory of engines on the whole path of a request."""

import asyncio
import random

import pytest

from tests.platform.gateway_harness import (
    Engine,
    prefills,
    route,
    send,
    start_gateway,
    status,
    streams,
)
from wigeonspan.common import DomainName, HostId
from wigeonspan.fleetconfig import CallKind
from wigeonspan.placing import Placer, Prompt, Work, WorkKind
from wigeonspan.placing._priority import SOLE_BAND
from wigeonspan.sharing import WorkBegun
from wigeonspan.targets import Phase, TargetId

NEED = 608 + 20
"""Tokens of the harness's requests (``600,20``): whole blocks and the output."""


class Recorder:
    """Replacement for the link and the log that keeps what it is given."""

    def __init__(self):
        self.events = []
        self.lines = []

    def write(self, part, event, **fields):
        self.lines.append((event, fields))

    def publish(self, event):
        self.events.append(event)


def run(requests, occupy=(), limits_memory=True, usage="600,20"):
    """Return the answers, the engines, the context and the beginnings of work.

    Parameters
    ----------
    occupy : sequence of str
        Decode engines that another entry has filled with one stream each; the others
        have three small ones.
    """
    engines = [
        Engine("p0", Phase.PREFILL, prefills),
        Engine("d0", Phase.DECODE, streams(5)),
        Engine("d1", Phase.DECODE, streams(5)),
    ]

    async def serve():
        context, servers = start_gateway(route(CallKind.STREAM), engines)
        context.link = context.event_log = Recorder()
        context.placer = Placer(
            DomainName("d"), random.Random(1), limits_memory=limits_memory
        )
        context.placer.set_engines(100_000, 0.0)
        for name in occupy:
            work = Work(name, HostId("o"), TargetId(name), WorkKind.DECODE, 0.0, 0)
            context.apply_event(WorkBegun(work, memory_tokens=95_500))
        for name in {"d0", "d1"} - set(occupy):
            for number in range(3):
                work = Work(
                    f"{name}/{number}",
                    HostId("o"),
                    TargetId(name),
                    WorkKind.DECODE,
                    0.0,
                    0,
                )
                context.apply_event(WorkBegun(work, memory_tokens=10))
        answers = [await send(number, usage, None) for number in range(requests)]
        for server in servers:
            await server.close()
        context.pool.close()
        begun = [e for e in context.link.events if isinstance(e, WorkBegun)]
        return answers, engines, context, begun

    return asyncio.run(serve())


@pytest.mark.parametrize("limits", [True, False])
def test_requests_avoid_a_full_engine_and_tell_what_they_hold(limits):
    """A request at a full engine preempts streams, and other entries would not know
    what it holds."""
    answers, _, context, begun = run(6, ["d0"], limits)
    assert [status(answer) for answer in answers] == [200] * 6
    at_full = [event for event in begun if event.work.target == "d0"]
    streams_begun = [e for e in begun if e.work.kind is not WorkKind.PREFILL]
    assert len(streams_begun) == 6
    assert bool(at_full) is not limits
    # The expected output follows that of earlier requests, at most the maximum.
    needs = {event.memory_tokens for event in begun}
    assert (max(needs) == NEED and min(needs) > 600) if limits else needs == {0}
    placed = [fields for event, fields in context.event_log.lines if event == "placed"]
    assert len(placed) == 6
    for fields in placed:
        assert ("memory_wait_ms" in fields) is limits
        assert not limits or fields["room_tokens"] > fields["memory_tokens"] > 600


def test_real_output_corrects_the_expected_one():
    """Requests would always be expected to use their whole maximum."""
    _, _, context, _ = run(10)
    prompt = Prompt((), 600, 20)
    assert 5 <= context.placer.memory.outputs.expected_tokens("r", prompt) < 20


def test_stream_without_room_waits_behind_its_own_priority():
    """It would preempt streams that differ only in the time that is left to them."""
    _, engines, context, begun = run(1, ["d0", "d1"])
    stream = next(e.work for e in begun if e.work.kind is not WorkKind.PREFILL)
    (decode,) = [e for e in engines[1:] if e.seen]
    placed = dict(context.event_log.lines)["placed"]
    assert placed["urgency"] < stream.urgency == SOLE_BAND.late_rank
    assert decode.seen[0][2]["request-priority"] == str(stream.urgency)


def test_request_that_no_engine_can_hold_is_refused_unrun():
    """It would preempt all streams of an engine and never end."""
    answers, engines, _, begun = run(1, usage="100001,20")
    assert status(answers[0]) == 503
    assert b"retry-after: 60" in answers[0].lower()
    assert not begun and not any(engine.seen for engine in engines)
