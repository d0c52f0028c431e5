"""Tests of the simulated callers of a run."""

import asyncio
import os
import random
from types import SimpleNamespace

from standin import EVENT_INTERVAL_S, CallEnding, Journal, Replica

from soak._schedule import make_schedule
from soak._traffic import Traffic
from tests.soak.samples import make_evidence, rules
from wigeonspan.targets import Phase

ADDRESS = f"127.{64 + os.getpid() % 128}.5.1:17166"


def test_slow_readers_lag_behind_the_stream_and_get_all_of_it():
    """Callers that kept up would fill no buffer of an entry.

    The replica takes the place of the entry. The other entry has been told to stop, and
    a new connection to it may be cut by design.
    """
    running = SimpleNamespace(planned_end=False, address=ADDRESS)
    stopping = SimpleNamespace(planned_end=True, address="127.0.0.1:1")
    world = SimpleNamespace(
        schedule=make_schedule(100),
        evidence=make_evidence(calls=[]),
        entries=[running, stopping],
        direct_address=lambda host: host.address,
    )
    world.evidence.host_by_address[ADDRESS] = "gateway-1"
    traffic = Traffic(world, random.Random(1))

    async def run():
        replica = Replica(
            *("i-1", "models", ADDRESS, ADDRESS, "z1", Journal(), random.Random(1)),
            phase=Phase.DECODE,
        )
        await replica.start()
        await traffic.send_to_slow_readers(1.0)
        await traffic.finish()
        replica.crash()
        await asyncio.sleep(0.01)

    asyncio.run(run())
    records = world.evidence.calls
    assert [record.ending for record in records] == [CallEnding.ANSWERED] * 3
    assert "answer" not in rules(world.evidence)
    for record in records:
        assert record.ended - record.sent_at > 2 * EVENT_INTERVAL_S * record.call.events
