"""Starts one of the programs with a clock and a disk that can be impaired.

The soak test writes the current impairment into a file, which the program's clock and
disk read.
"""

import signal

if __name__ == "__main__":
    # The programs do the same first, but are imported later here; until then a SIGHUP
    # would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import asyncio  # noqa: E402
import errno  # noqa: E402
import os  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from collections.abc import Callable  # noqa: E402
from pathlib import Path  # noqa: E402

import msgspec  # noqa: E402
from adapter import SETTINGS_VARIABLE  # noqa: E402

from soak._parent import end_with_parent  # noqa: E402
from wigeonspan.common import BootClock, Clock, SystemClock  # noqa: E402
from wigeonspan.consensus import FolderDisk  # noqa: E402

BIND_VARIABLE = "WIGEONSPAN_SOAK_BIND"
"""Environment variable with the address to listen on."""

IMPAIRMENT_VARIABLE = "WIGEONSPAN_SOAK_TROUBLE"
"""Environment variable with the path of the impairment file."""

CACHE_TTL_S = 0.05
"""Seconds for which the content of the impairment file is cached."""


class Impairment(msgspec.Struct):
    """Impairment of a process's clock and disk.

    Parameters
    ----------
    clock_ahead_s : float
        Seconds by which the time of day is ahead; negative if it is behind.
    sync_takes_s : float
        Seconds that each sync to the disk takes longer.
    disk_full : bool
        Whether writes fail with ENOSPC.
    """

    clock_ahead_s: float = 0.0
    sync_takes_s: float = 0.0
    disk_full: bool = False


class ImpairmentFile:
    """Reads the current impairment from a file.

    Parameters
    ----------
    path : str
        File that the soak test writes; it may be missing before the first impairment.
    """

    def __init__(self, path: str) -> None:
        self._path = Path(path)
        self._read_at = float("-inf")
        self._impairment = Impairment()

    @property
    def current(self) -> Impairment:
        """Current impairment, read at most every ``CACHE_TTL_S`` seconds."""
        now = time.monotonic()
        if now - self._read_at > CACHE_TTL_S:
            if self._path.exists():
                text = self._path.read_bytes()
                self._impairment = msgspec.json.decode(text, type=Impairment)
            # Set last: the threads of the clock and of the disk both read here, and
            # neither may take an old impairment for one that was just read.
            self._read_at = now
        return self._impairment


class SteppedClock:
    """Clock whose time of day can be stepped, but not its monotonic time."""

    def __init__(self, clock: Clock, impairment: ImpairmentFile) -> None:
        self._clock = clock
        self._impairment = impairment

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._clock.now()

    def wall_ms(self) -> int:
        """Return the time of day in milliseconds."""
        ahead_ms = round(self._impairment.current.clock_ahead_s * 1000)
        return self._clock.wall_ms() + ahead_ms


class VolatileDisk:
    """Folder that loses unsynced changes when its process is killed.

    Writes stay in the memory of this process until they are synced, so that SIGKILL
    affects them like a power failure. Removals and renames that were not synced with
    the folder are undone as well.
    """

    def __init__(self, folder: str | Path, impairment: ImpairmentFile) -> None:
        self._disk = FolderDisk(folder)
        self._impairment = impairment
        self._unsynced: dict[str, bytearray] = {}
        self._removed: set[str] = set()
        self._renamed: dict[str, str] = {}

    def names(self) -> list[str]:
        """Return the names of all files."""
        durable = {self._renamed.get(n, n) for n in self._disk.names()}
        return sorted((durable | set(self._unsynced)) - self._removed)

    def read(self, name: str) -> bytes:
        """Return the complete content of a file."""
        if name in self._unsynced:
            return bytes(self._unsynced[name])
        if name in self._removed:
            raise FileNotFoundError(name)
        return self._disk.read(self._durable_name(name))

    def read_part(self, name: str, offset: int, size: int) -> bytes:
        """Return a part of a file."""
        return self.read(name)[offset : offset + size]

    def create(self, name: str, data: bytes) -> None:
        """Create or replace a file."""
        self._check_space()
        self._unsynced[name] = bytearray(data)
        self._removed.discard(name)

    def append(self, name: str, data: bytes) -> None:
        """Append to a file."""
        self._check_space()
        self._content(name).extend(data)

    def write_at(self, name: str, offset: int, data: bytes) -> None:
        """Overwrite a part of a file; a gap after its end is filled with zeros."""
        self._check_space()
        content = self._content(name)
        content.extend(bytes(max(0, offset - len(content))))
        content[offset : offset + len(data)] = data

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes."""
        del self._content(name)[size:]

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""
        time.sleep(self._impairment.current.sync_takes_s)
        if name not in self._unsynced:
            return
        self._check_space()
        # Written under another name and renamed: a kill must not leave a synced file
        # half written.
        self._disk.create(f"{name}.soak", bytes(self._unsynced[name]))
        self._disk.rename(f"{name}.soak", self._durable_name(name))
        del self._unsynced[name]

    def sync_folder(self) -> None:
        """Make renames and removals of files durable."""
        time.sleep(self._impairment.current.sync_takes_s)
        for old, new in self._renamed.items():
            if old in self._disk.names():
                self._disk.rename(old, new)
        self._renamed.clear()
        for name in self._removed:
            self._disk.remove(name)
        self._removed.clear()

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing a file of the new name."""
        if old in self._unsynced:
            self._unsynced[new] = self._unsynced.pop(old)
        else:
            self._unsynced.pop(new, None)
            self._renamed[self._durable_name(old)] = new
        self._removed.discard(new)

    def remove(self, name: str) -> None:
        """Remove a file; it is no error if it is missing."""
        self._unsynced.pop(name, None)
        self._removed.add(name)

    def close(self) -> None:
        """Close all files."""
        self._disk.close()

    def _durable_name(self, name: str) -> str:
        by_new = {new: old for old, new in self._renamed.items()}
        return by_new.get(name, name)

    def _content(self, name: str) -> bytearray:
        if name not in self._unsynced:
            self._unsynced[name] = bytearray(self.read(name))
        return self._unsynced[name]

    def _check_space(self) -> None:
        if self._impairment.current.disk_full:
            raise OSError(errno.ENOSPC, "no space left on the disk")


def main() -> None:
    """Run the program given by the first argument, the gateway or the coordinator."""
    end_with_parent()
    path, bind = os.environ[SETTINGS_VARIABLE], os.environ[BIND_VARIABLE]
    impairment = ImpairmentFile(os.environ[IMPAIRMENT_VARIABLE])
    if sys.argv[1] == "gateway":
        import gateway

        work = gateway.serve(path, SteppedClock(SystemClock(), impairment), bind=bind)
    else:
        import coordinator

        make_disk: Callable[[str | Path], VolatileDisk] = lambda f: VolatileDisk(
            f, impairment
        )
        clock = SteppedClock(BootClock(), impairment)
        work = coordinator.serve(path, clock, make_disk, bind=bind)
    asyncio.run(work)


if __name__ == "__main__":
    main()
