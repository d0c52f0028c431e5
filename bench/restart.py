"""Measure how long a voter takes to restart after many changes.

Run with ``python -m bench.restart``. Each row restarts one voter on a data folder with
that many changes, and times it from the start to the moment it leads with all of them
applied. ``replayed`` counts the changes that the log replays after the snapshot. The
baseline is the same voter without snapshots.
"""

import asyncio
import statistics
import tempfile
import time
from pathlib import Path

from tornado.netutil import bind_sockets

from bench.voters import DOMAIN, RunningVoter, change
from wigeonspan.consensus import BootstrapMember
from wigeonspan.consensus._task import SNAPSHOT_ENTRIES

CHANGES = (100, 1_000, 10_000)
"""Numbers of changes; 10,000 is about three days at 3,700 changes a day."""

ROUNDS = 7
"""Restarts per row; the median is shown with the extremes."""

GROUP = 50
"""Changes that are proposed together while the folder is filled."""

NO_SNAPSHOTS = 10**9
"""Interval that no run reaches."""


async def run_voter(folder: Path, snapshot_entries: int) -> tuple[RunningVoter, float]:
    """Start a voter alone; return it with the seconds until it leads."""
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
    """Commit changes on a new data folder."""
    voter, _ = await run_voter(folder, snapshot_entries)
    for first in range(0, changes, GROUP):
        group = range(first, min(first + GROUP, changes))
        await asyncio.gather(*(voter.log.propose(change(n)) for n in group))
    await voter.stop()


async def measure(changes: int, snapshot_entries: int) -> str:
    """Return one row of the table."""
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
    middle = statistics.median(times)
    return (
        f"{changes:>8} {replayed:>9} {size / 1e6:>9.2f} "
        f"{middle:>10.1f} {min(times):>8.1f} {max(times):>8.1f}"
    )


async def run() -> None:
    """Print both tables."""
    heading = " changes  replayed folder MB  median ms   min ms   max ms"
    for title, interval in (
        (f"snapshots every {SNAPSHOT_ENTRIES} entries", SNAPSHOT_ENTRIES),
        ("baseline: no snapshots", NO_SNAPSHOTS),
    ):
        print(f"{title}\n{heading}")
        for changes in CHANGES:
            print(await measure(changes, interval), flush=True)


if __name__ == "__main__":
    asyncio.run(run())
