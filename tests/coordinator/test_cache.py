"""Tests of the cached copy of the committed configuration."""

import pytest

from wigeonspan.consensus import FolderDisk, encode_frame
from wigeonspan.coordinator._cache import CACHE_FILE, CommittedCache
from wigeonspan.fleetconfig import StoredConfig


def test_cached_configuration_survives_a_restart(tmp_path):
    """The cached configuration can be read after a restart.

    Without it, entries refused every request after all control hosts were killed, until
    the election ended.
    """
    cache = CommittedCache(FolderDisk(tmp_path / "c"))
    cache.write(StoredConfig(7, b"{}"))
    cache.close()
    assert CommittedCache(FolderDisk(tmp_path / "c")).read() == StoredConfig(7, b"{}")


def test_damaged_copy_is_ignored(tmp_path):
    """A truncated file neither stops a control host nor is served to entries."""
    cache = CommittedCache(FolderDisk(tmp_path / "c"))
    cache.write(StoredConfig(7, b"{}"))
    path = tmp_path / "c" / CACHE_FILE
    path.write_bytes(path.read_bytes()[:-1])
    cache.close()
    assert CommittedCache(FolderDisk(tmp_path / "c")).read() == StoredConfig()


def test_empty_folder_has_no_copy(tmp_path):
    """On the first start there is no cached configuration."""
    assert CommittedCache(FolderDisk(tmp_path / "c")).read() == StoredConfig()


@pytest.mark.parametrize(
    "payload",
    [
        b"x",
        b"\x91" * 50_000,
        b"\x81\xa1z" + b"\x91" * 50_000 + b"\xc0",
        b"\x81\xa7version\xa1\xff",
        b"\x81\xa7version\xcb\x7f\xf0" + b"\0" * 6,
    ],
)
def test_copy_that_cannot_be_decoded_is_ignored(tmp_path, payload):
    """A copy with a valid checksum that another version wrote ended the start."""
    disk = FolderDisk(tmp_path / "c")
    disk.create(CACHE_FILE, encode_frame(payload))
    assert CommittedCache(disk).read() == StoredConfig()
