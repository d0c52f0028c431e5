"""Measure the commit latency of three voters on loopback, and their memory.

Run with ``python -m bench.commit``. Each voter is a process of its own with a data
folder of its own on the same disk. The leader's process proposes: first one change at a
time, then 32 and 256 callers at once. Memory is the resident set size before any
proposal and after all of them, with the state machine of ``bench.voters``; CPU is that
of one voter at rest, where only heartbeats go on.
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
from bench.voters import DOMAIN, RunningVoter, change
from wigeonspan.consensus import BootstrapMember

NAMES = ("a", "b", "c")

CALLERS = ((1, 1_000), (32, 6_400), (256, 12_800))
"""Numbers of callers at once, and of changes in all."""

REST_S = 5.0
"""Seconds after the election over which a voter at rest is measured."""


async def propose_all(voter: RunningVoter, callers: int, changes: int) -> str:
    """Commit changes by several callers; return one row of the table."""
    times: list[float] = []

    async def call(first: int) -> None:
        for number in range(first, changes, callers):
            begun = time.perf_counter()
            await voter.log.propose(change(number))
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
    """Run one voter; the leader measures and reports."""
    voter = RunningVoter(name, members[NAMES.index(name)].address, members, folder)
    await voter.start(sockets)
    while voter.log.leader is None:
        await asyncio.sleep(0.02)
    begun = time.process_time()
    await asyncio.sleep(REST_S)
    cpu = 100 * (time.process_time() - begun) / REST_S
    at_rest = resident_mb(os.getpid())
    rows = []
    if voter.log.is_leader:
        for callers, changes in CALLERS:
            rows.append(await propose_all(voter, callers, changes))
        pipe.send("measured")
    while not await asyncio.to_thread(pipe.poll, 0.1):
        pass
    role = "leader" if voter.log.is_leader else "follower"
    pipe.send((role, cpu, at_rest, resident_mb(os.getpid()), rows))
    await voter.stop()


def run_process(*arguments: object) -> None:
    """Run one voter in a process of the measurement."""
    asyncio.run(run_voter(*arguments))  # type: ignore[arg-type]


def run() -> None:
    """Start the voters and print what they measured."""
    context = multiprocessing.get_context("fork")
    sockets = {name: bind_sockets(0, "127.0.0.1") for name in NAMES}
    members = [
        BootstrapMember(n, f"127.0.0.1:{sockets[n][0].getsockname()[1]}", DOMAIN)
        for n in NAMES
    ]
    with tempfile.TemporaryDirectory() as folder:
        pipes, processes = [], []
        for name in NAMES:
            here, there = context.Pipe()
            arguments = (name, sockets[name], members, Path(folder) / name, there)
            process = context.Process(target=run_process, args=arguments)
            process.start()
            pipes.append(here)
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
    for role, cpu, at_rest, after, _ in reports:
        print(f"{role:<9} {cpu:>13.2f} {at_rest:>11.1f} {after:>9.1f}")


if __name__ == "__main__":
    run()
