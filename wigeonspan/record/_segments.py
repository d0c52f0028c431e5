"""Segment files of the record.

Each file ``record-<first entry>.jsonl`` holds consecutive entries, one a line. Entries
wait in memory until they are written out, so that applying a command never fails on a
full disk: the command stays in the log until :meth:`SegmentStore.sync` has succeeded.
"""

import os
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import BinaryIO

from msgspec import Struct

from wigeonspan.common import part_logger
from wigeonspan.record._chain import decode_line, encode_line, head_after
from wigeonspan.record._errors import RecordFault
from wigeonspan.record._messages import RecordEntry, RecordHead

SEGMENT_BYTES = 4 * 1024 * 1024
"""Size at which a new segment begins; the last one is read whole at the start."""

WRITE_BYTES = 64 * 1024
"""Entries that gather in memory before they are written, in bytes."""

_PREFIX = "record-"
_SUFFIX = ".jsonl"

_log = part_logger("record")


class Run(Struct, frozen=True):
    """Consecutive entries and the chain at their ends."""

    first: int
    previous: str
    head: RecordHead


class Segment:
    """One file and the chain at its ends."""

    def __init__(self, path: Path, first: RecordEntry, head: RecordHead, size: int):
        self.path = path
        self.first = first.seq
        self.previous = first.previous
        self.head = head
        self.size = size


class SegmentStore:
    """All segments of one folder.

    Parameters
    ----------
    folder : Path
        Folder of the record; created when absent.
    segment_bytes : int
        Size at which a new segment begins.
    """

    def __init__(self, folder: Path, segment_bytes: int = SEGMENT_BYTES) -> None:
        self._folder = folder
        self._segment_bytes = segment_bytes
        self._lock = threading.RLock()
        self._pending: list[RecordEntry] = []
        self._pending_bytes = 0
        self._dirty: set[Path] = set()
        self._failure: OSError | None = None
        self._hashes: tuple[Path | None, dict[int, str]] = (None, {})
        folder.mkdir(parents=True, exist_ok=True)
        self._segments = self._open_all()

    @property
    def failure(self) -> OSError | None:
        """Why a sync failed; None as long as all is well."""
        return self._failure

    @property
    def paths(self) -> list[Path]:
        """Files in order."""
        with self._lock:
            return [segment.path for segment in self._segments]

    def runs(self) -> list[Run]:
        """Return the runs of consecutive entries that are held, in order."""
        with self._lock:
            runs = [Run(s.first, s.previous, s.head) for s in self._segments]
            for entry in self._pending:
                runs.append(Run(entry.seq, entry.previous, head_after(entry)))
        return runs

    @property
    def head(self) -> RecordHead:
        """Last entry that is held, written or not."""
        if self._pending:
            return head_after(self._pending[-1])
        return self._segments[-1].head if self._segments else RecordHead()

    def append(self, entry: RecordEntry) -> None:
        """Add an entry after all that are held.

        Entries may be missing before it; see :meth:`insert`.
        """
        with self._lock:
            self._pending.append(entry)
            self._pending_bytes += len(encode_line(entry))
        if self._pending_bytes >= WRITE_BYTES:
            try:
                self.write_out()
            except OSError as error:
                _log.error("Entries wait in memory: {}.", error)

    def insert(self, entries: list[RecordEntry]) -> None:
        """Store checked entries of a gap as a segment of their own.

        Raises
        ------
        OSError
            When they cannot be written; nothing is kept then.
        """
        # Waiting entries may come before the gap; files are kept in order.
        self.write_out()
        path = self._path(entries[0].seq)
        data = b"".join(encode_line(entry) for entry in entries)
        part = path.with_suffix(".part")
        with open(part, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(part, path)
        self._sync_folder()
        segment = Segment(path, entries[0], head_after(entries[-1]), len(data))
        with self._lock:
            self._segments.append(segment)
            self._segments.sort(key=lambda each: each.first)

    def write_out(self) -> None:
        """Write waiting entries to their files, without syncing them.

        Raises
        ------
        OSError
            When the disk refuses; entries that were not written keep waiting.
        """
        with self._lock:
            while self._pending:
                self._write_some()

    def sync(self) -> None:
        """Write waiting entries and sync all files that changed.

        Raises
        ------
        OSError
            When the disk refuses.
        """
        self.write_out()
        self._sync_dirty()

    def hash_of(self, seq: int) -> str | None:
        """Return the hash of a held entry, or None when it is not held."""
        with self._lock:
            for entry in self._pending:
                if entry.seq == seq:
                    return entry.hash
            segment = self._segment_of(seq)
            if segment is None:
                return None
            if self._hashes[0] != segment.path or seq not in self._hashes[1]:
                read = {e.seq: e.hash for e in read_segment(segment.path)}
                self._hashes = (segment.path, read)
            return self._hashes[1].get(seq)

    def lines(self, first: int, last: int, limit_bytes: int) -> list[bytes]:
        """Return the lines of consecutive entries, without line ends.

        Parameters
        ----------
        first, last : int
            Positions of the entries wanted.
        limit_bytes : int
            Size after which no more are added; at least one is returned.

        Returns
        -------
        list of bytes
            Empty when the first entry is not held.
        """
        self.write_out()
        found: list[bytes] = []
        size = 0
        while first <= last and size < limit_bytes:
            with self._lock:
                segment = self._segment_of(first)
            if segment is None:
                break
            lines = segment.path.read_bytes().split(b"\n")
            for line in lines[first - segment.first : last - segment.first + 1]:
                if not line or size >= limit_bytes:
                    break
                found.append(line)
                size += len(line)
                first += 1
        return found

    def _sync_dirty(self) -> None:
        """Sync the files that changed, or end for good.

        After a failed sync the kernel may drop what it could not write and report
        success the next time, so nothing is trusted until the files are read again.
        """
        if self._failure is not None:
            raise self._failure
        with self._lock:
            dirty, self._dirty = self._dirty, set()
        try:
            for path in sorted(dirty):
                _sync_path(path)
            if dirty:
                self._sync_folder()
        except OSError as error:
            self._failure = error
            raise

    def _segment_of(self, seq: int) -> Segment | None:
        for segment in reversed(self._segments):
            if segment.first <= seq:
                return segment if seq <= segment.head.seq else None
        return None

    def _write_some(self) -> None:
        """Write waiting entries to one segment."""
        segment = self._segments[-1] if self._segments else None
        follows = segment is not None and segment.head.seq + 1 == self._pending[0].seq
        if segment is None or not follows or segment.size >= self._segment_bytes:
            # Only the last file may hold unsynced entries: only its end is repaired
            # after a power loss.
            self._sync_dirty()
            segment = self._new_segment(self._pending[0])
        room = self._segment_bytes - segment.size
        batch: list[bytes] = []
        for position, entry in enumerate(self._pending):
            if room <= 0 or entry.seq != self._pending[0].seq + position:
                break
            batch.append(encode_line(entry))
            room -= len(batch[-1])
        self._write(segment, b"".join(batch))
        segment.head = head_after(self._pending[len(batch) - 1])
        if segment not in self._segments:
            self._segments.append(segment)
        del self._pending[: len(batch)]
        self._pending_bytes = sum(len(encode_line(each)) for each in self._pending)

    def _new_segment(self, first: RecordEntry) -> Segment:
        head = RecordHead(first.seq - 1, first.previous)
        return Segment(self._path(first.seq), first, head, 0)

    def _write(self, segment: Segment, data: bytes) -> None:
        """Write at the end of a segment; a partial write is cut off again."""
        fd = os.open(segment.path, os.O_WRONLY | os.O_CREAT, 0o640)
        try:
            written = 0
            while written < len(data):
                written += os.pwrite(fd, data[written:], segment.size + written)
        except OSError:
            os.ftruncate(fd, segment.size)
            raise
        finally:
            os.close(fd)
        segment.size += len(data)
        self._dirty.add(segment.path)

    def _path(self, first: int) -> Path:
        return self._folder / f"{_PREFIX}{first:012d}{_SUFFIX}"

    def _sync_folder(self) -> None:
        _sync_path(self._folder)

    def _open_all(self) -> list[Segment]:
        for part in self._folder.glob(f"{_PREFIX}*.part"):
            part.unlink()
        paths = segment_paths(self._folder)
        if paths:
            _cut_damaged_end(paths[-1])
        opened = [_open_segment(path) for path in paths]
        return [segment for segment in opened if segment is not None]


def segment_paths(folder: Path) -> list[Path]:
    """Return the segment files of a folder in order."""
    return sorted(folder.glob(f"{_PREFIX}*{_SUFFIX}"))


def first_entry(path: Path) -> RecordEntry:
    """Return the checked first entry of a file.

    Raises
    ------
    RecordFault
        When the line is not what was written.
    """
    with open(path, "rb") as file:
        line = file.readline()
    return decode_line(line.removesuffix(b"\n"), f"{path.name}: offset 0")


def read_segment(path: Path) -> Iterator[RecordEntry]:
    """Yield the checked entries of a file.

    Raises
    ------
    RecordFault
        At the first line that is not what was written, with its offset.
    """
    data = path.read_bytes()
    offset = 0
    while offset < len(data):
        end = data.find(b"\n", offset)
        place = f"{path.name}: offset {offset}"
        if end < 0:
            raise RecordFault(place, "the last line has no end")
        yield decode_line(data[offset:end], place)
        offset = end + 1


def _cut_damaged_end(path: Path) -> None:
    """Cut what a crash left at the end of the last file.

    Writes that were not synced may be torn or out of order after a power loss. The
    entries come again from the log, or from another member if a snapshot covers them.
    """
    data = path.read_bytes()
    if not data:
        path.unlink()
        return
    good = 0
    while good < len(data):
        end = data.find(b"\n", good)
        try:
            if end < 0:
                raise RecordFault(path.name, "the last line has no end")
            decode_line(data[good:end], path.name)
        except RecordFault as fault:
            _cut(path, data, good, str(fault))
            return
        good = end + 1


def _cut(path: Path, data: bytes, good: int, reason: str) -> None:
    _log.warning("{} is cut at offset {}: {}.", path.name, good, reason)
    if b"\n" in data[good:]:
        # More than one torn line: keep the bytes as evidence.
        path.with_suffix(".damaged").write_bytes(data[good:])
    if good == 0:
        path.unlink()
        return
    with open(path, "r+b") as file:
        file.truncate(good)
        os.fsync(file.fileno())


def _open_segment(path: Path) -> Segment | None:
    if not path.exists():
        return None
    first = first_entry(path)
    with open(path, "rb") as file:
        size = os.fstat(file.fileno()).st_size
        last = decode_line(_last_line(file, size), path.name)
    return Segment(path, first, head_after(last), size)


def _last_line(file: BinaryIO, size: int) -> bytes:
    """Return the last line of a file, reading backwards from its end."""
    step = WRITE_BYTES
    while True:
        start = max(0, size - step)
        file.seek(start)
        data = file.read(size - start)
        lines = data.removesuffix(b"\n").split(b"\n")
        if len(lines) > 1 or start == 0:
            return lines[-1]
        step *= 2


def _sync_path(path: Path) -> None:
    fd = os.open(path, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
