"""Measure how long a voter takes to restart after many changes.

Run with ``python -m bench.restart``. Each row restarts a voter whose data folder
holds that many changes and measures the time from its start until it is the leader with
all of them applied. ``replayed`` is the number of changes that are replayed from the
log after the snapshot. The baseline is the same voter without snapshots.
"""

import asyncio
import statistics
import tempfile
import time
from pathlib import Path

from tornado.netutil import bind_sockets

from bench.voters import DOMAIN, RunningVoter, make_change
from wigeonspan.consensus import BootstrapMember
from wigeonspan.consensus._task import SNAPSHOT_ENTRIES

CHANGES = (100, 1_000, 10_000)
"""Numbers of changes; 10,000 is about three days at 3,700 changes a day."""

ROUNDS = 7
"""Restarts per row; the row shows median, minimum and maximum."""

BATCH_SIZE = 50
"""Number of changes proposed concurrently while the data folder is filled."""

NO_SNAPSHOT_INTERVAL = 10**9
"""Snapshot interval that is never reached, in log entries."""


async def run_voter(folder: Path, snapshot_entries: int) -> tuple[RunningVoter, float]:
    """Start a single voter; return it and the seconds until it is the leader."""
    sockets = bind_sockets(0, "127.0.0.1")
    address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
    member = BootstrapMember("a", address, DOMAIN)
    voter = RunningVoter("a", address, [member], folder, snapshot_entries)
    begun = time.perf_counter()
    await voter.start(sockets)
    while not voter.log.is_leader:
        await asyncio.sleep(0.001)
    return voter, time.perf_counter() - begun


async def fill(folder: Path, changes: int, snapshot_entries: int) -> None:
    """Commit changes to a new data folder."""
    voter, _ = await run_voter(folder, snapshot_entries)
    for first in range(0, changes, BATCH_SIZE):
        batch = range(first, min(first + BATCH_SIZE, changes))
        await asyncio.gather(*(voter.log.propose(make_change(n)) for n in batch))
    await voter.stop()


async def measure(changes: int, snapshot_entries: int) -> str:
    """Measure restarts after ``changes`` changes; return one row of the table."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name) / "data"
        await fill(folder, changes, snapshot_entries)
        size = sum(path.stat().st_size for path in folder.iterdir())
        times = []
        for _ in range(ROUNDS):
            voter, seconds = await run_voter(folder, snapshot_entries)
            times.append(1000 * seconds)
            replayed = voter.table.applied
            await voter.stop()
    median_ms = statistics.median(times)
    return (
        f"{changes:>8} {replayed:>9} {size / 1e6:>9.2f} "
        f"{median_ms:>10.1f} {min(times):>8.1f} {max(times):>8.1f}"
    )


async def run() -> None:
    """Measure and print the tables with and without snapshots."""
    heading = " changes  replayed folder MB  median ms   min ms   max ms"
    for title, interval in (
        (f"snapshots every {SNAPSHOT_ENTRIES} entries", SNAPSHOT_ENTRIES),
        ("baseline: no snapshots", NO_SNAPSHOT_INTERVAL),
    ):
        print(f"{title}\n{heading}")
        for changes in CHANGES:
            print(await measure(changes, interval), flush=True)


if __name__ == "__main__":
    asyncio.run(run())
