"""Distribution: time until a change is in force, and its cost on the leader.

Three control daemons run as processes. The entries are sync tasks in this process,
which is the code that entry daemons run; they send no requests to engines.
"""

import asyncio
import random
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any

from msgspec import Struct

from bench.usage import processor_s, resident_mb
from testbed import Deployment, DeploymentError, DeploymentOptions, ProcessGroup
from wigeonspan.catalog import PutObject, Tenant
from wigeonspan.common import (
    DomainName,
    HostId,
    SystemClock,
    TenantName,
    Version,
    set_up_logs,
)
from wigeonspan.distribution import Follower
from wigeonspan.distribution.tasks import Observations, SyncTask
from wigeonspan.http import make_client
from wigeonspan.operators._client import OperatorClient
from wigeonspan.operators._session import Session

CHANGES = 40
"""Changes per number of entries; the 95th percentile then rests on two of them."""

WINDOW_S = 10.0
"""Time over which the cost of syncs without changes is measured."""

TENANTS = 20
"""Tenants whose rates each entry reports."""


class Cost(Struct, frozen=True):
    """Cost of the leader over a window.

    Parameters
    ----------
    syncs_per_s : float
        Syncs that the entries sent.
    bytes_per_sync : float
        Bodies and headers of request and answer, without TCP and IP.
    core_percent : float
        Processor time of the leader as a part of one core.
    memory_mb : float
        Resident memory of the leader at the end.
    """

    syncs_per_s: float
    bytes_per_sync: float
    core_percent: float
    memory_mb: float


class CountingClient:
    """Curl client that counts syncs and their bytes.

    Parameters
    ----------
    entries : int
        Number of sync tasks that share the client.
    """

    def __init__(self, entries: int) -> None:
        self._client = make_client(entries)
        self.syncs = 0
        self.bytes = 0

    async def fetch(self, request: Any, **options: Any) -> Any:
        """Fetch and count."""
        response = await self._client.fetch(request, **options)
        self.syncs += 1
        self.bytes += len(request.body) + len(response.body)
        self.bytes += len(str(request.headers)) + len(str(response.headers))
        return response

    def close(self) -> None:
        """Close all connections."""
        self._client.close()


def main(sizes: tuple[int, ...] = (8, 32, 128)) -> None:
    """Measure each number of entries against the same three control daemons."""
    set_up_logs("ERROR")
    with tempfile.TemporaryDirectory(prefix="wigeonspan-bench-") as name:
        with ProcessGroup(Path(name)) as fleet:
            deployment = Deployment(
                fleet, Path(name), DeploymentOptions(entries=0, engines=0)
            )
            deployment.start_daemons()
            asyncio.run(_measure_all(deployment, sizes))
            fleet.terminate_all()


async def _measure_all(deployment: Deployment, sizes: tuple[int, ...]) -> None:
    client = OperatorClient(deployment.operators, timeout_s=15.0)
    session = Session(client, "bench")
    await asyncio.to_thread(session.get, "policy", "policy")
    print("entries  syncs/s  bytes/sync  core %  MB    in force s: p50   p95    max")
    for size in sizes:
        cost, delays = await _measure(deployment, session, size)
        delays.sort()
        p95 = statistics.quantiles(delays, n=20)[-1]
        print(
            f"{size:7d}  {cost.syncs_per_s:7.1f}  {cost.bytes_per_sync:10.0f}"
            f"  {cost.core_percent:6.2f}  {cost.memory_mb:4.0f}"
            f"  {statistics.median(delays):14.3f}  {p95:5.3f}  {delays[-1]:5.3f}",
            flush=True,
        )
    client.close()


async def _measure(
    deployment: Deployment, session: Session, size: int
) -> tuple[Cost, list[float]]:
    counter = CountingClient(size)
    tasks = [_entry(deployment, counter, number, size) for number in range(size)]
    followers = [follower for follower, _ in tasks]
    running = [asyncio.create_task(task.run()) for _, task in tasks]
    while not all(follower.lease_valid(time.monotonic()) for follower in followers):
        await asyncio.sleep(0.1)
    await asyncio.sleep(1.0)
    name = await asyncio.to_thread(deployment.leader)
    leader = deployment.fleet.pid(str(name))
    cost = await _cost(counter, leader)
    delays = [await _change(session, followers, number) for number in range(CHANGES)]
    for each in running:
        each.cancel()
    await asyncio.gather(*running, return_exceptions=True)
    counter.close()
    return cost, delays


def _entry(
    deployment: Deployment, client: Any, number: int, size: int
) -> tuple[Follower, SyncTask]:
    rates = {TenantName(f"tenant-{n}"): float(n + number) for n in range(TENANTS)}
    seen = Observations(tenant_rates=rates)
    follower = Follower(HostId(f"entry-{number}"), f"{size}-{number}")
    task = SyncTask(
        follower,
        "127.0.0.1:1",
        DomainName("szeged"),
        deployment.internal,
        lambda: seen,
        client,
        SystemClock(),
        random.Random(number),
    )
    return follower, task


async def _cost(counter: CountingClient, leader: int) -> Cost:
    syncs, size, cpu_s = counter.syncs, counter.bytes, processor_s(leader)
    began = time.monotonic()
    await asyncio.sleep(WINDOW_S)
    elapsed_s = time.monotonic() - began
    syncs = counter.syncs - syncs
    return Cost(
        syncs_per_s=syncs / elapsed_s,
        bytes_per_sync=(counter.bytes - size) / max(1, syncs),
        core_percent=100.0 * (processor_s(leader) - cpu_s) / elapsed_s,
        memory_mb=resident_mb(leader),
    )


async def _change(session: Session, followers: list[Follower], number: int) -> float:
    """Make a change; return the time from its acceptance until it is in force.

    It is in force when each entry routes by it and the leader knows that.
    """
    await asyncio.sleep(0.05 + 0.5 * random.Random(number).random())
    present = await asyncio.to_thread(session.get, "tenant", "changing")
    base = present.version if present is not None else Version(0)
    change = PutObject(Tenant(TenantName("changing"), rate_per_s=1.0 + number))
    outcome = await asyncio.to_thread(session.apply, change, base, "bench")
    accepted_at = time.monotonic()
    while True:
        held = all(follower.version >= outcome.version for follower in followers)
        report = await asyncio.to_thread(session.in_force, outcome.version)
        if report.in_force:
            break
    if not held and not all(f.version >= outcome.version for f in followers):
        raise DeploymentError(
            "the leader reports a version in force that an entry lacks"
        )
    return time.monotonic() - accepted_at


if __name__ == "__main__":
    main()
