"""Tests of prompts that wait for their prefill."""

import asyncio

import pytest
from msgspec.structs import replace

from tests.platform.gateway_harness import (
    STREAM,
    Engine,
    hangs,
    prefills,
    route,
    send,
    start_gateway,
    status,
    streams,
)
from wigeonspan.common import HostId
from wigeonspan.placing import PromptPart, Work, WorkKind
from wigeonspan.targets import Phase, TargetId


def test_prompt_is_moved_from_an_engine_that_another_request_finds_silent():
    """Without this, prompts waited for a silent engine until their callers left."""

    async def run():
        engines = [
            Engine("p", Phase.PREFILL, hangs),
            Engine("p2", Phase.PREFILL, prefills),
            Engine("d", Phase.DECODE, streams(3)),
        ]
        context, servers = start_gateway(route(STREAM), engines)
        # The cached prefix sends all prompts to the engine that hangs.
        context.placer.prefixes.begin(
            "w", TargetId("p"), (PromptPart("s", 9000),), 9000
        )
        started = context.clock.now()
        pending = asyncio.create_task(send(0, "9600,20", None, prefix="s:9000,o:600"))
        await asyncio.sleep(0.2)
        assert len(engines[0].seen) == 1
        context.placer.health.suspend(TargetId("p"), context.clock.now())
        answer = await pending
        took_s = context.clock.now() - started
        for server in servers:
            await server.close()
        context.pool.close()
        return answer, took_s

    answer, took_s = asyncio.run(run())
    assert answer.count(b"data: ") == 3
    assert took_s < 0.6


@pytest.mark.parametrize("finishes", [True, False])
def test_prompt_waits_for_an_engine_that_finishes_others(finishes):
    """A second prefill elsewhere would add work while all engines have a backlog."""

    async def run():
        engines = [
            Engine("p", Phase.PREFILL, hangs),
            Engine("p2", Phase.PREFILL, hangs),
            Engine("d", Phase.DECODE, streams(3)),
        ]
        context, servers = start_gateway(route(STREAM), engines)
        pending = asyncio.create_task(send(0, "600,20", None))
        for n in range(16):
            await asyncio.sleep(0.1)
            if finishes:
                now = context.clock.now()
                for name in ("p", "p2"):
                    work = Work(
                        f"w{n}{name}",
                        HostId("o"),
                        TargetId(name),
                        WorkKind.PREFILL,
                        20.0,
                        0,
                    )
                    context.placer.ledger.begin(work, now - 0.02)
                    context.placer.ledger.end(work.work, now, completed=True)
        seen = len(engines[0].seen) + len(engines[1].seen)
        pending.cancel()
        for server in servers:
            await server.close()
        context.pool.close()
        return seen

    assert asyncio.run(run()) == (1 if finishes else 2)


def add_waiting_work(name, context, work_ms):
    """Give an engine a prefill that runs before the waiting prompt."""
    work = Work(f"b{name}", HostId("o"), TargetId(name), WorkKind.PREFILL, work_ms, 0)
    context.placer.ledger.begin(work, context.clock.now())


def finish_small_prompts(context, number):
    """Record that both engines finish a small prefill, as engines with a backlog do."""
    now = context.clock.now()
    for name in ("p", "p2"):
        work = Work(
            f"s{number}{name}", HostId("o"), TargetId(name), WorkKind.PREFILL, 20.0, 0
        )
        context.placer.ledger.begin(work, now - 0.02)
        context.placer.ledger.end(work.work, now, completed=True)


def send_overtaken_prompt(engines):
    """Send a prompt that others overtake; return the answer and the seconds it took."""

    async def run():
        context, servers = start_gateway(route(STREAM), engines)
        context.placer.prefixes.begin(
            "w", TargetId("p"), (PromptPart("s", 9000),), 9000
        )
        started = context.clock.now()
        pending = asyncio.create_task(send(0, "9600,20", None, prefix="s:9000,o:600"))
        ended = []
        pending.add_done_callback(lambda _: ended.append(context.clock.now()))
        await asyncio.sleep(0.15)
        add_waiting_work("p", context, 60_000.0)
        add_waiting_work("p2", context, 60_000.0)
        number = 0
        while not pending.done():
            number += 1
            finish_small_prompts(context, number)
            await asyncio.sleep(0.05)
        for server in servers:
            await server.close()
        context.pool.close()
        return pending.result(), ended[0] - started

    return asyncio.run(run())


def test_overtaken_prompt_is_refused_before_its_caller_leaves():
    """The caller is told in time that nothing has run and when to try again.

    In a burst, prompts were overtaken by others until their callers left.
    """
    engines = [
        Engine("p", Phase.PREFILL, hangs),
        Engine("p2", Phase.PREFILL, hangs),
        Engine("d", Phase.DECODE, streams(3)),
    ]
    answer, took_s = send_overtaken_prompt(engines)
    assert status(answer) == 503 and b'"ran":"no"' in answer
    assert b"Retry-After" in answer
    assert took_s < 1.9


def answers_late(delay_s):
    async def step(fields, caller):
        await asyncio.sleep(delay_s)
        await streams(3)(fields, caller)

    return step


def test_stream_that_waits_for_a_slot_is_not_cut_as_stalled():
    """It was cut off after 0.9 s and its prompt prefilled again for the next queue."""

    async def run():
        engines = [
            Engine("p", Phase.PREFILL, prefills),
            Engine("d", Phase.DECODE, answers_late(1.2)),
        ]
        patient = replace(route(STREAM, resumable=True), objective_s=1.5)
        context, servers = start_gateway(patient, engines)
        now = context.clock.now()
        for n in range(13):
            work = Work(f"s{n}", HostId("o"), TargetId("d"), WorkKind.DECODE, 0.0, 3)
            context.placer.ledger.begin(work, now)
        handoff_ms = context.placer.handoff_ms
        answer = await send(0, "600,20", None)
        learned_ms = context.placer.handoff_ms
        for server in servers:
            await server.close()
        context.pool.close()
        return answer, engines, handoff_ms, learned_ms

    answer, engines, handoff_ms, learned_ms = asyncio.run(run())
    assert answer.count(b"data: ") == 3
    assert [len(engine.seen) for engine in engines] == [1, 1]
    # The wait for a slot is not a part of the hand-over.
    assert learned_ms == handoff_ms
