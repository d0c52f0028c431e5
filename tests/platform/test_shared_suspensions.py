"""Tests of engines that several gateways of a large fleet find broken."""

import asyncio

import pytest

from tests.platform.gateway_harness import (
    NET,
    STREAM,
    Engine,
    answers,
    hangs,
    model_engines,
    not_run,
    prefills,
    resets,
    route,
    send,
    start_gateway,
    streams,
)
from tests.platform.test_stalls import slow_stream
from wigeonspan.common import HostId
from wigeonspan.placing import Work, WorkKind
from wigeonspan.sharing import Packet, TargetSuspended, WorkBegun, WorkEnded
from wigeonspan.sharing._wire import decode_datagram, encode_packet
from wigeonspan.targets import Phase, TargetId

ENTRIES = 40
D = TargetId("d")


class Link:
    """Link that passes each event on to the other gateways, as in a datagram."""

    def __init__(self):
        self.contexts = []
        self.published = []

    def join(self, context):
        self.contexts.append(context)
        context.link = Sender(self, context)

    def pass_on(self, sender, event):
        (packet,) = decode_datagram(encode_packet(Packet(sender.host, [event])))
        self.published.extend(packet.events)
        for context in self.contexts:
            if context is not sender:
                context.apply_event(packet.events[0])


class Sender:
    def __init__(self, link, context):
        self._link, self._context = link, context

    def publish(self, event):
        self._link.pass_on(self._context, event)


def ends_at(link, target):
    """Return whether each piece of work at a target was completed, or broken off."""
    begun = {e.work.work: e.work for e in link.published if isinstance(e, WorkBegun)}
    return [
        (event.completed, event.broken)
        for event in link.published
        if isinstance(event, WorkEnded) and begun[event.work].target == target
    ]


def run_once(decode, *, entries=ENTRIES, leave_after_s=None, more=(), prefill=prefills):
    """Return the ends of the work at the first prefill and the first decode engine."""

    async def run():
        link = Link()
        engines = model_engines([prefill], [decode], *more)
        context, servers = start_gateway(route(STREAM, resumable=True), engines)
        context.placer.health.set_entries(entries)
        link.join(context)
        occupy(context, *(e.name for e in engines[2:]))
        await send(0, "600,20", leave_after_s)
        await asyncio.sleep(0.05)
        for server in servers:
            await server.close()
        context.pool.close()
        return ends_at(link, TargetId("p")), ends_at(link, D)

    return asyncio.run(run())


def occupy(context, *names):
    """Make a gateway prefer the other engines."""
    for name in names:
        for number in range(6):
            work_id = f"{name}/{number}"
            target, kind = TargetId(name), WorkKind.DECODE
            work = Work(work_id, HostId("o"), target, kind, 0.0, 0)
            context.placer.ledger.begin(work, context.clock.now())


@pytest.mark.parametrize(
    "step, ended",
    [
        (streams(4, breaks=True), (False, True)),
        (resets, (False, True)),
        (streams(20), (True, False)),
        (not_run, (False, False)),
        (answers(500, b"error"), (False, False)),
    ],
    ids=["broken", "reset", "complete", "refused", "failed"],
)
def test_end_of_work_says_whether_the_engine_broke_it_off(step, ended):
    """Guards against refusals and errors, which sound engines answer as well, that are
    taken for crashes."""
    _, decoded = run_once(step, more=[[streams(20)]])
    assert decoded[0] == ended


@pytest.mark.parametrize("step", [hangs, slow_stream([0.15] * 20)])
def test_caller_that_leaves_breaks_nothing_off(step):
    """Guards against callers that give up and so suspend an engine everywhere."""
    _, decoded = run_once(step, leave_after_s=0.2)
    assert decoded == [(False, False)]


def test_silent_engine_that_is_let_go_has_broken_its_work_off():
    """Guards against streams of a dark engine that go on elsewhere and count for
    nothing, because this entry has closed the connection itself."""
    silent = slow_stream([0.005] * 3 + [5.0])
    _, decoded = run_once(silent, more=[[streams(20)]])
    assert decoded == [(False, True)]


def test_prefill_that_breaks_off_is_reported():
    """Guards against prefill engines whose crashes only single entries notice."""
    prefilled, _ = run_once(streams(20), prefill=resets)
    assert prefilled[0] == (False, True)


@pytest.mark.parametrize("entries", [1, 16])
def test_ends_in_small_fleets_say_nothing_more_than_before(entries):
    """Guards against longer datagrams in deployments that do not share suspensions."""
    _, decoded = run_once(resets, entries=entries, more=[[streams(20)]])
    assert decoded == [(False, False)]


@pytest.mark.parametrize("entries", [ENTRIES, 16])
def test_engine_that_broke_off_streams_of_three_gateways_gets_no_more(entries):
    """Guards against gateways that each have to fail at a crashed engine themselves:
    none of them has seen two failures in a row."""

    async def run():
        link, all_servers = Link(), []
        engines = [
            Engine("p", Phase.PREFILL, prefills),
            Engine("d", Phase.DECODE, streams(4, breaks=True)),
            Engine("d0", Phase.DECODE, streams(20)),
        ]
        for number in range(4):
            context, servers = start_gateway(
                route(STREAM, resumable=True),
                engines if number == 0 else [],
                front=f"{NET}.1.{number + 1}:18081",
                host=f"e{number}",
                targets_of=link.contexts[0] if link.contexts else None,
            )
            context.placer.health.set_entries(entries)
            link.join(context)
            occupy(context, "d0")
            all_servers.extend(servers)
        seen = []
        for number in range(4):
            answer = await send(number, "600,20", None, gateway=number + 1)
            assert answer.endswith(b"0\r\n\r\n")
            seen.append(len(engines[1].seen))
        metrics = link.contexts[3].metrics.text().decode()
        for server in all_servers:
            await server.close()
        for context in link.contexts:
            context.pool.close()
        return seen, metrics, link

    seen, metrics, link = asyncio.run(run())
    assert not any(isinstance(event, TargetSuspended) for event in link.published)
    is_shared = entries == ENTRIES
    assert seen == ([1, 2, 3, 3] if is_shared else [1, 2, 3, 4])
    assert ('shared_suspensions_total{target="d"} 1.0' in metrics) is is_shared


@pytest.mark.parametrize("suspended, ended", [(True, False), (False, True)])
def test_suspension_by_others_is_no_evidence_of_this_entry(suspended, ended):
    """Guards against a single entry that cannot reach a sound engine: the others tried
    their prompts elsewhere, and reported the engine as silent and broken for that."""

    async def slow(fields, caller):
        await asyncio.sleep(5.0)

    async def run():
        link = Link()
        engines = [
            Engine("p", Phase.PREFILL, slow),
            Engine("p0", Phase.PREFILL, prefills),
            Engine("d", Phase.DECODE, streams(3)),
        ]
        context, servers = start_gateway(route(STREAM, resumable=True), engines)
        context.placer.health.set_entries(ENTRIES)
        link.join(context)
        waiting = Work("o/1", HostId("o"), TargetId("p0"), WorkKind.PREFILL, 150.0, 0)
        context.placer.ledger.begin(waiting, context.clock.now())
        request = asyncio.create_task(send(0, "4000,20", None))
        await asyncio.sleep(0.1)
        context.placer.ledger.end("o/1", context.clock.now())
        if suspended:
            context.apply_event(TargetSuspended(TargetId("p")))
        answer = await request
        for server in servers:
            await server.close()
        context.pool.close()
        return answer, ends_at(link, TargetId("p")), context.metrics.text()

    answer, ends, metrics = asyncio.run(run())
    assert answer.endswith(b"0\r\n\r\n")
    assert ends == [(False, ended)]
    assert (b"target_silences_total" in metrics) is ended
