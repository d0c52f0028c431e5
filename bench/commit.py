"""Measure the commit latency of three voters on loopback, and their memory.

Run with ``python -m bench.commit``. Each voter is a separate process with its own data
folder on the same disk. The leader's process proposes the changes: first one at a time,
then from 32 and from 256 concurrent callers. Memory is the resident set size before the
first and after the last proposal, with the state machine of ``bench.voters``. CPU is
measured on idle voters, which only exchange heartbeats.
"""

import asyncio
import multiprocessing
import os
import tempfile
import time
from multiprocessing.connection import Connection
from pathlib import Path
from socket import socket

from tornado.netutil import bind_sockets

from bench.usage import percentile, resident_mb
from bench.voters import DOMAIN, RunningVoter, make_change
from wigeonspan.consensus import BootstrapMember

NAMES = ("a", "b", "c")

CALLERS = ((1, 1_000), (32, 6_400), (256, 12_800))
"""Pairs of concurrent callers and total changes."""

IDLE_S = 5.0
"""Time in seconds after the election during which an idle voter is measured."""


async def propose_all(voter: RunningVoter, callers: int, changes: int) -> str:
    """Commit changes from concurrent callers; return one row of the table."""
    times: list[float] = []

    async def call(first: int) -> None:
        for number in range(first, changes, callers):
            begun = time.perf_counter()
            await voter.log.propose(make_change(number))
            times.append(1000 * (time.perf_counter() - begun))

    begun = time.perf_counter()
    await asyncio.gather(*(call(first) for first in range(callers)))
    rate = changes / (time.perf_counter() - begun)
    times.sort()
    p50, p95 = percentile(times, 0.5), percentile(times, 0.95)
    return f"{callers:>7} {changes:>8} {p50:>8.2f} {p95:>8.2f} {rate:>10.0f}"


async def run_voter(
    name: str,
    sockets: list[socket],
    members: list[BootstrapMember],
    folder: Path,
    pipe: Connection,
) -> None:
    """Run one voter; on the leader, also measure the commits.

    Every voter sends its role, CPU usage and memory through the pipe.
    """
    voter = RunningVoter(name, members[NAMES.index(name)].address, members, folder)
    await voter.start(sockets)
    while voter.log.leader is None:
        await asyncio.sleep(0.02)
    begun = time.process_time()
    await asyncio.sleep(IDLE_S)
    idle_cpu_percent = 100 * (time.process_time() - begun) / IDLE_S
    idle_mb = resident_mb(os.getpid())
    rows = []
    if voter.log.is_leader:
        for callers, changes in CALLERS:
            rows.append(await propose_all(voter, callers, changes))
        pipe.send("measured")
    while not await asyncio.to_thread(pipe.poll, 0.1):
        pass
    role = "leader" if voter.log.is_leader else "follower"
    pipe.send((role, idle_cpu_percent, idle_mb, resident_mb(os.getpid()), rows))
    await voter.stop()


def run_process(*arguments: object) -> None:
    """Run one voter; entry point of the voter processes."""
    asyncio.run(run_voter(*arguments))  # type: ignore[arg-type]


def run() -> None:
    """Start the voters and print their measurements."""
    context = multiprocessing.get_context("fork")
    sockets = {name: bind_sockets(0, "127.0.0.1") for name in NAMES}
    members = [
        BootstrapMember(n, f"127.0.0.1:{sockets[n][0].getsockname()[1]}", DOMAIN)
        for n in NAMES
    ]
    with tempfile.TemporaryDirectory() as folder:
        pipes, processes = [], []
        for name in NAMES:
            parent_pipe, child_pipe = context.Pipe()
            arguments = (name, sockets[name], members, Path(folder) / name, child_pipe)
            process = context.Process(target=run_process, args=arguments)
            process.start()
            pipes.append(parent_pipe)
            processes.append(process)
        while not any(pipe.poll(0.1) for pipe in pipes):
            pass
        for pipe in pipes:
            if pipe.poll():
                pipe.recv()
            pipe.send("report")
        reports = [pipe.recv() for pipe in pipes]
        for process in processes:
            process.join()
    print("callers  changes   p50 ms   p95 ms  changes/s")
    for row in next(rows for *_, rows in reports if rows):
        print(row)
    print("role      CPU % at rest  MB at rest  MB after")
    for role, idle_cpu_percent, idle_mb, loaded_mb, _ in reports:
        print(f"{role:<9} {idle_cpu_percent:>13.2f} {idle_mb:>11.1f} {loaded_mb:>9.1f}")


if __name__ == "__main__":
    run()
