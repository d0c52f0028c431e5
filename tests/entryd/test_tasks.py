"""Background tasks of the entry daemon that fail."""

import asyncio

from tests.entryd.harness import World


def test_poller_goes_on_after_an_unexpected_error():
    """A malformed report ended the task; loads were never asked for again, and nobody
    was told."""

    async def run():
        world = World()
        rounds, poller = [], world.daemon.entry.poller
        round_once = poller._poll_all

        async def fail_first():
            rounds.append(None)
            if len(rounds) == 1:
                raise KeyError("unexpected")
            await round_once()

        poller._poll_all = fail_first
        async with world, asyncio.timeout(10):
            while len(rounds) < 3:
                await asyncio.sleep(0.02)
        return world.metrics.counts["unexpected_errors"]

    assert asyncio.run(run()) == 1
