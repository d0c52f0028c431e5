"""Segment files of the record.

Each file ``record-<position of its first entry>.jsonl`` contains consecutive entries,
one per line. New entries are kept in memory until they are written in a worker thread,
so that applying a command never fails because of a full disk: the command stays in the
replicated log until :meth:`SegmentStore.sync` has succeeded.
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
    fsync_path,
    open_segment,
    read_bytes,
    read_file,
    segment_paths,
    truncate_damaged_tail,
)
from wigeonspan.record._messages import RecordEntry, RecordHead

SEGMENT_BYTES = 4 * 1024 * 1024
"""Size in bytes at which a new segment is started.

It limits the start-up time, because the last segment is read completely at start-up.
"""


class EntryRange(Struct, frozen=True):
    """Range of consecutive entries and its place in the hash chain.

    Parameters
    ----------
    first : int
        Position of the first entry.
    previous : str
        Hash of the entry before the range.
    head : RecordHead
        Head of the chain after the last entry of the range.
    """

    first: int
    previous: str
    head: RecordHead


class SegmentStore:
    """All segments of one folder.

    Parameters
    ----------
    folder : Path
        Folder of the record; created when it does not exist.
    segment_bytes : int
        Size in bytes at which a new segment is started.
    """

    def __init__(self, folder: Path, segment_bytes: int = SEGMENT_BYTES) -> None:
        self._folder = folder
        self._segment_bytes = segment_bytes
        # The event loop acquires only ``_lock``, which is never held during I/O.
        self._lock = threading.Lock()
        self._io_lock = threading.RLock()
        self._pending: list[RecordEntry] = []
        self._dirty: set[Path] = set()
        self._failure: OSError | None = None
        self._cached_hashes: tuple[Path | None, dict[int, str]] = (None, {})
        folder.mkdir(parents=True, exist_ok=True)
        self._segments = self._open_all()

    @property
    def failure(self) -> OSError | None:
        """Error of a failed sync; None when no sync has failed."""
        return self._failure

    def files(self) -> list[RecordFile]:
        """Return the files in order, each with its completely written size."""
        with self._lock:
            return [RecordFile(each.path, each.size) for each in self._segments]

    def ranges(self) -> list[EntryRange]:
        """Return the ranges of consecutive entries, written or pending, in order."""
        with self._lock:
            ranges = [EntryRange(s.first, s.previous, s.head) for s in self._segments]
            for entry in self._pending:
                ranges.append(EntryRange(entry.seq, entry.previous, head_after(entry)))
        return ranges

    @property
    def head(self) -> RecordHead:
        """Head of the chain after the last entry, written or pending."""
        if self._pending:
            return head_after(self._pending[-1])
        return self._segments[-1].head if self._segments else RecordHead()

    def append(self, entry: RecordEntry) -> None:
        """Add an entry after all others; it is pending until it is written.

        Entries before it may be missing; see :meth:`insert`.
        """
        with self._lock:
            self._pending.append(entry)

    def insert(self, entries: list[RecordEntry]) -> None:
        """Store verified entries of a gap as a separate segment.

        Raises
        ------
        OSError
            When writing fails; the entries still count as missing in that case.
        """
        path = self._path(entries[0].seq)
        data = b"".join(encode_line(entry) for entry in entries)
        segment = Segment(path, entries[0], head_after(entries[-1]), len(data))
        with self._io_lock:
            # Pending entries may precede the gap: they are written first, so that the
            # segments stay in order.
            self.write_pending()
            temporary = path.with_suffix(".part")
            with open(temporary, "wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            os.replace(temporary, path)
            fsync_path(self._folder)
            with self._lock:
                self._segments.append(segment)
                self._segments.sort(key=lambda each: each.first)

    def write_pending(self) -> None:
        """Write pending entries to their files.

        Blocks on disk I/O; call it in a worker thread.

        Raises
        ------
        OSError
            When writing fails; entries that were not written stay pending.
        """
        with self._io_lock:
            while self._write_batch():
                pass

    def sync(self) -> None:
        """Write pending entries and sync all changed files.

        Raises
        ------
        OSError
            When writing or syncing fails now, or a sync failed before.
        """
        with self._io_lock:
            self.write_pending()
            self._fsync_dirty()

    def hash_of(self, seq: int) -> str | None:
        """Return the hash of an entry, or None when it is not stored."""
        with self._lock:
            for entry in self._pending:
                if entry.seq == seq:
                    return entry.hash
            segment = self._segment_of(seq)
        if segment is None:
            return None
        if self._cached_hashes[0] != segment.path or seq not in self._cached_hashes[1]:
            file = RecordFile(segment.path, segment.size)
            self._cached_hashes = (
                segment.path,
                {e.seq: e.hash for e in read_file(file)},
            )
        return self._cached_hashes[1].get(seq)

    def lines(self, first: int, last: int, limit_bytes: int) -> list[bytes]:
        """Return the lines of consecutive entries, without line ends.

        Parameters
        ----------
        first, last : int
            Positions of the first and the last requested entry.
        limit_bytes : int
            Total size after which no more lines are added; at least one line is
            returned.

        Returns
        -------
        list of bytes
            Lines up to the first missing entry; empty when ``first`` is missing.
        """
        self.write_pending()
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

    def _fsync_dirty(self) -> None:
        """Sync the changed files; after a failure, raise the same error on every call.

        After a failed sync, the kernel may discard the unwritten data and report
        success for the next sync. A successful retry therefore does not show that the
        data is on disk; only a restart, which reads the files again, clears the
        failure.
        """
        if self._failure is not None:
            raise self._failure
        dirty, self._dirty = self._dirty, set()
        try:
            for path in sorted(dirty):
                fsync_path(path)
            if dirty:
                fsync_path(self._folder)
        except OSError as error:
            self._failure = error
            raise

    def _segment_of(self, seq: int) -> Segment | None:
        for segment in reversed(self._segments):
            if segment.first <= seq:
                return segment if seq <= segment.head.seq else None
        return None

    def _write_batch(self) -> bool:
        """Write pending entries to one segment; return whether there were any."""
        with self._lock:
            pending = list(self._pending)
            segment = self._segments[-1] if self._segments else None
        if not pending:
            return False
        is_next = segment is not None and segment.head.seq + 1 == pending[0].seq
        if segment is None or not is_next or segment.size >= self._segment_bytes:
            # Sync before a new file is started: after a power loss, only the last
            # file is repaired, so only that one may contain unsynced entries.
            self._fsync_dirty()
            segment = self._new_segment(pending[0])
        batch = _encode_fitting(pending, self._segment_bytes - segment.size)
        data = b"".join(batch)
        self._append_bytes(segment, data)
        with self._lock:
            segment.head = head_after(pending[len(batch) - 1])
            segment.size += len(data)
            if segment not in self._segments:
                self._segments.append(segment)
            del self._pending[: len(batch)]
        return True

    def _new_segment(self, first: RecordEntry) -> Segment:
        head = RecordHead(first.seq - 1, first.previous)
        return Segment(self._path(first.seq), first, head, 0)

    def _append_bytes(self, segment: Segment, data: bytes) -> None:
        """Append bytes to a segment; truncate a partial write after an error."""
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
        for temporary in self._folder.glob(f"{PREFIX}*.part"):
            temporary.unlink()
        paths = segment_paths(self._folder)
        if paths:
            truncate_damaged_tail(paths[-1])
        segments = [open_segment(path) for path in paths]
        return [segment for segment in segments if segment is not None]


def _encode_fitting(entries: list[RecordEntry], available_bytes: int) -> list[bytes]:
    """Encode consecutive entries until the available bytes are used up.

    The last line may exceed the available bytes.
    """
    lines: list[bytes] = []
    for position, entry in enumerate(entries):
        if available_bytes <= 0 or entry.seq != entries[0].seq + position:
            break
        lines.append(encode_line(entry))
        available_bytes -= len(lines[-1])
    return lines
