"""One day: start, traffic with faults, recovery, judgement."""

import asyncio
import random
import socket
import time
from pathlib import Path

from msgspec import Struct

from soak._checks import judge
from soak._evidence import Evidence, Scope
from soak._faults import Faults
from soak._operators import Operators
from soak._schedule import JUDGED_S, RECOVERY_S, Schedule
from soak._traffic import Traffic
from soak._verdict import Break
from soak._world import World

READY_S = 40.0
"""Seconds in which all entries must be ready after the first start; processes of
several days may start at the same time."""

LAG_S = 0.25
"""Delay of the soak's own timers from which on all hosts count as slowed; it is the
sign of a machine that has no processor time left."""

CHECK_S = 0.05
"""Seconds between two looks at processes and at the soak's own timers."""

CALMING_S = 5.0
"""Seconds after the last fault in which open faults are undone."""

NETS = range(1, 64)
"""Second numbers of the loopback addresses that days may use; tests use others."""

NET_PORT = 17199
"""Port that a day holds so that no other day uses its addresses."""


class Result(Struct):
    """Outcome of a day."""

    schedule: Schedule
    breaks: list[Break]
    folder: Path
    requests: int
    served: int
    largest_lag_s: float


async def run_day(schedule: Schedule, folder: Path) -> Result:
    """Run a day and judge it."""
    folder.mkdir(parents=True, exist_ok=True)
    held, net = _hold_net()
    world = World(schedule, folder, net)
    watch = _Watch(world)
    watching = asyncio.create_task(watch.run())
    try:
        await world.start()
        await _play(world)
    finally:
        watching.cancel()
        world.close()
        held.close()
    evidence = world.evidence
    return Result(
        schedule,
        judge(evidence),
        folder,
        len(evidence.calls),
        sum(seen.status == 200 for seen in evidence.calls),
        watch.largest_lag_s,
    )


def _hold_net() -> tuple[socket.socket, str]:
    """Return addresses that no other day uses, and the socket that holds them."""
    for number in NETS:
        held = socket.socket()
        try:
            held.bind((f"127.{number}.9.9", NET_PORT))
        except OSError:
            held.close()
            continue
        return held, f"127.{number}"
    raise RuntimeError("all loopback addresses of the soak are in use")


async def _play(world: World) -> None:
    schedule, evidence = world.schedule, world.evidence
    rng = random.Random(schedule.seed + 1)
    operators, traffic = Operators(world, rng), Traffic(world, rng)
    faults = Faults(world, traffic, operators, random.Random(schedule.seed + 2))
    await operators.change()
    if not await traffic.wait_served(READY_S):
        evidence.own_ends.append("entries were not ready after the start")
    began = evidence.traffic_began = time.monotonic()
    faults_end = began + schedule.faults_end_s
    until = faults_end + RECOVERY_S + JUDGED_S + CALMING_S * bool(schedule.final)
    background = [
        asyncio.create_task(traffic.run(until)),
        asyncio.create_task(traffic.probe(operators, until)),
        asyncio.create_task(operators.read_for(until)),
    ]
    await faults.run(schedule.faults, began)
    if schedule.final is not None:
        await operators.change()
        await faults.finish(schedule.final)
    evidence.recovered_by = time.monotonic() + RECOVERY_S
    evidence.judged_until = max(until, evidence.recovered_by + JUDGED_S)
    if evidence.judged_until > until:
        background.append(asyncio.create_task(traffic.run(evidence.judged_until)))
    await asyncio.gather(*background)
    await traffic.finish()
    evidence.last_version = await _read_last(operators)


async def _read_last(operators: Operators) -> int | None:
    """Read the configuration until a host tells it."""
    end = time.monotonic() + RECOVERY_S
    while time.monotonic() < end:
        version = await operators.read_once()
        if version is not None:
            return version
        await asyncio.sleep(0.1)
    return None


class _Watch:
    """Looks after processes and after the soak's own timers."""

    def __init__(self, world: World) -> None:
        self.largest_lag_s = 0.0
        self._world = world

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            due = time.monotonic() + CHECK_S
            await asyncio.sleep(CHECK_S)
            lag_s = time.monotonic() - due
            self.largest_lag_s = max(self.largest_lag_s, lag_s)
            if lag_s > LAG_S:
                self._note_lag(due)
            self._world.note_own_ends()
            self._world.note_starts()

    def _note_lag(self, due: float) -> None:
        evidence: Evidence = self._world.evidence
        now = time.monotonic()
        evidence.disturb(Scope.CORE, "soak", "machine busy", due, now)
        for host in self._world.entries:
            evidence.disturb(Scope.HOST, host.name, "machine busy", due, now)
