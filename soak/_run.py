"""One soak run: start, traffic with faults, recovery, checks."""

import asyncio
import random
import socket
import time
from pathlib import Path

from msgspec import Struct

from soak._check_types import Violation
from soak._checks import find_violations
from soak._evidence import Evidence, Scope
from soak._faults import Faults
from soak._operators import KEY_START, Operators
from soak._schedule import EVALUATION_S, MAX_RECOVERY_S, Schedule
from soak._traffic import Traffic
from soak._world import World

READY_TIMEOUT_S = 40.0
"""Seconds within which all entries must be ready after the first start; it is long
because processes of several runs may start at the same time."""

LAG_THRESHOLD_S = 0.25
"""Delay in seconds of the soak test's own timers above which all hosts count as
disturbed; such a delay shows that the machine is out of processor time."""

CHECK_INTERVAL_S = 0.05
"""Seconds between two checks of processes and of the soak test's own timers."""

FINAL_FAULT_EXTRA_S = 5.0
"""Seconds of extra traffic after a final fault, in which active faults are undone."""

CLOSE_S = 0.1
"""Seconds in which the sockets of a run are closed."""

NETWORK_NUMBERS = range(1, 64)
"""Values of the second byte of the loopback addresses that runs may use; tests use
others."""

NETWORK_LOCK_PORT = 17199
"""Port that a run binds so that no other run uses the same addresses."""


class Result(Struct):
    """Result of a run.

    Parameters
    ----------
    silences : int
        Silences of sound targets that began.
    prompt_crashes : list of str
        Crashes of targets by prompts, with their seconds after the start of traffic.
    preemptions : int
        Requests that engines with limited memory preempted.
    """

    schedule: Schedule
    breaks: list[Violation]
    folder: Path
    requests: int
    served: int
    largest_lag_s: float
    silences: int = 0
    prompt_crashes: list[str] = []
    preemptions: int = 0


async def run_soak(schedule: Schedule, folder: Path) -> Result:
    """Execute a schedule and check the guarantees afterwards."""
    folder.mkdir(parents=True, exist_ok=True)
    lock_socket, network = _reserve_network()
    world = World(schedule, folder, network)
    monitor = _Monitor(world)
    monitoring = asyncio.create_task(monitor.run())
    try:
        await world.start()
        await _run_traffic_and_faults(world)
    finally:
        monitoring.cancel()
        world.close()
        # The event loop closes the sockets later; another run may bind them after that.
        await asyncio.sleep(CLOSE_S)
        lock_socket.close()
    evidence = world.evidence
    for path in sorted(folder.glob("127*/*")):
        if path.name in ("log", "errors") and KEY_START.encode() in path.read_bytes():
            evidence.files_with_keys.append(f"{path.parent.name}/{path.name}")
    return Result(
        schedule,
        find_violations(evidence),
        folder,
        len(evidence.calls),
        sum(record.status == 200 for record in evidence.calls),
        monitor.largest_lag_s,
        len(evidence.journal.silences),
        [
            f"{crash.at - evidence.traffic_began:.1f} s {'/'.join(sorted(crash.parts))}"
            for crash in evidence.journal.prompt_crashes
        ],
        sum(not overflow.crashed for overflow in evidence.journal.overflows),
    )


def _reserve_network() -> tuple[socket.socket, str]:
    """Reserve loopback addresses that no other run uses.

    Returns
    -------
    socket.socket
        Socket that reserves the addresses until it is closed.
    str
        First two bytes of the addresses, such as "127.1".

    Raises
    ------
    RuntimeError
        If all addresses are in use.
    """
    for number in NETWORK_NUMBERS:
        lock_socket = socket.socket()
        try:
            lock_socket.bind((f"127.{number}.9.9", NETWORK_LOCK_PORT))
        except OSError:
            lock_socket.close()
            continue
        return lock_socket, f"127.{number}"
    raise RuntimeError("all loopback addresses of the soak test are in use")


async def _run_traffic_and_faults(world: World) -> None:
    schedule, evidence = world.schedule, world.evidence
    rng = random.Random(schedule.seed + 1)
    operators, traffic = Operators(world, rng), Traffic(world, rng)
    faults = Faults(world, traffic, operators, random.Random(schedule.seed + 2))
    await operators.change()
    if not await traffic.wait_ready(READY_TIMEOUT_S):
        evidence.unexpected_exits.append("entries were not ready after the start")
    began = evidence.traffic_began = time.monotonic()
    faults_end = began + schedule.faults_end_s
    until = (
        faults_end
        + MAX_RECOVERY_S
        + EVALUATION_S
        + FINAL_FAULT_EXTRA_S * bool(schedule.final)
    )
    background = [
        asyncio.create_task(traffic.run(until)),
        asyncio.create_task(traffic.probe(operators, until)),
        asyncio.create_task(operators.read_until(until)),
    ]
    await faults.run(schedule.faults, began)
    if schedule.final is not None:
        await operators.change()
        await faults.finish(schedule.final)
    evidence.recovered_by = time.monotonic() + MAX_RECOVERY_S
    evidence.evaluation_ends = max(until, evidence.recovered_by + EVALUATION_S)
    if evidence.evaluation_ends > until:
        background.append(asyncio.create_task(traffic.run(evidence.evaluation_ends)))
    await asyncio.gather(*background)
    await traffic.finish()
    # The reports of the last windows are due later. It is 0 without duties.
    await asyncio.sleep(evidence.usage_due_s)
    evidence.observed_until = time.monotonic()
    evidence.last_version = await _read_final_version(operators)


async def _read_final_version(operators: Operators) -> int | None:
    """Read the configuration version until a control host answers."""
    end = time.monotonic() + MAX_RECOVERY_S
    while time.monotonic() < end:
        version = await operators.read_once()
        if version is not None:
            return version
        await asyncio.sleep(0.1)
    return None


class _Monitor:
    """Monitors the processes and the delay of the soak test's own timers."""

    def __init__(self, world: World) -> None:
        self.largest_lag_s = 0.0
        self._world = world

    async def run(self) -> None:
        """Monitor until cancelled."""
        while True:
            due = time.monotonic() + CHECK_INTERVAL_S
            await asyncio.sleep(CHECK_INTERVAL_S)
            lag_s = time.monotonic() - due
            self.largest_lag_s = max(self.largest_lag_s, lag_s)
            if lag_s > LAG_THRESHOLD_S:
                self._record_lag(due)
            self._world.record_unexpected_exits()
            self._world.extend_starts()

    def _record_lag(self, due: float) -> None:
        evidence: Evidence = self._world.evidence
        now = time.monotonic()
        evidence.record_disturbance(Scope.CORE, "soak", "machine busy", due, now)
        for host in self._world.entries:
            evidence.record_disturbance(Scope.HOST, host.name, "machine busy", due, now)
