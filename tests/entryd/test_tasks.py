"""Tests of background tasks that fail."""

import asyncio

from tests.entryd.harness import EntryTestbed


def test_poller_continues_after_an_unexpected_error():
    """Guards against a poller that ends silently after an unexpected error.

    A malformed report can cause it. Loads would never be polled again.
    """

    async def run():
        testbed = EntryTestbed()
        rounds, poller = [], testbed.daemon.entry.poller
        round_once = poller._poll_all

        async def fail_first():
            rounds.append(None)
            if len(rounds) == 1:
                raise KeyError("unexpected")
            await round_once()

        poller._poll_all = fail_first
        async with testbed, asyncio.timeout(10):
            while len(rounds) < 3:
                await asyncio.sleep(0.02)
        return testbed.metrics.counts["unexpected_errors"]

    assert asyncio.run(run()) == 1
