"""Cost of tenants, metered use and planned fleets at the size to come."""

import random
import time
from collections.abc import Callable

from wigeonspan.common import DomainName, HostId, TenantName, encode
from wigeonspan.fleetconfig import ApiKey, ScalingSpec, TenantSpec
from wigeonspan.scaling import FleetNeed, plan_fleet
from wigeonspan.tenants import KeyTable
from wigeonspan.usage import TrueTime, UsageCollector, UsageCounter

WINDOW_MS = 5000
REQUESTS_PER_ENTRY = 137
"""Requests of an entry in a window of 5 s at 27.5 requests a second."""


def mean_us(work: Callable[[], object], times: int) -> float:
    """Return the mean duration of a function in microseconds."""
    started_at = time.perf_counter()
    for _ in range(times):
        work()
    return (time.perf_counter() - started_at) / times * 1e6


def measure(entries: int, tenants: int) -> str:
    """Return the costs with a number of entries and tenants as a line of text."""
    rng = random.Random(1)
    names = [TenantName(f"tenant-{n}") for n in range(tenants)]
    collector = UsageCollector(WINDOW_MS, TrueTime(lambda: 0))
    shares = []
    for entry in range(entries):
        counter = UsageCounter(f"{entry:016x}", WINDOW_MS, 10_000)
        for _ in range(4 * REQUESTS_PER_ENTRY):
            # A few tenants are large.
            tenant = names[min(tenants - 1, int(rng.paretovariate(0.5)) - 1)]
            counter.add(tenant, rng.randrange(4 * WINDOW_MS))
        shares.append(counter.share(4 * WINDOW_MS))
        collector.record(HostId(f"entry-{entry}"), shares[-1], 1.0)
    share_bytes = sum(len(encode(share)) for share in shares) / entries
    keys = [ApiKey(f"key-{n:040d}") for n in range(2 * tenants)]
    table = KeyTable(
        TenantSpec(n, tuple(keys[i::tenants])) for i, n in enumerate(names)
    )
    return (
        f"{entries} entries, {tenants} tenants: {share_bytes:.0f} bytes of use in a "
        f"heartbeat, {mean_us(lambda: collector.counts(2), 20):.0f} us to add up a "
        f"window, {mean_us(lambda: table.find(keys[-1]), 20_000):.1f} us to find a key"
    )


def measure_plan(domains: int, replicas: int) -> str:
    """Return the cost of a plan of a fleet as a line of text."""
    names = [DomainName(f"d{n}") for n in range(domains)]
    spec = ScalingSpec(1, 1000, 4.0, 0.2, {d: 1.0 for d in names})
    need = FleetNeed(replicas, replicas // 5, replicas // 2)
    return (
        f"{domains} domains, {replicas} replicas: "
        f"{mean_us(lambda: plan_fleet(spec, names, need), 20):.0f} us a plan"
    )


if __name__ == "__main__":
    for size in ((8, 77), (69, 77), (510, 220)):
        print(measure(*size))
    for fleet in ((4, 30), (14, 4800)):
        print(measure_plan(*fleet))
