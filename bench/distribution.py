"""Measure how long a change takes to reach all entries, and what syncs cost the leader.

Three control daemons run as processes. The entries are sync tasks in this process. They
run the same code as entry daemons, but send no requests to engines.
"""

import asyncio
import random
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any

from msgspec import Struct

from bench.usage import cpu_time_s, resident_mb
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
"""Changes per number of entries; with 40, two lie above the 95th percentile."""

WINDOW_S = 10.0
"""Time in seconds during which the cost of syncs without changes is measured."""

TENANTS = 20
"""Number of tenants whose rates each entry reports."""


class LeaderCost(Struct, frozen=True):
    """Resources that the leader uses during the measurement.

    Parameters
    ----------
    syncs_per_s : float
        Syncs per second that the entries sent.
    bytes_per_sync : float
        Mean size of bodies and headers of request and response, without TCP and IP.
    core_percent : float
        Processor time of the leader in percent of one core.
    memory_mb : float
        Resident memory of the leader at the end, in MB.
    """

    syncs_per_s: float
    bytes_per_sync: float
    core_percent: float
    memory_mb: float


class CountingClient:
    """HTTP client that counts syncs and their bytes.

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
        """Send a request and count it and its bytes."""
        response = await self._client.fetch(request, **options)
        self.syncs += 1
        self.bytes += len(request.body) + len(response.body)
        self.bytes += len(str(request.headers)) + len(str(response.headers))
        return response

    def close(self) -> None:
        """Close all connections."""
        self._client.close()


def main(sizes: tuple[int, ...] = (8, 32, 128)) -> None:
    """Measure each number of entries in ``sizes`` with the same control daemons."""
    set_up_logs("ERROR")
    with tempfile.TemporaryDirectory(prefix="wigeonspan-bench-") as name:
        with ProcessGroup(Path(name)) as processes:
            deployment = Deployment(
                processes, Path(name), DeploymentOptions(entries=0, engines=0)
            )
            deployment.start_daemons()
            asyncio.run(_measure_all(deployment, sizes))
            processes.terminate_all()


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
) -> tuple[LeaderCost, list[float]]:
    counter = CountingClient(size)
    tasks = [_make_entry(deployment, counter, number, size) for number in range(size)]
    followers = [follower for follower, _ in tasks]
    running = [asyncio.create_task(task.run()) for _, task in tasks]
    while not all(follower.lease_valid(time.monotonic()) for follower in followers):
        await asyncio.sleep(0.1)
    await asyncio.sleep(1.0)
    name = await asyncio.to_thread(deployment.leader)
    leader = deployment.processes.pid(str(name))
    cost = await _measure_cost(counter, leader)
    delays = [
        await _time_change(session, followers, number) for number in range(CHANGES)
    ]
    for sync_task in running:
        sync_task.cancel()
    await asyncio.gather(*running, return_exceptions=True)
    counter.close()
    return cost, delays


def _make_entry(
    deployment: Deployment, client: Any, number: int, size: int
) -> tuple[Follower, SyncTask]:
    rates = {TenantName(f"tenant-{n}"): float(n + number) for n in range(TENANTS)}
    observations = Observations(tenant_rates=rates)
    follower = Follower(HostId(f"entry-{number}"), f"{size}-{number}")
    task = SyncTask(
        follower,
        "127.0.0.1:1",
        DomainName("szeged"),
        deployment.internal,
        lambda: observations,
        client,
        SystemClock(),
        random.Random(number),
    )
    return follower, task


async def _measure_cost(counter: CountingClient, leader: int) -> LeaderCost:
    syncs, size, cpu_s = counter.syncs, counter.bytes, cpu_time_s(leader)
    began = time.monotonic()
    await asyncio.sleep(WINDOW_S)
    elapsed_s = time.monotonic() - began
    syncs = counter.syncs - syncs
    return LeaderCost(
        syncs_per_s=syncs / elapsed_s,
        bytes_per_sync=(counter.bytes - size) / max(1, syncs),
        core_percent=100.0 * (cpu_time_s(leader) - cpu_s) / elapsed_s,
        memory_mb=resident_mb(leader),
    )


async def _time_change(
    session: Session, followers: list[Follower], number: int
) -> float:
    """Make a change; return the seconds from its acceptance until it is in force.

    A change is in force once every entry has applied it and the leader knows that.
    """
    await asyncio.sleep(0.05 + 0.5 * random.Random(number).random())
    present = await asyncio.to_thread(session.get, "tenant", "changing")
    base = present.version if present is not None else Version(0)
    change = PutObject(Tenant(TenantName("changing"), rate_per_s=1.0 + number))
    outcome = await asyncio.to_thread(session.apply, change, base, "bench")
    accepted_at = time.monotonic()
    while True:
        all_applied = all(follower.version >= outcome.version for follower in followers)
        report = await asyncio.to_thread(session.in_force, outcome.version)
        if report.in_force:
            break
    if not all_applied and not all(f.version >= outcome.version for f in followers):
        raise DeploymentError(
            "the leader reports a version as in force that an entry has not applied"
        )
    return time.monotonic() - accepted_at


if __name__ == "__main__":
    main()
