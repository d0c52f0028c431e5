"""A short day of the soak with the real programs."""

import asyncio
import os

import pytest
from msgspec.structs import replace
from standin import Role

from soak._day import run_day
from soak._schedule import FaultKind, make_schedule
from soak._world import World


def test_host_that_is_not_started_yet_is_left_alone(tmp_path):
    """It was started twice; the second process found its addresses in use, was started
    again and again, and loaded the machine (seeds 501, 504, 510)."""
    world = World(make_schedule(100), tmp_path, f"127.{64 + os.getpid() % 128}")

    async def look():
        try:
            await world.add_host(Role.ENTRY)
            world.note_own_ends()
        finally:
            world.close()

    asyncio.run(look())
    assert world.evidence.own_ends == []
    assert world.entries[0].starts == 0


KINDS = (
    FaultKind.CONTROL_KILL,
    FaultKind.ENTRY_KILL,
    FaultKind.LINK_RESET,
    FaultKind.TARGET_CUTS,
    FaultKind.CONFIG_CHANGE,
)


@pytest.mark.timeout(120)
def test_short_day_keeps_every_promise(tmp_path):
    """Kills, a reset link, cut streams and a change within three seconds."""
    schedule = make_schedule(100)
    template = schedule.faults[0]
    faults = tuple(
        replace(template, at=0.5 + 0.5 * n, kind=kind, lasts_s=0.5)
        for n, kind in enumerate(KINDS)
    )
    schedule = replace(schedule, faults=faults, final=None)
    result = asyncio.run(run_day(schedule, tmp_path / "day"))
    assert result.breaks == []
    assert result.served > result.requests / 2
