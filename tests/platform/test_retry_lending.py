"""Tests of entries that lend each other retries over their datagrams."""

import asyncio
import random

import pytest

from tests.platform.gateway_harness import (
    IDEMPOTENT,
    NET,
    STREAM,
    Engine,
    answers,
    model_engines,
    not_run,
    plain_engines,
    prefills,
    route,
    send,
    serve,
    start_gateway,
    status,
    streams,
)
from wigeonspan.common import HostId, ManualClock
from wigeonspan.gateway._loans import RetryLoans
from wigeonspan.placing import RetryLending
from wigeonspan.sharing import PeerLink, RetriesLent
from wigeonspan.targets import Phase

PEER_PORT = 18090


def refuses_first():
    """Return a step that refuses the first arrival of each request."""
    seen = set()

    async def step(fields, caller):
        request = fields["request-id"]
        is_first = request not in seen
        seen.add(request)
        await (not_run if is_first else answers(200))(fields, caller)

    return step


def make_loans(context, lending):
    return RetryLoans(
        context.host,
        lending,
        context.config.has_service,
        context.link,
        context.event_log,
        context.metrics,
        context.boot_clock,
    )


async def connect(contexts):
    """Connect gateways by datagrams, with which they exchange retries."""
    addresses = [f"{NET}.2.{n + 1}:{PEER_PORT}" for n in range(len(contexts))]
    for number, context in enumerate(contexts):
        context.link = PeerLink(HostId(context.host), context.receive_event, print)
        await context.link.listen(addresses[number])
        context.link.set_peers([a for a in addresses if a != addresses[number]])
        context.budget.set_entries(len(contexts))
        lending = RetryLending(context.budget, random.Random(number))
        context.loans = make_loans(context, lending)


async def repeat_at_one_entry(entries, budget, requests):
    """Send requests that need a repeat each to one of several gateways."""
    contexts, servers = [], []
    step = refuses_first()
    engines = plain_engines([step], [step])
    for number in range(entries):
        context, more = start_gateway(
            route(IDEMPOTENT),
            engines if not contexts else [],
            budget=budget,
            front=f"{NET}.1.{number + 1}:18081",
            host=f"e{number}",
            targets_of=contexts[0] if contexts else None,
        )
        contexts.append(context)
        servers += more
    await connect(contexts)
    results = []
    for number in range(requests):
        results.append(status(await send(number, "600,20", None)))
        await asyncio.sleep(0.1)
    for server in servers:
        await server.close()
    for context in contexts:
        context.link.close()
        context.pool.close()
    return results, contexts


def test_entry_without_retries_uses_those_of_the_others():
    """Requests were refused although the other entries had all their retries left."""
    results, contexts = asyncio.run(repeat_at_one_entry(4, 16.0, 6))
    assert results == [200] * 6, "an own part of 4 allows 3 repeats"
    now = contexts[0].boot_clock.now()
    left = [context.budget.own_remaining("s", now) for context in contexts]
    assert 12.0 - sum(left) >= 6, "lenders must have recorded their loans"


def test_entries_with_enough_retries_exchange_nothing():
    """A small fleet would be served differently from before."""
    results, contexts = asyncio.run(repeat_at_one_entry(2, 10.0, 6))
    assert results.count(200) == 3
    for context in contexts:
        assert b"retry_loans" not in context.metrics.text()


class AbsentEngine(Engine):
    """Engine that takes no connection."""

    def listen(self, address):
        pass


@pytest.mark.parametrize("seed", range(1, 5))
def test_prefill_that_was_not_sent_takes_no_retry(seed):
    """Requests failed for lack of retries although nothing of them had arrived."""
    absent = [AbsentEngine(f"a{n}", Phase.PREFILL, prefills) for n in range(2)]
    engines = [*absent, *model_engines([prefills], [streams(3)])]
    (answer,) = serve(route(STREAM), engines, budget=0.5, seed=seed, usage="12000,20")
    assert status(answer) == 200 and answer.endswith(b"0\r\n\r\n")


def test_retry_of_a_prefill_that_was_not_sent_is_returned():
    """An engine that takes no connection would use up the budget of an entry."""

    async def run():
        refusing = Engine("r", Phase.PREFILL, not_run)
        absent = [AbsentEngine(f"a{n}", Phase.PREFILL, prefills) for n in range(3)]
        engines = [refusing, *absent, Engine("d", Phase.DECODE, streams(3))]
        context, servers = start_gateway(route(STREAM), engines, budget=8.0)
        for number in range(4):
            await send(number, "12000,20", None)
        for server in servers:
            await server.close()
        context.pool.close()
        return context, refusing

    context, refusing = asyncio.run(run())
    arrivals = len(refusing.seen)
    remaining = context.budget.remaining("s", context.boot_clock.now())
    assert arrivals, "the engine that refuses must have been tried"
    assert b'outcome="not_sent"' in context.metrics.text()
    assert remaining == 6.0, "no prefill beyond the first of a request arrived"


@pytest.mark.parametrize(("entries", "prefills_again"), [(2, 0), (1, 1)])
def test_repeat_of_a_short_prompt_takes_one_arrival(entries, prefills_again):
    """A repeat took two arrivals when few were left; a single entry keeps to that."""

    async def run():
        refusing = [Engine(f"r{n}", Phase.PREFILL, not_run) for n in range(2)]
        engines = [*refusing, Engine("d", Phase.DECODE, streams(3))]
        context, servers = start_gateway(route(STREAM), engines, budget=8.0)
        context.budget.set_entries(entries)
        lending = RetryLending(context.budget, random.Random(1))
        context.loans = make_loans(context, lending)
        while context.budget.remaining("s", context.boot_clock.now()) >= 2.0:
            assert context.take_retry("s")
        answer = await send(1, "2000,20", None)
        for server in servers:
            await server.close()
        context.pool.close()
        return answer, sum(len(engine.seen) for engine in refusing)

    answer, prefill_count = asyncio.run(run())
    assert status(answer) == 200
    assert prefill_count == 1 + prefills_again


def test_loans_lapse_while_the_host_is_suspended():
    """An entry used loans after their lenders could lend them again, because its
    monotonic clock had stood still."""

    async def start_and_stop():
        context, servers = start_gateway(route(STREAM), [], budget=8.0)
        for server in servers:
            await server.close()
        context.pool.close()
        return context

    context = asyncio.run(start_and_stop())
    context.clock, context.boot_clock = ManualClock(100.0), ManualClock(500.0)
    context.budget.set_entries(4)
    context.loans = make_loans(context, RetryLending(context.budget, random.Random(1)))
    assert context.take_retry("s")
    asked_ms = round(context.boot_clock.now() * 1000)
    loan = RetriesLent(context.host, "s", 1, asked_ms)
    for lender in ("e1", "e2"):
        context.loans.receive(HostId(lender), loan)
    assert context.take_retry("s"), "a loan must be of use at first"
    context.boot_clock.advance(2.0)
    assert not context.take_retry("s"), "the second loan has lapsed"
    context.loans.receive(HostId("e3"), loan)
    assert not context.take_retry("s"), "a loan received after the suspension is late"
    context.boot_clock.advance(8.1)
    assert context.take_retry("s"), "own retries leave the window all the same"
