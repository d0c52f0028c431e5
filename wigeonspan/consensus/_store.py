"""Data folder of one voter: state, write-ahead log and snapshots.

Files
-----
``voter``
    Disk identity, group, term and vote, in two identical slots. One slot is synced
    before the other is written, so a torn write or a bit error in one slot never loses
    a vote. Updates overwrite the slots, but a full disk may refuse them all the same.
``log-N``
    Entries after the snapshot; only the file with the highest number is used.
``snapshot-N``
    Snapshot at log index N; only the one with the highest index is used.
``tail``
    Length of the log that was synced last; not synced itself.
"""

import uuid
from collections.abc import Callable, Iterable

import msgspec
from msgspec import Struct

from wigeonspan.common import DECODE_ERRORS, LogIndex, Term
from wigeonspan.consensus._disk import Disk
from wigeonspan.consensus._files import (
    NEW_SUFFIX,
    numbered_files,
    sync,
    translate_os_errors,
    write_atomically,
)
from wigeonspan.consensus._frames import (
    HEADER_BYTES,
    StorageCorrupt,
    StorageFull,
    encode_frame,
    read_frame,
    read_frames,
)
from wigeonspan.consensus._log_file import LOG_PREFIX, LogFile, merge_entries
from wigeonspan.consensus._messages import (
    Entry,
    HardState,
    Persist,
    Snapshot,
    SnapshotMeta,
    StoredState,
)

VOTER_FILE = "voter"
SNAPSHOT_PREFIX = "snapshot-"

SLOT_BYTES = 4096
"""Size of each of the two slots of the voter file, in bytes. Disk sectors are not
larger than this, so writing one slot cannot damage the other."""

_encode = msgspec.msgpack.Encoder().encode


FORMAT = 1
"""Version of the file format of the data folder."""


class VoterState(Struct, frozen=True):
    """Contents of one slot of the voter file."""

    sequence: int
    disk_id: str
    state: HardState
    format: int = FORMAT


_decode_voter = msgspec.msgpack.Decoder(VoterState).decode
_decode_meta = msgspec.msgpack.Decoder(SnapshotMeta).decode


class LogStore:
    """Persistent storage of one voter.

    Parameters
    ----------
    disk : Disk
        Data folder.
    make_id : callable
        Returns a new disk identity; called at the first start.
    replace_log : bool
        Whether to write the log to a new file at the start, because a sync of the old
        one found no space.
    """

    def __init__(
        self,
        disk: Disk,
        make_id: Callable[[], str] = lambda: uuid.uuid4().hex,
        *,
        replace_log: bool = False,
    ) -> None:
        self._disk = disk
        self._make_id = make_id
        self._replace_log = replace_log
        self._voter = VoterState(0, "", HardState())
        # The slot that may be damaged or out of date comes first.
        self._slot_offsets = (0, SLOT_BYTES)
        self._snapshot: SnapshotMeta | None = None
        self._log: LogFile

    @property
    def disk_id(self) -> str:
        """Return the random identity of this disk, created at the first start."""
        return self._voter.disk_id

    @property
    def snapshot(self) -> SnapshotMeta | None:
        """Return the position of the snapshot on disk, if any."""
        return self._snapshot

    def open(self) -> StoredState:
        """Read the data folder, or initialize it at the first start.

        Raises
        ------
        StorageCorrupt
            With the file and offset of the unreadable data.
        StorageFull, StorageFailed
            When the disk is full or fails.
        """
        with translate_os_errors("data folder"):
            names = self._disk.names()
            for name in [n for n in names if n.endswith(NEW_SUFFIX)]:
                self._disk.remove(name)
                names.remove(name)
            # A process that was killed may have renamed files without this sync. Older
            # files are removed below, so the names of the newer ones must be durable.
            sync(self._disk, None)
            if VOTER_FILE not in names:
                self._initialize(names)
            self._read_voter()
            self._log = LogFile(self._disk, self.disk_id)
            entries = self._read_log(names)
        return StoredState(self._voter.state, self._snapshot, entries)

    def close(self) -> None:
        """Close all files."""
        self._disk.close()

    def save(self, batch: Iterable[Persist]) -> None:
        """Write and sync a batch of effects, with one sync for all its entries.

        Raises
        ------
        StorageFull
            When there was no space. Part of the batch may be written, the state too;
            the caller must take none of it for written.
        SyncFull
            When a sync found no space; entries may be on disk although they were not
            reported as written.
        StorageFailed
            When a write or sync failed. The voter must stop, because the kernel may
            have dropped the data and a later sync would succeed without writing it.
        """
        batch = list(batch)
        states = [p.state for p in batch if p.state is not None]
        if states:
            with translate_os_errors(VOTER_FILE):
                self._write_voter(states[-1])
        merged: list[Entry] = []
        for persist in batch:
            if persist.snapshot is not None:
                self._append(merged)
                merged = []
                self.save_snapshot(persist.snapshot)
            merged = merge_entries(merged, persist.entries)
        self._append(merged)

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Write and sync a snapshot, then drop the entries that it covers.

        Raises
        ------
        StorageFull, StorageFailed
            As in ``save``.
        """
        meta = snapshot.meta
        if self._snapshot is not None and meta.index <= self._snapshot.index:
            return
        # The log is read below and must not contain entries that were refused.
        self._log.remove_refused_frame()
        name = _snapshot_name(meta.index)
        # A frame must not be empty, so a zero byte follows the state.
        data = encode_frame(_encode(meta)) + encode_frame(snapshot.data + b"\0")
        write_atomically(self._disk, name, data)
        with translate_os_errors(name):
            try:
                self._log.replace(_entries_after(self._log.read(), meta))
            except StorageFull:
                # The log still contains all entries that the snapshot covers.
                self._disk.remove(name)
                raise
            self._snapshot = meta
            self._remove_older()

    def read_snapshot(self) -> Snapshot | None:
        """Return the snapshot on disk, if any."""
        if self._snapshot is None:
            return None
        return self._read_snapshot_file(_snapshot_name(self._snapshot.index))

    def read_chunk(self, meta: SnapshotMeta, offset: int, size: int) -> bytes | None:
        """Return a part of a snapshot, or None when the snapshot was replaced."""
        if self._snapshot != meta:
            return None
        first = 2 * HEADER_BYTES + len(_encode(meta)) + offset
        size = min(size, meta.size - offset)
        try:
            return self._disk.read_part(_snapshot_name(meta.index), first, size)
        except FileNotFoundError:
            return None

    def _initialize(self, names: list[str]) -> None:
        for name in names:
            if name.startswith((LOG_PREFIX, SNAPSHOT_PREFIX)):
                raise StorageCorrupt(VOTER_FILE, 0, f"missing, but {name} exists")
        voter = VoterState(1, self._make_id(), HardState())
        write_atomically(self._disk, VOTER_FILE, _encode_slot(voter) * 2)

    def _read_voter(self) -> None:
        data = self._disk.read(VOTER_FILE)
        payloads = [read_frame(data, offset) for offset in (0, SLOT_BYTES)]
        try:
            slots = [_decode_voter(p) for p in payloads if p is not None]
        except DECODE_ERRORS as error:
            raise StorageCorrupt(VOTER_FILE, 0, str(error)) from error
        if not slots:
            raise StorageCorrupt(VOTER_FILE, 0, "both slots fail their checksum")
        self._voter = max(slots, key=lambda slot: slot.sequence)
        if self._voter.format != FORMAT:
            reason = (
                f"format version {self._voter.format} is not supported, only {FORMAT}"
            )
            raise StorageCorrupt(VOTER_FILE, 0, reason)
        if len(slots) < 2 or slots[0] != slots[1]:
            if payloads[0] is not None and _decode_voter(payloads[0]) == self._voter:
                self._slot_offsets = (SLOT_BYTES, 0)
            self._write_voter(self._voter.state)

    def _write_voter(self, state: HardState) -> None:
        self._voter = VoterState(self._voter.sequence + 1, self.disk_id, state)
        for offset in self._slot_offsets:
            # If this write fails, the next one must not touch the intact slot first.
            self._slot_offsets = (offset, SLOT_BYTES - offset)
            self._disk.write_at(VOTER_FILE, offset, _encode_slot(self._voter))
            sync(self._disk, VOTER_FILE)
        self._slot_offsets = (0, SLOT_BYTES)

    def _read_log(self, names: list[str]) -> list[Entry]:
        snapshots = numbered_files(names, SNAPSHOT_PREFIX)
        if snapshots:
            self._snapshot = self._read_snapshot_file(max(snapshots)).meta
        logs = numbered_files(names, LOG_PREFIX)
        if not logs:
            if self._voter.state.group:
                raise StorageCorrupt(f"{LOG_PREFIX}*", 0, "the log is missing")
            self._log.replace([])
            return []
        logged = self._log.open(logs)
        entries = _entries_after(logged, self._snapshot)
        self._check_first_index(entries)
        if len(entries) != len(logged) or self._replace_log:
            self._log.replace(entries)
        self._remove_older()
        return entries

    def _check_first_index(self, entries: list[Entry]) -> None:
        base = self._snapshot.index if self._snapshot is not None else 0
        if entries and entries[0].index != base + 1:
            reason = f"log starts at {entries[0].index}, but snapshot ends at {base}"
            raise StorageCorrupt(self._log.name, 0, reason)

    def _append(self, entries: list[Entry]) -> None:
        if entries:
            self._log.append(entries)

    def _remove_older(self) -> None:
        kept = {self._log.name}
        if self._snapshot is not None:
            kept.add(_snapshot_name(self._snapshot.index))
        names = self._disk.names()
        for prefix in (LOG_PREFIX, SNAPSHOT_PREFIX):
            for name in numbered_files(names, prefix):
                if name not in kept:
                    self._disk.remove(name)

    def _read_snapshot_file(self, name: str) -> Snapshot:
        data = self._disk.read(name)
        frames = list(read_frames(data))
        size = sum(HEADER_BYTES + len(payload) for _, payload in frames)
        if len(frames) != 2 or size != len(data):
            raise StorageCorrupt(name, size, "the snapshot fails its checksum")
        try:
            return Snapshot(_decode_meta(frames[0][1]), frames[1][1][:-1])
        except DECODE_ERRORS as error:
            raise StorageCorrupt(name, 0, str(error)) from error


def _snapshot_name(index: LogIndex) -> str:
    return f"{SNAPSHOT_PREFIX}{index:016d}"


def _encode_slot(voter: VoterState) -> bytes:
    return encode_frame(_encode(voter)).ljust(SLOT_BYTES, b"\0")


def _entries_after(entries: list[Entry], meta: SnapshotMeta | None) -> list[Entry]:
    """Return the entries after a snapshot.

    There are none when the log has an entry of another term at the snapshot's position
    (the entries after it then belong to an abandoned branch), or ends before it.
    """
    if meta is None:
        return entries
    terms: dict[LogIndex, Term] = {entry.index: entry.term for entry in entries}
    covered = bool(entries) and entries[0].index <= meta.index
    if covered and terms.get(meta.index) != meta.term:
        return []
    return [entry for entry in entries if entry.index > meta.index]
