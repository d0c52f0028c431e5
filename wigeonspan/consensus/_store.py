"""Data folder of one voter: state, write-ahead log and snapshots.

Files
-----
``voter``
    Disk identity, group, term and vote, in two equal slots. One is synced before the
    other is written, so a torn or flipped slot never loses a vote that was given, and
    writing needs no new space.
``log-N``
    Frames of entries. Each sync covers one frame, so a bad frame with a good one after
    it was synced once and is corruption, while a bad frame at the end is a torn write.
``tail``
    Length of the log that was synced last. It is itself not synced; when it is there,
    it tells a flipped last frame from a torn one.
``snapshot-N``
    Snapshot at log index N.
"""

import contextlib
import errno
import uuid
from collections.abc import Callable, Iterable, Iterator

import msgspec
from msgspec import Struct

from wigeonspan.common import LogIndex, Term
from wigeonspan.consensus._disk import Disk
from wigeonspan.consensus._frames import (
    HEADER_BYTES,
    StorageCorrupt,
    StorageFailed,
    StorageFull,
    find_frame,
    frame,
    payload_at,
    read_frames,
)
from wigeonspan.consensus._messages import (
    Entry,
    HardState,
    Persist,
    Snapshot,
    SnapshotMeta,
    Stored,
)

VOTER_FILE = "voter"
TAIL_FILE = "tail"
LOG_PREFIX = "log-"
SNAPSHOT_PREFIX = "snapshot-"
NEW_SUFFIX = ".new"

SLOT_BYTES = 4096
"""Distance of the two slots of the voter file; a disk writes sectors of at most this
size, so writing one slot cannot damage the other."""

_FULL = (errno.ENOSPC, errno.EDQUOT)

_encode = msgspec.msgpack.Encoder().encode


class VoterState(Struct, frozen=True):
    """Contents of a slot of the voter file."""

    sequence: int
    disk_id: str
    state: HardState


class SegmentHeader(Struct, frozen=True):
    """First frame of a log file."""

    disk_id: str
    number: int


_decode_voter = msgspec.msgpack.Decoder(VoterState).decode
_decode_header = msgspec.msgpack.Decoder(SegmentHeader).decode
_decode_entries = msgspec.msgpack.Decoder(list[Entry]).decode
_decode_meta = msgspec.msgpack.Decoder(SnapshotMeta).decode


class LogStore:
    """Storage of one voter.

    Parameters
    ----------
    disk : Disk
        Data folder.
    make_id : callable
        Returns a new disk identity; called at the first start.
    """

    def __init__(
        self, disk: Disk, make_id: Callable[[], str] = lambda: uuid.uuid4().hex
    ) -> None:
        self._disk = disk
        self._make_id = make_id
        self._voter = VoterState(0, "", HardState())
        self._number = 0
        self._size = 0
        self._snapshot: SnapshotMeta | None = None

    @property
    def disk_id(self) -> str:
        """Random identity of this disk, written at the first start."""
        return self._voter.disk_id

    @property
    def snapshot(self) -> SnapshotMeta | None:
        """Position of the snapshot on disk."""
        return self._snapshot

    def open(self) -> Stored:
        """Read the data folder, or set it up at the first start.

        Raises
        ------
        StorageCorrupt
            With file and offset of what cannot be read.
        StorageFailed
            When the disk fails.
        """
        with _failures("open"):
            names = self._disk.names()
            if VOTER_FILE not in names:
                self._set_up(names)
            self._read_voter()
            entries = self._read_log(names)
            return Stored(self._voter.state, self._snapshot, entries)

    def close(self) -> None:
        """Close all files."""
        self._disk.close()

    def save(self, batch: Iterable[Persist]) -> None:
        """Write and sync a batch of effects, with one sync for all its entries.

        Raises
        ------
        StorageFull
            When entries or a snapshot found no space; the state is written.
        StorageFailed
            When a write or sync failed. The voter must end, because the kernel may
            have dropped the data and a later sync would not tell.
        """
        batch = list(batch)
        states = [p.state for p in batch if p.state is not None]
        if states:
            with _failures(VOTER_FILE):
                self._write_voter(states[-1])
        merged: list[Entry] = []
        for persist in batch:
            if persist.snapshot is not None:
                self._append(merged)
                merged = []
                self.save_snapshot(persist.snapshot)
            merged = _merge(merged, persist.entries)
        self._append(merged)

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Write and sync a snapshot, then drop the entries that it covers.

        Raises
        ------
        StorageFull, StorageFailed
            As ``save``.
        """
        meta = snapshot.meta
        if self._snapshot is not None and meta.index <= self._snapshot.index:
            return
        name = f"{SNAPSHOT_PREFIX}{meta.index:016d}"
        data = frame(_encode(meta)) + frame(snapshot.data + b"\0")
        self._write_new(name, data)
        with _failures(name):
            entries = _after(self._read_entries(self._log_name), meta)
        try:
            self._start_segment(entries)
        except StorageFull:
            # The log still holds what the snapshot covers, so the old state stays.
            self._disk.remove(name)
            raise
        self._snapshot = meta
        with _failures(name):
            self._remove_older(name)

    def read_snapshot(self) -> Snapshot | None:
        """Return the snapshot on disk."""
        if self._snapshot is None:
            return None
        name = f"{SNAPSHOT_PREFIX}{self._snapshot.index:016d}"
        return self._read_snapshot_file(name)

    def read_chunk(self, meta: SnapshotMeta, offset: int, size: int) -> bytes | None:
        """Return a part of the snapshot, or None when it has been replaced."""
        if self._snapshot != meta:
            return None
        name = f"{SNAPSHOT_PREFIX}{meta.index:016d}"
        first = 2 * HEADER_BYTES + len(_encode(meta)) + offset
        size = min(size, meta.size - offset)
        try:
            return self._disk.read_part(name, first, size)
        except FileNotFoundError:
            return None

    @property
    def _log_name(self) -> str:
        return f"{LOG_PREFIX}{self._number:016d}"

    def _set_up(self, names: list[str]) -> None:
        kept = [n for n in names if n.startswith((LOG_PREFIX, SNAPSHOT_PREFIX))]
        kept = [name for name in kept if not name.endswith(NEW_SUFFIX)]
        if kept:
            raise StorageCorrupt(VOTER_FILE, 0, f"missing, but {kept[0]} exists")
        voter = VoterState(1, self._make_id(), HardState())
        self._write_new(VOTER_FILE, _slot(voter) * 2)

    def _read_voter(self) -> None:
        data = self._disk.read(VOTER_FILE)
        slots: list[VoterState] = []
        for offset in (0, SLOT_BYTES):
            payload = payload_at(data, offset)
            if payload is not None:
                slots.append(_decode_voter(payload))
        if not slots:
            raise StorageCorrupt(VOTER_FILE, 0, "both slots fail their checksum")
        self._voter = max(slots, key=lambda slot: slot.sequence)
        if len(slots) < 2 or slots[0] != slots[1]:
            self._write_voter(self._voter.state)

    def _write_voter(self, state: HardState) -> None:
        self._voter = VoterState(self._voter.sequence + 1, self.disk_id, state)
        for offset in (0, SLOT_BYTES):
            self._disk.write_at(VOTER_FILE, offset, _slot(self._voter))
            self._sync(VOTER_FILE)

    def _read_log(self, names: list[str]) -> list[Entry]:
        for name in names:
            if name.endswith(NEW_SUFFIX):
                self._disk.remove(name)
        names = [name for name in names if not name.endswith(NEW_SUFFIX)]
        snapshots = [n for n in names if n.startswith(SNAPSHOT_PREFIX)]
        if snapshots:
            self._snapshot = self._read_snapshot_file(max(snapshots)).meta
        logs = [n for n in names if n.startswith(LOG_PREFIX)]
        if not logs:
            if self._voter.state.group:
                raise StorageCorrupt(f"{LOG_PREFIX}*", 0, "the log is missing")
            self._start_segment([])
            return []
        self._number = int(max(logs)[len(LOG_PREFIX) :])
        held = self._read_entries(self._log_name, cut=True)
        entries = _after(held, self._snapshot)
        self._check_first(entries)
        if len(entries) != len(held):
            self._start_segment(entries)
        self._remove_older(max(snapshots) if snapshots else None)
        return entries

    def _read_entries(self, name: str, cut: bool = False) -> list[Entry]:
        """Read a log file; with ``cut``, also cut its torn tail."""
        data = self._disk.read(name)
        entries: list[Entry] = []
        end = 0
        for offset, payload in read_frames(data):
            try:
                if offset == 0:
                    self._check_header(name, _decode_header(payload))
                else:
                    entries = _replay(entries, _decode_entries(payload))
            except (msgspec.DecodeError, ValueError) as error:
                raise StorageCorrupt(name, offset, str(error)) from error
            end = offset + HEADER_BYTES + len(payload)
        if end < len(data):
            self._check_torn(name, data, end)
            if cut:
                self._disk.truncate(name, end)
                self._sync(name)
        elif end < self._synced_size():
            raise StorageCorrupt(name, end, "the end of the file is missing")
        self._size = end
        return entries

    def _check_torn(self, name: str, data: bytes, offset: int) -> None:
        """Refuse a bad frame that was synced once."""
        if offset == 0:
            raise StorageCorrupt(name, 0, "the first record fails its checksum")
        following = find_frame(data, offset + 1)
        if following is not None:
            reason = f"a record fails its checksum, but a good one is at {following}"
            raise StorageCorrupt(name, offset, reason)
        if offset < self._synced_size():
            raise StorageCorrupt(name, offset, "a synced record fails its checksum")

    def _synced_size(self) -> int:
        """Return the synced length of the current log, as far as it is known."""
        if TAIL_FILE not in self._disk.names():
            return 0
        payload = payload_at(self._disk.read(TAIL_FILE), 0)
        if payload is None:
            return 0
        number, size = msgspec.msgpack.decode(payload, type=tuple[int, int])
        return size if number == self._number else 0

    def _check_header(self, name: str, header: SegmentHeader) -> None:
        if header.disk_id != self.disk_id:
            raise ValueError(f"the file belongs to disk {header.disk_id}")
        if name != f"{LOG_PREFIX}{header.number:016d}":
            raise ValueError(f"the file is log number {header.number}")

    def _check_first(self, entries: list[Entry]) -> None:
        base = self._snapshot.index if self._snapshot is not None else 0
        if entries and entries[0].index != base + 1:
            raise StorageCorrupt(
                self._log_name,
                0,
                f"the log starts at {entries[0].index}, the snapshot ends at {base}",
            )

    def _append(self, entries: list[Entry]) -> None:
        if not entries:
            return
        data = frame(_encode(entries))
        name = self._log_name
        with _failures(name):
            try:
                self._disk.append(name, data)
            except OSError as error:
                self._disk.truncate(name, self._size)
                raise error
            self._sync(name)
            self._size += len(data)
            self._note_synced()

    def _note_synced(self) -> None:
        # The note is an aid only, so a full disk must not fail the append.
        with contextlib.suppress(OSError):
            note = frame(_encode((self._number, self._size)))
            if TAIL_FILE in self._disk.names():
                self._disk.write_at(TAIL_FILE, 0, note.ljust(64, b"\0"))
            else:
                self._disk.create(TAIL_FILE, note.ljust(64, b"\0"))

    def _start_segment(self, entries: list[Entry]) -> None:
        """Write the entries that are still needed to a new log file."""
        old = self._log_name
        header = frame(_encode(SegmentHeader(self.disk_id, self._number + 1)))
        data = header + (frame(_encode(entries)) if entries else b"")
        self._write_new(f"{LOG_PREFIX}{self._number + 1:016d}", data)
        self._number += 1
        self._size = len(data)
        with _failures(old):
            self._disk.remove(old)

    def _write_new(self, name: str, data: bytes) -> None:
        """Create a file that is there whole or not at all."""
        with _failures(name):
            try:
                self._disk.create(name + NEW_SUFFIX, data)
            except OSError as error:
                self._disk.remove(name + NEW_SUFFIX)
                raise error
            self._sync(name + NEW_SUFFIX)
            self._disk.rename(name + NEW_SUFFIX, name)
            self._sync(None)

    def _sync(self, name: str | None) -> None:
        """Sync a file, or the folder; any error is final, also a full disk."""
        try:
            if name is None:
                self._disk.sync_folder()
            else:
                self._disk.sync(name)
        except OSError as error:
            raise StorageFailed(f"{name or 'folder'}: sync failed: {error}") from error

    def _remove_older(self, snapshot: str | None) -> None:
        for name in self._disk.names():
            older_log = name.startswith(LOG_PREFIX) and name != self._log_name
            older = name.startswith(SNAPSHOT_PREFIX) and name != snapshot
            if older_log or older:
                self._disk.remove(name)

    def _read_snapshot_file(self, name: str) -> Snapshot:
        data = self._disk.read(name)
        frames = list(read_frames(data))
        if len(frames) != 2 or sum(HEADER_BYTES + len(p) for _, p in frames) != len(
            data
        ):
            offset = frames[-1][0] if len(frames) > 1 else 0
            raise StorageCorrupt(name, offset, "the snapshot fails its checksum")
        try:
            return Snapshot(_decode_meta(frames[0][1]), frames[1][1][:-1])
        except msgspec.DecodeError as error:
            raise StorageCorrupt(name, 0, str(error)) from error


def _slot(voter: VoterState) -> bytes:
    return frame(_encode(voter)).ljust(SLOT_BYTES, b"\0")


def _merge(first: list[Entry], second: list[Entry]) -> list[Entry]:
    """Append entries; an entry replaces the one at its index and all that follow."""
    if not first or not second:
        return first + second
    return [e for e in first if e.index < second[0].index] + second


def _replay(entries: list[Entry], new: list[Entry]) -> list[Entry]:
    if entries and not entries[0].index <= new[0].index <= entries[-1].index + 1:
        raise ValueError(f"entry {new[0].index} follows entry {entries[-1].index}")
    if entries and new[0].index == entries[-1].index + 1:
        entries.extend(new)
        return entries
    return _merge(entries, new)


def _after(entries: list[Entry], meta: SnapshotMeta | None) -> list[Entry]:
    """Return the entries after a snapshot.

    When the log holds another entry at its position, all of them are of an abandoned
    branch.
    """
    if meta is None:
        return entries
    terms: dict[LogIndex, Term] = {entry.index: entry.term for entry in entries}
    if entries and entries[0].index <= meta.index:
        if terms.get(meta.index) != meta.term:
            return []
    return [entry for entry in entries if entry.index > meta.index]


@contextlib.contextmanager
def _failures(name: str) -> Iterator[None]:
    """Turn errors of the operating system into storage errors."""
    try:
        yield
    except OSError as error:
        if error.errno in _FULL:
            raise StorageFull(f"{name}: no space left") from error
        raise StorageFailed(f"{name}: {error}") from error
