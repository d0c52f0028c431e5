"""Tests of the clock and the disk that can be impaired."""

import errno

import msgspec
import pytest

from soak._launch import Impairment, ImpairmentFile, SteppedClock, VolatileDisk
from wigeonspan.common import ManualClock


@pytest.fixture
def impairment(tmp_path):
    return ImpairmentFile(str(tmp_path / "trouble"))


def set_impairment(impairment, **changes):
    impairment._path.write_bytes(msgspec.json.encode(Impairment(**changes)))
    impairment._read_at = float("-inf")


def open_disk(tmp_path, impairment):
    return VolatileDisk(tmp_path / "data", impairment)


def lose_power(disk, tmp_path, impairment):
    disk.close()
    return open_disk(tmp_path, impairment)


def test_only_synced_writes_outlive_a_loss_of_power(tmp_path, impairment):
    """A plain kill keeps unsynced writes, so it would not show a missing sync."""
    disk = open_disk(tmp_path, impairment)
    disk.create("log", b"one")
    disk.sync("log")
    disk.append("log", b" two")
    assert disk.read("log") == b"one two"
    disk = lose_power(disk, tmp_path, impairment)
    assert disk.read("log") == b"one"


def test_write_beyond_the_end_fills_with_zeros(tmp_path, impairment):
    """The voter's record is written in slots at fixed offsets."""
    disk = open_disk(tmp_path, impairment)
    disk.create("voter", b"")
    disk.write_at("voter", 4, b"x")
    disk.sync("voter")
    assert lose_power(disk, tmp_path, impairment).read("voter") == b"\0\0\0\0x"


@pytest.mark.parametrize("synced", [False, True])
def test_rename_is_durable_with_its_folder(tmp_path, impairment, synced):
    """A new snapshot replaces the previous one by a rename."""
    disk = open_disk(tmp_path, impairment)
    disk.create("snapshot", b"old")
    disk.sync("snapshot")
    disk.create("snapshot.new", b"new")
    disk.sync("snapshot.new")
    disk.rename("snapshot.new", "snapshot")
    assert disk.read("snapshot") == b"new"
    assert disk.names() == ["snapshot"]
    if synced:
        disk.sync_folder()
    disk = lose_power(disk, tmp_path, impairment)
    assert disk.read("snapshot") == (b"new" if synced else b"old")


def test_removed_file_comes_back_without_a_sync_of_the_folder(tmp_path, impairment):
    """A removed log may come back and must not be taken for the current one."""
    disk = open_disk(tmp_path, impairment)
    disk.create("a", b"a")
    disk.sync("a")
    disk.remove("a")
    assert disk.names() == []
    assert lose_power(disk, tmp_path, impairment).names() == ["a"]


def test_full_disk_refuses_writes(tmp_path, impairment):
    """A control host must get an error from a full disk and keep its content."""
    disk = open_disk(tmp_path, impairment)
    disk.create("log", b"one")
    set_impairment(impairment, disk_full=True)
    with pytest.raises(OSError) as raised:
        disk.append("log", b"two")
    assert raised.value.errno == errno.ENOSPC
    assert disk.read("log") == b"one"


def test_step_changes_the_time_of_day_only(impairment):
    """Time limits use the monotonic clock and must not depend on the wall clock."""
    clock = SteppedClock(ManualClock(5.0, 1000), impairment)
    set_impairment(impairment, clock_ahead_s=-0.5)
    assert (clock.now(), clock.wall_ms()) == (5.0, 500)


def test_impairment_is_not_stale_while_another_thread_reads_it(impairment):
    """A write took a full disk for an empty one and its sync then failed (seed 721).

    The clock's thread was reading the file at that moment.
    """

    class PathReadTwice:
        def __init__(self, path):
            self.path = path
            self.seen_meanwhile = None

        def exists(self):
            return True

        def read_bytes(self):
            if self.seen_meanwhile is None:
                self.seen_meanwhile = ()
                self.seen_meanwhile = impairment.current
            return self.path.read_bytes()

    set_impairment(impairment, disk_full=True)
    path = impairment._path = PathReadTwice(impairment._path)
    assert impairment.current.disk_full
    assert path.seen_meanwhile.disk_full
