"""The record as the replicated state machine writes it."""

from pathlib import Path

from wigeonspan.common import LogIndex
from wigeonspan.record._chain import check_link, decode_line, head_after, make_entry
from wigeonspan.record._errors import RecordFault
from wigeonspan.record._messages import (
    Draft,
    Gap,
    RecordChunk,
    RecordEntry,
    RecordFilter,
    RecordHead,
)
from wigeonspan.record._query import find_entries
from wigeonspan.record._segments import SEGMENT_BYTES, SegmentStore

CHUNK_BYTES = 256 * 1024
"""Entries sent to another member at once; a small share of a heartbeat's time."""

MAX_FILES = 64
"""Files that one search of the daemon reads: 256 MB, about a second of a thread. The
audit command line reads all of them."""


class RecordBook:
    """Hash-chained record of one host.

    The head of the chain is replicated state, the files are not. After a restart
    commands apply again from the last snapshot; their entries are compared with those
    on disk and written only when they are missing. A host whose state came from a
    snapshot fetches the entries before it from another member.

    Parameters
    ----------
    folder : Path
        Folder of the segment files.
    segment_bytes : int
        Size at which a new file begins.
    """

    def __init__(self, folder: Path, segment_bytes: int = SEGMENT_BYTES) -> None:
        self._store = SegmentStore(folder, segment_bytes)
        self._head = RecordHead()

    @property
    def head(self) -> RecordHead:
        """End of the record as the commands that applied here made it."""
        return self._head

    @property
    def failure(self) -> OSError | None:
        """Why a sync failed; the host must end then. None as long as all is well."""
        return self._store.failure

    def append(self, index: LogIndex, draft: Draft) -> RecordEntry:
        """Add the entry of a command.

        Parameters
        ----------
        index : LogIndex
            Log index of the command.
        draft : Draft
            What the entry tells.

        Returns
        -------
        RecordEntry
            The entry.

        Raises
        ------
        RecordFault
            When the files hold another entry at this place.
        """
        entry = make_entry(self._head, index, draft)
        if entry.seq > self._store.head.seq:
            self._store.append(entry)
        else:
            self._check_held(entry.seq, entry.hash)
        self._head = head_after(entry)
        return entry

    def snapshot(self) -> RecordHead:
        """Return the head, the part of the record that is replicated state."""
        return self._head

    def restore(self, head: RecordHead) -> None:
        """Continue from the head of a snapshot.

        Raises
        ------
        RecordFault
            When the files hold another record.
        """
        if 0 < head.seq <= self._store.head.seq:
            self._check_held(head.seq, head.hash)
        self._head = head

    def write_out(self) -> None:
        """Write waiting entries; call it in a worker thread."""
        self._store.write_out()

    def flush(self) -> None:
        """Write and sync everything; called in a worker thread.

        Raises
        ------
        OSError
            When the disk refuses. The log must then not be truncated.
        """
        self._store.sync()

    def gap(self) -> Gap | None:
        """Return the first entries up to the head that are not held, or None."""
        previous = RecordHead()
        for run in self._store.runs():
            if run.first > previous.seq + 1:
                return Gap(previous.seq + 1, run.first - 1, previous.hash, run.previous)
            previous = run.head
        if previous.seq < self._head.seq:
            return Gap(previous.seq + 1, self._head.seq, previous.hash, self._head.hash)
        return None

    def chunk(self, first: int, last: int) -> RecordChunk:
        """Return entries for another member.

        Parameters
        ----------
        first, last : int
            Positions of the entries wanted.
        """
        lines = self._store.lines(first, min(last, self._head.seq), CHUNK_BYTES)
        return RecordChunk(
            [line.decode("utf-8") for line in lines], self._head, self.gap() is None
        )

    def fill(self, gap: Gap, lines: list[str]) -> None:
        """Store entries of a gap that another member sent.

        Parameters
        ----------
        gap : Gap
            Gap as :meth:`gap` returned it.
        lines : list of str
            Consecutive entries from its first on.

        Raises
        ------
        RecordFault
            When they do not fit into the chain; nothing is stored then.
        """
        head = RecordHead(gap.first - 1, gap.previous)
        entries = []
        for line in lines[: gap.last - gap.first + 1]:
            place = f"received entry {head.seq + 1}"
            entry = decode_line(line.encode("utf-8"), place)
            check_link(entry, head, place)
            head = head_after(entry)
            entries.append(entry)
        if head.seq == gap.last and head.hash != gap.following:
            raise RecordFault(
                f"received entry {head.seq}", "it is not the one that the chain needs"
            )
        if entries:
            self._store.insert(entries)

    def find(self, query: RecordFilter) -> tuple[list[RecordEntry], bool]:
        """Return matching entries, oldest first, and whether older ones were left out.

        Reads at most the newest ``MAX_FILES`` files of the times that are asked for;
        call it in a worker thread.
        """
        self._store.write_out()
        return find_entries(self._store.files(), query, MAX_FILES)

    def _check_held(self, seq: int, wanted: str) -> None:
        held = self._store.hash_of(seq)
        if held is not None and held != wanted:
            raise RecordFault(
                f"entry {seq}",
                "the files hold another entry than the log; they are of another "
                "group or were changed",
            )
