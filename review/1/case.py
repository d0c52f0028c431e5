"""A stream that a stopping entry takes 3 to 6 s after SIGTERM is cut off."""

import asyncio
import random
import signal
import sys
import uuid
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from kit import (
    BOUNDS,
    BROKEN,
    HELD,
    CannotRun,
    call,
    configuration,
    engine_service,
    main,
    route,
    trouble,
)

TIMEOUT_S = 10.0
EVENTS, EVENT_S = 40, 0.1
CLIENTS = 6


async def stream(world, address: str, results: list[dict]) -> None:
    """Send one streaming request and record how it ends."""
    name, sent_at = uuid.uuid4().hex[:16], world.record.now()
    world.record.write(f"client sends {name} to {address}")
    fields = {
        "Request-Id": name,
        "Deadline-Ms": "10000",
        "Model": "m",
        "Token-Usage": f"600,{EVENTS}",
        "Prompt-Prefix": f"5c1e07a2:400,{name[:8]}:200",
    }
    answer = await call(address, "POST", "/lohu930/2f", fields, b"x" * 800, wait_s=11.0)
    events = answer["body"].count(b"data:")
    world.record.write(
        f"client has {answer['status']}, {events} events of {name}, "
        f"{'complete' if answer['complete'] else 'cut off: ' + answer['error']}"
    )
    results.append(
        {
            "name": name,
            "address": address,
            "sent_at": sent_at,
            "ended_at": world.record.now(),
            **answer,
        }
    )


async def client(world, until: float, results: list[dict], tasks: set) -> None:
    """Keep an answer of the directory for three times its time, as some clients do."""
    resolved = await world.resolve()
    if resolved is None:
        raise CannotRun("the directory gives no address")
    addresses, ttl_s = resolved
    kept_until = world.record.now() + 3 * ttl_s
    while world.record.now() < min(kept_until, until):
        address = random.choice(addresses)
        tasks.add(asyncio.create_task(stream(world, address, results)))
        await asyncio.sleep(0.5)


async def case(world) -> int:
    """Stop an entry under load; return the result."""
    for stage in ("prefill", "prefill", "decode", "decode"):
        world.add_replica("models", stage=stage, event_s=EVENT_S)
    routes = [
        route(
            "r-1",
            "/lohu930/",
            "streaming",
            "models",
            sticky=True,
            target_gap_ms=250,
            timeout_ms=TIMEOUT_S * 1000,
        )
    ]
    await world.start(configuration(1, routes, [engine_service("models")]))
    # Machines are in touch once their processes have run for contact_ms.
    await asyncio.sleep(BOUNDS["contact_ms"] / 1000 + 1.5)
    results: list[dict] = []
    tasks: set = set()
    stopped = world.edges[0]
    clients = [
        asyncio.create_task(client(world, world.record.now() + 7, results, tasks))
        for _ in range(CLIENTS)
    ]
    await asyncio.sleep(0.3)
    stopped_at = world.record.now()
    if trouble():
        world.record.write(f"SIGTERM to {stopped.front}")
        stopped.signal(signal.SIGTERM)
        # The platform sends SIGKILL after grace_s.
        asyncio.get_running_loop().call_later(
            BOUNDS["grace_s"], stopped.signal, signal.SIGKILL
        )
    await asyncio.gather(*clients)
    await asyncio.gather(*tasks)
    ran = {name for _, _, name in world.runs}
    lost = [
        r
        for r in results
        if r["name"] in ran
        and not r["complete"]
        and r["ended_at"] - r["sent_at"] < TIMEOUT_S - 0.5
        and (not trouble() or r["sent_at"] > stopped_at + 3.0)
    ]
    for r in lost:
        world.record.write(
            f"LOST: {r['name']} was sent {r['sent_at'] - stopped_at:.2f} s after "
            f"SIGTERM, ran, and its connection ended {r['ended_at'] - r['sent_at']:.2f}"
            " s later without a complete answer"
        )
    served = sum(r["complete"] and r["status"] == 200 for r in results)
    world.record.write(
        f"{len(results)} requests, {served} answered completely, {len(lost)} lost"
    )
    if not served:
        raise CannotRun("no request was served")
    return BROKEN if lost else HELD


main(Path(__file__).resolve().parent, case)
