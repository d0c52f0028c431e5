"""Segment files of the record.

Each file ``record-<first entry>.jsonl`` holds consecutive entries, one a line. Entries
wait in memory until they are written out, so that applying a command never fails on a
full disk: the command stays in the log until :meth:`SegmentStore.sync` has succeeded.
"""

import os
import threading
from pathlib import Path

from msgspec import Struct

from wigeonspan.record._chain import encode_line, head_after
from wigeonspan.record._files import (
    PREFIX,
    SUFFIX,
    RecordFile,
    Segment,
    cut_damaged_end,
    open_segment,
    read_bytes,
    read_file,
    segment_paths,
    sync_path,
)
from wigeonspan.record._messages import RecordEntry, RecordHead

SEGMENT_BYTES = 4 * 1024 * 1024
"""Size at which a new segment begins; the last one is read whole at the start."""


class Run(Struct, frozen=True):
    """Consecutive entries and the chain at their ends."""

    first: int
    previous: str
    head: RecordHead


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
        # The event loop takes only the first lock, which is never held during I/O.
        self._lock = threading.Lock()
        self._io_lock = threading.RLock()
        self._pending: list[RecordEntry] = []
        self._dirty: set[Path] = set()
        self._failure: OSError | None = None
        self._hashes: tuple[Path | None, dict[int, str]] = (None, {})
        folder.mkdir(parents=True, exist_ok=True)
        self._segments = self._open_all()

    @property
    def failure(self) -> OSError | None:
        """Why a sync failed; None as long as all is well."""
        return self._failure

    def files(self) -> list[RecordFile]:
        """Return the files in order, each with the size that is written whole."""
        with self._lock:
            return [RecordFile(each.path, each.size) for each in self._segments]

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
        """Add an entry after all that are held; it waits in memory.

        Entries may be missing before it; see :meth:`insert`.
        """
        with self._lock:
            self._pending.append(entry)

    def insert(self, entries: list[RecordEntry]) -> None:
        """Store checked entries of a gap as a segment of their own.

        Raises
        ------
        OSError
            When they cannot be written; nothing is kept then.
        """
        path = self._path(entries[0].seq)
        data = b"".join(encode_line(entry) for entry in entries)
        segment = Segment(path, entries[0], head_after(entries[-1]), len(data))
        with self._io_lock:
            # Waiting entries may come before the gap; files are kept in order.
            self.write_out()
            part = path.with_suffix(".part")
            with open(part, "wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            os.replace(part, path)
            sync_path(self._folder)
            with self._lock:
                self._segments.append(segment)
                self._segments.sort(key=lambda each: each.first)

    def write_out(self) -> None:
        """Write waiting entries to their files; call it in a worker thread.

        Raises
        ------
        OSError
            When the disk refuses; entries that were not written keep waiting.
        """
        with self._io_lock:
            while self._write_some():
                pass

    def sync(self) -> None:
        """Write waiting entries and sync all files that changed.

        Raises
        ------
        OSError
            When the disk refuses.
        """
        with self._io_lock:
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
            file = RecordFile(segment.path, segment.size)
            self._hashes = (segment.path, {e.seq: e.hash for e in read_file(file)})
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
            lines = read_bytes(RecordFile(segment.path, segment.size)).split(b"\n")
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
        dirty, self._dirty = self._dirty, set()
        try:
            for path in sorted(dirty):
                sync_path(path)
            if dirty:
                sync_path(self._folder)
        except OSError as error:
            self._failure = error
            raise

    def _segment_of(self, seq: int) -> Segment | None:
        for segment in reversed(self._segments):
            if segment.first <= seq:
                return segment if seq <= segment.head.seq else None
        return None

    def _write_some(self) -> bool:
        """Write waiting entries to one segment; return whether there were any."""
        with self._lock:
            waiting = list(self._pending)
            segment = self._segments[-1] if self._segments else None
        if not waiting:
            return False
        follows = segment is not None and segment.head.seq + 1 == waiting[0].seq
        if segment is None or not follows or segment.size >= self._segment_bytes:
            # Only the last file may hold unsynced entries: only its end is repaired
            # after a power loss.
            self._sync_dirty()
            segment = self._new_segment(waiting[0])
        batch = _fitting(waiting, self._segment_bytes - segment.size)
        data = b"".join(batch)
        self._write(segment, data)
        with self._lock:
            segment.head = head_after(waiting[len(batch) - 1])
            segment.size += len(data)
            if segment not in self._segments:
                self._segments.append(segment)
            del self._pending[: len(batch)]
        return True

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
        self._dirty.add(segment.path)

    def _path(self, first: int) -> Path:
        return self._folder / f"{PREFIX}{first:012d}{SUFFIX}"

    def _open_all(self) -> list[Segment]:
        for part in self._folder.glob(f"{PREFIX}*.part"):
            part.unlink()
        paths = segment_paths(self._folder)
        if paths:
            cut_damaged_end(paths[-1])
        opened = [open_segment(path) for path in paths]
        return [segment for segment in opened if segment is not None]


def _fitting(entries: list[RecordEntry], room: int) -> list[bytes]:
    """Return the lines of consecutive entries until the room is used up."""
    lines: list[bytes] = []
    for position, entry in enumerate(entries):
        if room <= 0 or entry.seq != entries[0].seq + position:
            break
        lines.append(encode_line(entry))
        room -= len(lines[-1])
    return lines
