"""File operations of one data folder, with explicit syncs."""

import contextlib
import fcntl
import os
from pathlib import Path
from typing import Protocol


class Disk(Protocol):
    """Files of one flat folder; changes are durable only after a sync.

    ``sync`` makes file contents durable; ``sync_folder`` makes the creation, renaming
    and removal of files durable.
    """

    def names(self) -> list[str]:
        """Return the names of all files."""
        ...

    def read(self, name: str) -> bytes:
        """Return the contents of a file."""
        ...

    def read_part(self, name: str, offset: int, size: int) -> bytes:
        """Return a part of a file."""
        ...

    def create(self, name: str, data: bytes) -> None:
        """Create or replace a file."""
        ...

    def append(self, name: str, data: bytes) -> None:
        """Add to the end of a file."""
        ...

    def write_at(self, name: str, offset: int, data: bytes) -> None:
        """Overwrite a part of a file."""
        ...

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size."""
        ...

    def sync(self, name: str) -> None:
        """Make a file's contents durable."""
        ...

    def sync_folder(self) -> None:
        """Make created, renamed and removed names durable."""
        ...

    def rename(self, old: str, new: str) -> None:
        """Give a file another name."""
        ...

    def remove(self, name: str) -> None:
        """Remove a file; a missing file is no error."""
        ...

    def close(self) -> None:
        """Close all files."""
        ...


class FolderDisk:
    """Disk backed by a folder of the file system.

    Parameters
    ----------
    folder : str or Path
        Data folder; created when it is missing.

    Raises
    ------
    OSError
        When the folder cannot be used, or another process is using it.
    """

    def __init__(self, folder: str | Path) -> None:
        self._folder = Path(folder)
        self._descriptors: dict[str, int] = {}
        if not self._folder.is_dir():
            self._folder.mkdir(parents=True)
            _sync_path(self._folder.parent)
        # Two processes on one folder could cast two votes with the same identity.
        flags = os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC
        self._lock = os.open(self._folder, flags)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._lock)
            raise OSError(error.errno, f"{folder} is in use") from error

    def names(self) -> list[str]:
        """Return the names of all files."""
        return sorted(p.name for p in self._folder.iterdir() if p.is_file())

    def read(self, name: str) -> bytes:
        """Return the contents of a file."""
        return (self._folder / name).read_bytes()

    def read_part(self, name: str, offset: int, size: int) -> bytes:
        """Return a part of a file."""
        with open(self._folder / name, "rb") as file:
            return os.pread(file.fileno(), size, offset)

    def create(self, name: str, data: bytes) -> None:
        """Create or replace a file."""
        self._close(name)
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        self._descriptors[name] = os.open(self._folder / name, flags, 0o600)
        self.write_at(name, 0, data)

    def append(self, name: str, data: bytes) -> None:
        """Add to the end of a file."""
        size = os.fstat(self._descriptor(name)).st_size
        self.write_at(name, size, data)

    def write_at(self, name: str, offset: int, data: bytes) -> None:
        """Overwrite a part of a file."""
        descriptor = self._descriptor(name)
        view = memoryview(data)
        while view:
            written = os.pwrite(descriptor, view, offset)
            view, offset = view[written:], offset + written

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size."""
        os.ftruncate(self._descriptor(name), size)

    def sync(self, name: str) -> None:
        """Make a file's contents durable."""
        os.fsync(self._descriptor(name))

    def sync_folder(self) -> None:
        """Make created, renamed and removed names durable."""
        _sync_path(self._folder)

    def rename(self, old: str, new: str) -> None:
        """Give a file another name."""
        self._close(new)
        os.rename(self._folder / old, self._folder / new)
        if old in self._descriptors:
            self._descriptors[new] = self._descriptors.pop(old)

    def remove(self, name: str) -> None:
        """Remove a file; a missing file is no error."""
        self._close(name)
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self._folder / name)

    def close(self) -> None:
        """Close all files."""
        for name in list(self._descriptors):
            self._close(name)
        os.close(self._lock)

    def _descriptor(self, name: str) -> int:
        if name not in self._descriptors:
            flags = os.O_RDWR | os.O_CLOEXEC
            self._descriptors[name] = os.open(self._folder / name, flags)
        return self._descriptors[name]

    def _close(self, name: str) -> None:
        descriptor = self._descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)


def _sync_path(path: Path) -> None:
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
