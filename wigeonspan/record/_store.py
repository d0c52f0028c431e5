"""Record of one host, written by the replicated state machine."""

from pathlib import Path

from wigeonspan.common import LogIndex
from wigeonspan.record._chain import check_link, decode_line, head_after, make_entry
from wigeonspan.record._errors import RecordError
from wigeonspan.record._messages import (
    EntryDraft,
    Gap,
    RecordChunk,
    RecordEntry,
    RecordFilter,
    RecordHead,
)
from wigeonspan.record._query import find_entries
from wigeonspan.record._segments import SEGMENT_BYTES, SegmentStore

CHUNK_BYTES = 256 * 1024
"""Size in bytes after which no more entries are added to a chunk for another member.

At this size, sending a chunk takes only a small part of a heartbeat interval.
"""

MAX_SEARCH_FILES = 64
"""Maximum number of files that one search in the daemon reads.

That is 256 MB, which takes about a second in a worker thread. The audit command line
reads all files.
"""


class RecordStore:
    """Hash-chained record of one host.

    The head of the chain is replicated state, the files are not. After a restart, the
    commands after the last snapshot are applied again: their entries are compared with
    those on disk and written only when they are missing there. A host that received its
    state as a snapshot fetches the entries before it from another member.

    Parameters
    ----------
    folder : Path
        Folder of the segment files.
    segment_bytes : int
        Size in bytes at which a new file is started.
    """

    def __init__(self, folder: Path, segment_bytes: int = SEGMENT_BYTES) -> None:
        self._store = SegmentStore(folder, segment_bytes)
        self._head = RecordHead()

    @property
    def head(self) -> RecordHead:
        """Head of the chain after the last command that this host applied."""
        return self._head

    @property
    def failure(self) -> OSError | None:
        """Error of a failed sync, after which the host must stop; otherwise None."""
        return self._store.failure

    def append(self, index: LogIndex, draft: EntryDraft) -> RecordEntry:
        """Append the entry of a command.

        When the entry is already stored, because its command is applied again after a
        restart, it is only compared with the stored one.

        Parameters
        ----------
        index : LogIndex
            Log index of the command.
        draft : EntryDraft
            Content of the entry.

        Returns
        -------
        RecordEntry
            Entry with its position and hash.

        Raises
        ------
        RecordError
            When the files contain a different entry at this position.
        """
        entry = make_entry(self._head, index, draft)
        if entry.seq > self._store.head.seq:
            self._store.append(entry)
        else:
            self._check_stored(entry.seq, entry.hash)
        self._head = head_after(entry)
        return entry

    def snapshot(self) -> RecordHead:
        """Return the head of the chain, the only replicated state of the record."""
        return self._head

    def restore(self, head: RecordHead) -> None:
        """Set the head of the chain from a snapshot.

        Raises
        ------
        RecordError
            When the files contain a different entry at the position of the head.
        """
        if 0 < head.seq <= self._store.head.seq:
            self._check_stored(head.seq, head.hash)
        self._head = head

    def write_pending(self) -> None:
        """Write pending entries to the files.

        Blocks on disk I/O; call it in a worker thread.
        """
        self._store.write_pending()

    def flush(self) -> None:
        """Write pending entries and sync the files.

        Blocks on disk I/O; call it in a worker thread.

        Raises
        ------
        OSError
            When writing or syncing fails. The replicated log must then not be
            truncated: its commands are needed to create the missing entries again.
        """
        self._store.sync()

    def gap(self) -> Gap | None:
        """Return the first gap in the stored entries up to the head, or None."""
        previous = RecordHead()
        for entry_range in self._store.ranges():
            if entry_range.first > previous.seq + 1:
                return Gap(
                    previous.seq + 1,
                    entry_range.first - 1,
                    previous.hash,
                    entry_range.previous,
                )
            previous = entry_range.head
        if previous.seq < self._head.seq:
            return Gap(previous.seq + 1, self._head.seq, previous.hash, self._head.hash)
        return None

    def chunk(self, first: int, last: int) -> RecordChunk:
        """Return stored entries for another member.

        Parameters
        ----------
        first, last : int
            Positions of the first and the last requested entry.
        """
        lines = self._store.lines(first, min(last, self._head.seq), CHUNK_BYTES)
        return RecordChunk(
            [line.decode("utf-8") for line in lines], self._head, self.gap() is None
        )

    def fill(self, gap: Gap, lines: list[str]) -> None:
        """Store entries of a gap that were received from another member.

        Parameters
        ----------
        gap : Gap
            Gap as :meth:`gap` returned it.
        lines : list of str
            Consecutive entries from the first of the gap on.

        Raises
        ------
        RecordError
            When the entries do not fit into the chain; in that case, none is stored.
        """
        head = RecordHead(gap.first - 1, gap.previous)
        entries = []
        for line in lines[: gap.last - gap.first + 1]:
            location = f"received entry {head.seq + 1}"
            entry = decode_line(line.encode("utf-8"), location)
            check_link(entry, head, location)
            head = head_after(entry)
            entries.append(entry)
        if head.seq == gap.last and head.hash != gap.last_hash:
            raise RecordError(
                f"received entry {head.seq}",
                "its hash is not the one that the chain requires at this position",
            )
        if entries:
            self._store.insert(entries)

    def find(self, query: RecordFilter) -> tuple[list[RecordEntry], bool]:
        """Return matching entries, oldest first, and whether older ones were omitted.

        Reads at most the newest ``MAX_SEARCH_FILES`` files of the requested time range.
        Blocks on disk I/O; call it in a worker thread.
        """
        self._store.write_pending()
        return find_entries(self._store.files(), query, MAX_SEARCH_FILES)

    def _check_stored(self, seq: int, expected: str) -> None:
        stored = self._store.hash_of(seq)
        if stored is not None and stored != expected:
            raise RecordError(
                f"entry {seq}",
                "the files hold another entry than the log; they are of another "
                "group or were changed",
            )
