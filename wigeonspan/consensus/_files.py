"""Durable file operations that raise the matching kind of storage error."""

import contextlib
import errno
import re
from collections.abc import Iterable, Iterator

from wigeonspan.consensus._disk import Disk
from wigeonspan.consensus._frames import StorageFailed, StorageFull, SyncFull

NEW_SUFFIX = ".new"
"""Suffix of a file that is being written; leftovers are removed at the next start."""

_FULL = (errno.ENOSPC, errno.EDQUOT)


def numbered_files(names: Iterable[str], prefix: str) -> list[str]:
    """Return the names that consist of a prefix and a number of 16 digits.

    Operators and tools leave copies beside the files of a data folder. Such a copy must
    neither be read as the newest file nor be removed.
    """
    pattern = re.compile(re.escape(prefix) + "[0-9]{16}")
    return [name for name in names if pattern.fullmatch(name)]


@contextlib.contextmanager
def translate_os_errors(name: str) -> Iterator[None]:
    """Convert ``OSError`` to ``StorageFull`` or ``StorageFailed``."""
    try:
        yield
    except OSError as error:
        if error.errno in _FULL:
            raise StorageFull(f"{name}: no space left") from error
        raise StorageFailed(f"{name}: {error}") from error


def sync(disk: Disk, name: str | None) -> None:
    """Sync a file, or the folder when ``name`` is None.

    Raises
    ------
    SyncFull
        When the sync of a file found no space.
    StorageFailed
        On any other error: the kernel may have dropped any data, and a later sync would
        succeed without writing it. A folder's names cannot be written again, so a sync
        of the folder that finds no space is such an error as well.
    """
    try:
        if name is None:
            disk.sync_folder()
        else:
            disk.sync(name)
    except OSError as error:
        if name is not None and error.errno in _FULL:
            raise SyncFull(f"{name}: no space left at the sync") from error
        raise StorageFailed(f"{name or 'folder'}: sync failed: {error}") from error


def write_atomically(disk: Disk, name: str, data: bytes) -> None:
    """Create or replace a file atomically: a crash leaves no partial contents."""
    with translate_os_errors(name):
        try:
            disk.create(name + NEW_SUFFIX, data)
            sync(disk, name + NEW_SUFFIX)
        except (OSError, StorageFull) as error:
            disk.remove(name + NEW_SUFFIX)
            raise error
        disk.rename(name + NEW_SUFFIX, name)
        sync(disk, None)
