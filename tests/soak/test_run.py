"""Short soak run with the real programs."""

import asyncio
import os
import socket

import pytest
from msgspec.structs import replace
from standin import INTERNAL_PORT, Role

from soak import _run
from soak._run import run_soak
from soak._schedule import EngineMemory, FaultKind, make_schedule
from soak._world import World


def test_host_that_is_not_started_yet_is_left_alone(tmp_path):
    """A host that was added but not started yet counted as ended and was started twice.

    The second process found its addresses in use and was restarted over and over, which
    overloaded the machine (seeds 501, 504, 510).
    """
    world = World(make_schedule(100), tmp_path, f"127.{64 + os.getpid() % 128}")

    async def check():
        try:
            await world.add_host(Role.ENTRY)
            world.record_unexpected_exits()
        finally:
            world.close()

    asyncio.run(check())
    assert world.evidence.unexpected_exits == []
    assert world.entries[0].starts == 0


def test_addresses_of_a_run_are_free_before_its_checks(tmp_path, monkeypatch):
    """A run that began while another one was at its checks found an address in use."""
    addresses = []

    async def start(world):
        host = await world.add_host(Role.CONTROL)
        addresses.append((host.machine.ip, INTERNAL_PORT))

    async def pass_by(world):
        pass

    def bind(evidence):
        with socket.socket(type=socket.SOCK_DGRAM) as other:
            other.bind(addresses[0])
        return []

    monkeypatch.setattr(World, "start", start)
    monkeypatch.setattr(_run, "_run_traffic_and_faults", pass_by)
    monkeypatch.setattr(_run, "find_violations", bind)
    result = asyncio.run(run_soak(make_schedule(100), tmp_path / "run"))
    assert addresses and result.breaks == []


KINDS = (
    FaultKind.CONTROL_KILL,
    FaultKind.ENTRY_KILL,
    FaultKind.LINK_RESET,
    FaultKind.TARGET_CUTS,
    FaultKind.CONFIG_CHANGE,
)


@pytest.mark.timeout(120)
def test_short_run_has_no_violations(tmp_path):
    """Two kills, a reset link, cut streams and a new configuration within 3 s."""
    schedule = make_schedule(100)
    template = schedule.faults[0]
    faults = tuple(
        replace(template, at=0.5 + 0.5 * n, kind=kind, lasts_s=0.5)
        for n, kind in enumerate(KINDS)
    )
    schedule = replace(schedule, faults=faults, final=None)
    result = asyncio.run(run_soak(schedule, tmp_path / "day"))
    assert result.breaks == []
    assert result.served > result.requests / 2


@pytest.mark.parametrize("memory", [None, EngineMemory(20_000, crashes=True)])
def test_settings_name_the_contract_where_engines_have_limited_memory(tmp_path, memory):
    """Without the contract entries would fill engines, as they are allowed to."""
    schedule = replace(make_schedule(100), engine_memory=memory)
    world = World(schedule, tmp_path, f"127.{64 + os.getpid() % 128}")

    async def check():
        try:
            host = await world.add_host(Role.ENTRY)
            world.write_settings(first=True)
            return host.machine.settings.read_text()
        finally:
            world.close()

    assert ("contracts=pressure\n" in asyncio.run(check())) is (memory is not None)


def test_entries_have_the_limits_of_their_sizes_and_control_hosts_none(tmp_path):
    """With equal settings, the weights of entries would never differ in a run."""
    schedule = replace(make_schedule(100), entry_sizes=(1.0, 0.3))
    world = World(schedule, tmp_path, f"127.{64 + os.getpid() % 128}")

    async def check():
        try:
            hosts = [await world.add_host(Role.ENTRY) for _ in range(3)]
            hosts.append(await world.add_host(Role.CONTROL))
            world.write_settings(first=True)
            return [host.machine.settings.read_text() for host in hosts]
        finally:
            world.close()

    def limits(text):
        return [line for line in text.splitlines() if line.startswith("limits.")]

    large, small, added, control = map(limits, asyncio.run(check()))
    assert (
        large
        == added
        == [
            "limits.memory_mb=440",
            "limits.max_fds=4096",
            "limits.cpu_share=0.43",
            "limits.cores=3.0",
            "limits.bandwidth_mbps=12.5",
        ]
    )
    assert small == [
        "limits.memory_mb=160",
        "limits.max_fds=1229",
        "limits.cpu_share=0.43",
        "limits.cores=0.9",
        "limits.bandwidth_mbps=3.75",
    ]
    assert control == []
