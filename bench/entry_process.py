"""Run an entry daemon with a fixed configuration in a separate process.

There are no control hosts, so measurements cover only the work of the entry itself.
"""

import asyncio
import random
from multiprocessing.connection import Connection

from wigeonspan.catalog import (
    CatalogObject,
    Engine,
    EnginePhase,
    ModelService,
    Tenant,
)
from wigeonspan.common import SystemClock, set_up_logs
from wigeonspan.distribution import SyncReply
from wigeonspan.entryd import EntryDaemon, EntrySettings, RelaySettings

LEASE_S = 86_400.0
"""Length of the routing lease in seconds, longer than any measurement."""

SLOTS = 16_384
"""Number of requests that the entry admits at once. It is fixed instead of following
the engine queues, so that every stream of a measurement reaches an engine."""

MODEL = "demo-model"
"""Model name of the stand-in engines."""


def make_snapshot(engines: list[str]) -> list[CatalogObject]:
    """Return a configuration with one service and a tenant without limits."""
    return [
        ModelService("note", MODEL, "1", default_deadline_ms=3_600_000),
        Tenant("default", rate_per_s=1e9, burst=1e9, concurrency=1_000_000),
        *(
            Engine(
                name=f"engine-{number}",
                address=address,
                domain="szeged",
                service="note",
                phase=EnginePhase.SERVING,
                model=MODEL,
                model_version="1",
            )
            for number, address in enumerate(engines)
        ),
    ]


async def _serve(engines: list[str], relay: RelaySettings, pipe: Connection) -> None:
    settings = EntrySettings("entry-1", "szeged", "127.0.0.1:0", [], relay=relay)
    daemon = EntryDaemon(settings, SystemClock(), random.Random(1))
    daemon.start()
    reply = SyncReply(1, LEASE_S, 1, make_snapshot(engines), [], ["entry-1"], {})
    daemon.follower.accept(reply, daemon.entry.clock.now())
    daemon.entry.on_sync()
    daemon.entry._admission.update_slots("note", SLOTS)
    pipe.send(daemon.address)
    await asyncio.Event().wait()


def serve_entry(engines: list[str], relay: RelaySettings, pipe: Connection) -> None:
    """Run the entry daemon until the process is terminated.

    Parameters
    ----------
    engines : list of str
        Addresses of stand-in engines named ``engine-0``, ``engine-1``, ...
    relay : RelaySettings
        Limits of the relay.
    pipe : Connection
        Receives the entry's address once it listens.
    """
    set_up_logs("WARNING")
    asyncio.run(_serve(engines, relay, pipe))
