"""In-memory log: the position of the last snapshot and the recent entries."""

from wigeonspan.catalog import Member
from wigeonspan.common import LogIndex, Term
from wigeonspan.consensus._messages import Entry, SnapshotMeta, StoredState
from wigeonspan.consensus._timing import MAX_APPEND_BYTES, MAX_APPEND_ENTRIES


class EntryLog:
    """Log of one member.

    Parameters
    ----------
    stored : StoredState
        State read from disk at the start.
    """

    def __init__(self, stored: StoredState) -> None:
        self._snapshot = stored.snapshot or SnapshotMeta(LogIndex(0), Term(0), ())
        self._base = self._snapshot.index
        self._base_term = self._snapshot.term
        self._entries = [e for e in stored.entries if e.index > self._base]
        self._update_members()

    @property
    def snapshot(self) -> SnapshotMeta:
        """Return the position of the last snapshot; index 0 when there is none."""
        return self._snapshot

    @property
    def base(self) -> LogIndex:
        """Return the index before the first entry in memory."""
        return self._base

    @property
    def last_index(self) -> LogIndex:
        """Return the index of the last entry."""
        return LogIndex(self._base + len(self._entries))

    @property
    def last_term(self) -> Term:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def members(self) -> tuple[Member, ...]:
        """Return the membership in force: that of the last entry that changed it."""
        return self._members

    @property
    def members_index(self) -> LogIndex:
        """Return the index of the entry that set the membership."""
        return self._members_index

    def term_at(self, index: LogIndex) -> Term | None:
        """Return the term of an entry, or None when it is not in memory."""
        if index == self._base:
            return self._base_term
        if self._base < index <= self.last_index:
            return self._entries[index - self._base - 1].term
        return None

    def between(self, first: LogIndex, last: LogIndex) -> list[Entry]:
        """Return the entries from ``first`` to ``last``, inclusive."""
        return self._entries[first - self._base - 1 : last - self._base]

    def batch(self, first: LogIndex, last: LogIndex) -> list[Entry]:
        """Return as many entries from ``first`` to ``last`` as fit in one message."""
        chosen: list[Entry] = []
        size = 0
        for entry in self.between(first, min(last, first + MAX_APPEND_ENTRIES - 1)):
            chosen.append(entry)
            size += len(entry.command)
            if size >= MAX_APPEND_BYTES:
                break
        return chosen

    def append(self, entries: list[Entry]) -> None:
        """Append entries, replacing all from the first new index on."""
        replaces = entries[0].index <= self.last_index
        del self._entries[entries[0].index - self._base - 1 :]
        self._entries.extend(entries)
        if replaces or any(entry.members is not None for entry in entries):
            self._update_members()

    def truncate_after(self, index: LogIndex) -> None:
        """Drop the entries after an index."""
        del self._entries[index - self._base :]
        self._update_members()

    def compact(self, meta: SnapshotMeta, keep: int) -> None:
        """Record a snapshot of the local state and drop entries that it covers.

        Parameters
        ----------
        meta : SnapshotMeta
            Position of the snapshot.
        keep : int
            Number of entries to keep before the snapshot's position, so that a follower
            which is slightly behind needs no snapshot.
        """
        self._snapshot = meta
        base = LogIndex(max(self._base, meta.index - keep))
        term = self.term_at(base)
        if term is None or base == self._base:
            return
        del self._entries[: base - self._base]
        self._base, self._base_term = base, term
        self._update_members()

    def install(self, meta: SnapshotMeta) -> None:
        """Replace the log with the position of a snapshot from the leader.

        Entries after the position are kept if the entry at the position has the same
        term.
        """
        if self.term_at(meta.index) == meta.term:
            del self._entries[: meta.index - self._base]
        else:
            self._entries = []
        self._snapshot = meta
        self._base, self._base_term = meta.index, meta.term
        self._update_members()

    def members_at(self, index: LogIndex) -> tuple[Member, ...]:
        """Return the membership at an index that is in memory."""
        for entry in reversed(self.between(LogIndex(self._base + 1), index)):
            if entry.members is not None:
                return entry.members
        return self._snapshot.members

    def _update_members(self) -> None:
        for entry in reversed(self._entries):
            if entry.members is not None:
                self._members = entry.members
                self._members_index = entry.index
                return
        self._members = self._snapshot.members
        self._members_index = LogIndex(min(self._base, self._snapshot.index))
