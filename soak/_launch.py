"""Starts one of the programs with a clock and a disk that can be disturbed.

The soak writes what is wrong into a file; the program's clock and disk read it.
"""

import signal

if __name__ == "__main__":
    # As the programs do, which are imported later here.
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
"""Variable with the interface to listen on."""

TROUBLE_VARIABLE = "WIGEONSPAN_SOAK_TROUBLE"
"""Variable with the path of the file that says what is wrong."""

READ_EVERY_S = 0.05
"""Seconds for which the file's content is kept."""


class Trouble(msgspec.Struct):
    """What is wrong with a process's clock and disk."""

    clock_ahead_s: float = 0.0
    sync_takes_s: float = 0.0
    disk_full: bool = False


class TroubleFile:
    """Reads what is wrong now.

    Parameters
    ----------
    path : str
        File written by the soak; missing while nothing is wrong.
    """

    def __init__(self, path: str) -> None:
        self._path = Path(path)
        self._read_at = float("-inf")
        self._trouble = Trouble()

    @property
    def now(self) -> Trouble:
        """What is wrong."""
        if time.monotonic() - self._read_at > READ_EVERY_S:
            self._read_at = time.monotonic()
            if self._path.exists():
                text = self._path.read_bytes()
                self._trouble = msgspec.json.decode(text, type=Trouble)
        return self._trouble


class SteppedClock:
    """Clock whose time of day jumps."""

    def __init__(self, clock: Clock, trouble: TroubleFile) -> None:
        self._clock = clock
        self._trouble = trouble

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._clock.now()

    def wall_ms(self) -> int:
        """Return the time of day in milliseconds."""
        ahead_ms = round(self._trouble.now.clock_ahead_s * 1000)
        return self._clock.wall_ms() + ahead_ms


class VolatileDisk:
    """Folder that loses what was not synced when its process is killed.

    Writes stay in this process until they are synced, so that SIGKILL has the effect of
    a loss of power on them. Names that were removed or given come back with them.
    """

    def __init__(self, folder: str | Path, trouble: TroubleFile) -> None:
        self._disk = FolderDisk(folder)
        self._trouble = trouble
        self._unsynced: dict[str, bytearray] = {}
        self._removed: set[str] = set()
        self._renamed: dict[str, str] = {}

    def names(self) -> list[str]:
        """Return the names of all files."""
        durable = {self._renamed.get(n, n) for n in self._disk.names()}
        return sorted((durable | set(self._unsynced)) - self._removed)

    def read(self, name: str) -> bytes:
        """Return a whole file."""
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
        """Add to the end of a file."""
        self._check_space()
        self._content(name).extend(data)

    def write_at(self, name: str, offset: int, data: bytes) -> None:
        """Overwrite a part of a file."""
        self._check_space()
        content = self._content(name)
        content.extend(bytes(max(0, offset - len(content))))
        content[offset : offset + len(data)] = data

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size."""
        del self._content(name)[size:]

    def sync(self, name: str) -> None:
        """Make a file's contents durable."""
        time.sleep(self._trouble.now.sync_takes_s)
        if name not in self._unsynced:
            return
        self._check_space()
        # Through another name: the kill must not leave half of a synced file.
        self._disk.create(f"{name}.soak", bytes(self._unsynced[name]))
        self._disk.rename(f"{name}.soak", self._durable_name(name))
        del self._unsynced[name]

    def sync_folder(self) -> None:
        """Make created, renamed and removed names durable."""
        time.sleep(self._trouble.now.sync_takes_s)
        for old, new in self._renamed.items():
            if old in self._disk.names():
                self._disk.rename(old, new)
        self._renamed.clear()
        for name in self._removed:
            self._disk.remove(name)
        self._removed.clear()

    def rename(self, old: str, new: str) -> None:
        """Give a file another name."""
        if old in self._unsynced:
            self._unsynced[new] = self._unsynced.pop(old)
        else:
            self._unsynced.pop(new, None)
            self._renamed[self._durable_name(old)] = new
        self._removed.discard(new)

    def remove(self, name: str) -> None:
        """Remove a file; a missing file is no error."""
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
        if self._trouble.now.disk_full:
            raise OSError(errno.ENOSPC, "no space left on the disk")


def main() -> None:
    """Run the program that the first argument names."""
    end_with_parent()
    path, bind = os.environ[SETTINGS_VARIABLE], os.environ[BIND_VARIABLE]
    trouble = TroubleFile(os.environ[TROUBLE_VARIABLE])
    if sys.argv[1] == "gateway":
        import gateway

        work = gateway.serve(path, SteppedClock(SystemClock(), trouble), bind=bind)
    else:
        import coordinator

        make_disk: Callable[[str | Path], VolatileDisk] = lambda f: VolatileDisk(
            f, trouble
        )
        clock = SteppedClock(BootClock(), trouble)
        work = coordinator.serve(path, clock, make_disk, bind=bind)
    asyncio.run(work)


if __name__ == "__main__":
    main()
