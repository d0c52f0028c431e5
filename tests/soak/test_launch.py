"""Clock and disk that can be disturbed."""

import errno

import msgspec
import pytest

from soak._launch import SteppedClock, Trouble, TroubleFile, VolatileDisk
from wigeonspan.common import ManualClock


@pytest.fixture
def trouble(tmp_path):
    return TroubleFile(str(tmp_path / "trouble"))


def set_trouble(trouble, **changes):
    trouble._path.write_bytes(msgspec.json.encode(Trouble(**changes)))
    trouble._read_at = float("-inf")


def open_disk(tmp_path, trouble):
    return VolatileDisk(tmp_path / "data", trouble)


def lose_power(disk, tmp_path, trouble):
    disk.close()
    return open_disk(tmp_path, trouble)


def test_only_synced_writes_outlive_a_loss_of_power(tmp_path, trouble):
    """A kill alone keeps what was written, so a missing sync would not be seen."""
    disk = open_disk(tmp_path, trouble)
    disk.create("log", b"one")
    disk.sync("log")
    disk.append("log", b" two")
    assert disk.read("log") == b"one two"
    disk = lose_power(disk, tmp_path, trouble)
    assert disk.read("log") == b"one"


def test_write_beyond_the_end_fills_with_zeros(tmp_path, trouble):
    """The voter's record has slots at fixed offsets."""
    disk = open_disk(tmp_path, trouble)
    disk.create("voter", b"")
    disk.write_at("voter", 4, b"x")
    disk.sync("voter")
    assert lose_power(disk, tmp_path, trouble).read("voter") == b"\0\0\0\0x"


@pytest.mark.parametrize("synced", [False, True])
def test_rename_is_durable_with_its_folder(tmp_path, trouble, synced):
    """A snapshot replaces the one before by a rename."""
    disk = open_disk(tmp_path, trouble)
    disk.create("snapshot", b"old")
    disk.sync("snapshot")
    disk.create("snapshot.new", b"new")
    disk.sync("snapshot.new")
    disk.rename("snapshot.new", "snapshot")
    assert disk.read("snapshot") == b"new"
    assert disk.names() == ["snapshot"]
    if synced:
        disk.sync_folder()
    disk = lose_power(disk, tmp_path, trouble)
    assert disk.read("snapshot") == (b"new" if synced else b"old")


def test_removed_file_comes_back_without_a_sync_of_the_folder(tmp_path, trouble):
    """Files of an old log must not be taken for the current one."""
    disk = open_disk(tmp_path, trouble)
    disk.create("a", b"a")
    disk.sync("a")
    disk.remove("a")
    assert disk.names() == []
    assert lose_power(disk, tmp_path, trouble).names() == ["a"]


def test_full_disk_refuses_writes(tmp_path, trouble):
    """The control host must say so and keep what it has."""
    disk = open_disk(tmp_path, trouble)
    disk.create("log", b"one")
    set_trouble(trouble, disk_full=True)
    with pytest.raises(OSError) as raised:
        disk.append("log", b"two")
    assert raised.value.errno == errno.ENOSPC
    assert disk.read("log") == b"one"


def test_step_changes_the_time_of_day_only(trouble):
    """Time limits must not depend on the time of day."""
    clock = SteppedClock(ManualClock(5.0, 1000), trouble)
    set_trouble(trouble, clock_ahead_s=-0.5)
    assert (clock.now(), clock.wall_ms()) == (5.0, 500)
