"""Copy of the committed configuration."""

from wigeonspan.consensus import FolderDisk
from wigeonspan.coordinator._cache import FILE, CommittedCache
from wigeonspan.fleetconfig import StoredConfig


def test_copy_is_there_after_a_restart(tmp_path):
    """After all control hosts were killed, entries refused every request until the
    election was over although the configuration was known to be committed."""
    cache = CommittedCache(FolderDisk(tmp_path / "c"))
    cache.write(StoredConfig(7, b"{}"))
    cache.close()
    assert CommittedCache(FolderDisk(tmp_path / "c")).read() == StoredConfig(7, b"{}")


def test_damaged_copy_counts_as_none(tmp_path):
    """A torn file must not stop a control host nor be served."""
    cache = CommittedCache(FolderDisk(tmp_path / "c"))
    cache.write(StoredConfig(7, b"{}"))
    path = tmp_path / "c" / FILE
    path.write_bytes(path.read_bytes()[:-1])
    cache.close()
    assert CommittedCache(FolderDisk(tmp_path / "c")).read() == StoredConfig()


def test_empty_folder_has_no_copy(tmp_path):
    """The first start."""
    assert CommittedCache(FolderDisk(tmp_path / "c")).read() == StoredConfig()
