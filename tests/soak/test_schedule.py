"""Tests of the schedules that are drawn from seeds."""

import zlib

import pytest

from soak import _schedule
from soak._schedule import FaultKind, make_schedule


def test_same_seed_gives_the_same_schedule():
    """A failed seed must give the same faults again."""
    assert make_schedule(7) == make_schedule(7)
    assert make_schedule(7) != make_schedule(8)


def test_every_kind_of_fault_is_drawn():
    """A kind that is never drawn would seem to cause no violations."""
    drawn = {fault.kind for seed in range(200) for fault in make_schedule(seed).faults}
    assert drawn == set(FaultKind)


@pytest.mark.parametrize("seed", range(100))
def test_no_more_disks_are_lost_than_the_fleet_is_built_for(seed):
    """With more lost disks, acknowledged configurations are lost by design."""
    schedule = make_schedule(seed)
    disks = (FaultKind.CONTROL_WIPE, FaultKind.CONTROL_REPLACE)
    lost = sum(fault.kind in disks for fault in schedule.faults)
    assert lost <= schedule.losses


@pytest.mark.parametrize(
    ("seed", "checksum"),
    [
        (104, 1178172303),
        (205, 3338866671),
        (501, 181689434),
        (610, 2354455311),
        (625, 925213956),
        (804, 2622574832),
        (1187, 2705952092),
        (4207, 2968315575),
    ],
)
def test_seeds_keep_the_faults_that_they_had(monkeypatch, seed, checksum):
    """With other faults, the seeds that failed before would no longer be repeated.

    The checksums were taken before the newest kinds were added.
    """
    newest = set(make_schedule(seed).faults)
    monkeypatch.setattr(_schedule, "_draw_speeds", lambda rng: [])
    monkeypatch.setattr(_schedule, "_draw_slow_readers", lambda rng: [])
    monkeypatch.setattr(_schedule, "_draw_newest_faults", lambda rng: [])
    monkeypatch.setattr(_schedule, "_draw_rolls_and_cuts", lambda rng: [])
    monkeypatch.setattr(_schedule, "_draw_late_roll", lambda rng, earlier: [])
    schedule = make_schedule(seed)
    assert set(schedule.faults) <= newest
    assert zlib.crc32(repr((schedule.faults, schedule.final)).encode()) == checksum


@pytest.mark.parametrize(
    ("seed", "checksum"),
    [
        (104, 2548438968),
        (205, 218085574),
        (501, 166132549),
        (610, 494154464),
        (625, 1295589308),
        (804, 1327655618),
        (1187, 2948758006),
        (4207, 4213846907),
    ],
)
def test_seeds_keep_their_faults_beside_rolls_and_cuts(monkeypatch, seed, checksum):
    """Stops in turn and cuts from the group were added after all other kinds."""
    newest = set(make_schedule(seed).faults)
    monkeypatch.setattr(_schedule, "_draw_speeds", lambda rng: [])
    monkeypatch.setattr(_schedule, "_draw_slow_readers", lambda rng: [])
    monkeypatch.setattr(_schedule, "_draw_rolls_and_cuts", lambda rng: [])
    monkeypatch.setattr(_schedule, "_draw_late_roll", lambda rng, earlier: [])
    schedule = make_schedule(seed)
    assert set(schedule.faults) <= newest
    assert zlib.crc32(repr((schedule.faults, schedule.final)).encode()) == checksum


@pytest.mark.parametrize(
    ("seed", "checksum"),
    [
        (104, 1917274015),
        (205, 4127340889),
        (501, 166132549),
        (610, 494154464),
        (625, 4194616340),
        (804, 1652306118),
        (1187, 1748573696),
        (4207, 3231634749),
    ],
)
def test_seeds_keep_their_faults_beside_late_requests(monkeypatch, seed, checksum):
    """Stops under late requests were added after all other kinds."""
    newest = set(make_schedule(seed).faults)
    monkeypatch.setattr(_schedule, "_draw_speeds", lambda rng: [])
    monkeypatch.setattr(_schedule, "_draw_slow_readers", lambda rng: [])
    monkeypatch.setattr(_schedule, "_draw_late_roll", lambda rng, earlier: [])
    schedule = make_schedule(seed)
    assert set(schedule.faults) <= newest
    assert zlib.crc32(repr((schedule.faults, schedule.final)).encode()) == checksum


@pytest.mark.parametrize(
    ("seed", "checksum"),
    [
        (104, 1917274015),
        (501, 2056892064),
        (610, 1283230380),
        (625, 4194616340),
        (1043, 1920461649),
        (1549, 3605292633),
        (2176, 2008644771),
        (3073, 2200515962),
    ],
)
def test_seeds_keep_their_faults_beside_uneven_load(monkeypatch, seed, checksum):
    """Uneven load was added after all other kinds, those with tenants included."""
    newest = set(make_schedule(seed).faults)
    monkeypatch.setattr(_schedule, "_draw_speeds", lambda rng: [])
    monkeypatch.setattr(_schedule, "_draw_slow_readers", lambda rng: [])
    schedule = make_schedule(seed)
    assert set(schedule.faults) <= newest
    assert zlib.crc32(repr((schedule.faults, schedule.final)).encode()) == checksum
