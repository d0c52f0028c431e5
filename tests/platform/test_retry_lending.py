"""Tests of entries that lend each other retries over their datagrams."""

import asyncio
import random

from tests.platform.gateway_harness import (
    IDEMPOTENT,
    NET,
    answers,
    not_run,
    plain_engines,
    route,
    send,
    start_gateway,
    status,
)
from wigeonspan.common import HostId
from wigeonspan.gateway._loans import RetryLoans
from wigeonspan.placing import RetryLending
from wigeonspan.sharing import PeerLink

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


async def connect(contexts):
    """Connect gateways by datagrams, with which they exchange retries."""
    addresses = [f"{NET}.2.{n + 1}:{PEER_PORT}" for n in range(len(contexts))]
    for number, context in enumerate(contexts):
        context.link = PeerLink(HostId(context.host), context.receive_event, print)
        await context.link.listen(addresses[number])
        context.link.set_peers([a for a in addresses if a != addresses[number]])
        context.budget.set_entries(len(contexts))
        context.loans = RetryLoans(
            context.host,
            RetryLending(context.budget, random.Random(number)),
            context.config.has_service,
            context.link,
            context.event_log,
            context.metrics,
            context.clock,
        )


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
    now = contexts[0].clock.now()
    left = [context.budget.own_remaining("s", now) for context in contexts]
    assert 12.0 - sum(left) >= 6, "lenders must have recorded their loans"


def test_entries_with_enough_retries_exchange_nothing():
    """A small fleet would be served differently from before."""
    results, contexts = asyncio.run(repeat_at_one_entry(2, 10.0, 6))
    assert results.count(200) == 3
    for context in contexts:
        assert b"retry_loans" not in context.metrics.text()
