"""Write-ahead log: frames of entries in numbered files; the highest number is current.

Each sync covers one frame. An invalid frame that is followed by a valid one was
therefore synced and is corrupt, while an invalid frame at the end may be a torn write.
In the log itself, a torn write and damage to the last frame look the same. The tail
file tells them apart: it records the length synced last. It is not synced itself and
so may be missing or out of date.
"""

import contextlib

import msgspec
from msgspec import Struct

from wigeonspan.common import DECODE_ERRORS
from wigeonspan.consensus._disk import Disk
from wigeonspan.consensus._files import sync, translate_os_errors, write_atomically
from wigeonspan.consensus._frames import (
    HEADER_BYTES,
    StorageCorrupt,
    StorageFull,
    encode_frame,
    find_frame,
    read_frame,
    read_frames,
)
from wigeonspan.consensus._messages import Entry

LOG_PREFIX = "log-"
TAIL_FILE = "tail"

TAIL_BYTES = 64
"""Size of the tail file in bytes; it is overwritten in place."""

_encode = msgspec.msgpack.Encoder().encode


class LogHeader(Struct, frozen=True):
    """First frame of a log file."""

    disk_id: str
    number: int


_decode_header = msgspec.msgpack.Decoder(LogHeader).decode
_decode_entries = msgspec.msgpack.Decoder(list[Entry]).decode
_decode_tail = msgspec.msgpack.Decoder(tuple[int, int]).decode


class LogFile:
    """Log of one voter on disk.

    Parameters
    ----------
    disk : Disk
        Data folder.
    disk_id : str
        Disk identity that the headers of the files must have.
    """

    def __init__(self, disk: Disk, disk_id: str) -> None:
        self._disk = disk
        self._disk_id = disk_id
        self._number = 0
        self._size = 0
        self._tail_created = False
        # Whether a refused frame may be in the file, after its end.
        self._has_refused_frame = False

    @property
    def name(self) -> str:
        """Return the name of the current file."""
        return f"{LOG_PREFIX}{self._number:016d}"

    def open(self, names: list[str]) -> list[Entry]:
        """Read the current log file and remove a torn write from its end.

        The file is synced: a process that was killed may have written entries and not
        synced them, and they count as synced from now on.

        Raises
        ------
        SyncFull
            When the sync found no space. It may have dropped entries, so the file must
            be replaced even if a later sync succeeds.
        StorageCorrupt
            When a frame that was synced cannot be read.
        """
        self._number = max(int(name[len(LOG_PREFIX) :]) for name in names)
        entries = self.read()
        if self._size < len(self._disk.read(self.name)):
            self._disk.truncate(self.name, self._size)
        sync(self._disk, self.name)
        return entries

    def remove_refused_frame(self) -> None:
        """Cut off what a full disk may have left of a frame, and sync the file.

        Raises
        ------
        StorageFull, StorageFailed
            As in ``append``.
        """
        if self._has_refused_frame:
            with translate_os_errors(self.name):
                self._disk.truncate(self.name, self._size)
            sync(self._disk, self.name)
            self._has_refused_frame = False

    def read(self) -> list[Entry]:
        """Return the entries of the current file."""
        data = self._disk.read(self.name)
        entries: list[Entry] = []
        end = 0
        for offset, payload in read_frames(data):
            try:
                if offset == 0:
                    self._check_header(_decode_header(payload))
                else:
                    entries = _apply_frame(entries, _decode_entries(payload))
            except (*DECODE_ERRORS, ValueError) as error:
                raise StorageCorrupt(self.name, offset, str(error)) from error
            end = offset + HEADER_BYTES + len(payload)
        self._check_end(data, end)
        self._size = end
        return entries

    def append(self, entries: list[Entry]) -> None:
        """Write and sync entries as one frame.

        Raises
        ------
        StorageFull
            When there is no space; the entries are not in the file.
        SyncFull
            When the sync found no space. The entries may be in the file, as after a
            power loss, until the next write or start.
        StorageFailed
            When the write or sync failed.
        """
        self.remove_refused_frame()
        data = encode_frame(_encode(entries))
        self._has_refused_frame = True
        try:
            with translate_os_errors(self.name):
                self._disk.append(self.name, data)
            sync(self._disk, self.name)
        except StorageFull:
            # Cut off at once for a process that is killed and reads the file again; the
            # sync of the cut may fail too, so it is repeated before the next write.
            with contextlib.suppress(OSError):
                self._disk.truncate(self.name, self._size)
            raise
        self._has_refused_frame = False
        self._size += len(data)
        self._write_tail()

    def replace(self, entries: list[Entry]) -> None:
        """Start a new log file with only these entries."""
        old, number = self.name, self._number + 1
        data = encode_frame(_encode(LogHeader(self._disk_id, number)))
        if entries:
            data += encode_frame(_encode(entries))
        write_atomically(self._disk, f"{LOG_PREFIX}{number:016d}", data)
        self._number, self._size = number, len(data)
        self._has_refused_frame = False
        with translate_os_errors(old):
            self._disk.remove(old)

    def _check_end(self, data: bytes, end: int) -> None:
        """Raise an error if a frame that was synced is invalid or missing."""
        if end < len(data):
            if end == 0:
                raise StorageCorrupt(
                    self.name, 0, "the first record fails its checksum"
                )
            following = find_frame(data, end + 1)
            if following is not None:
                reason = f"record fails its checksum, but a good one is at {following}"
                raise StorageCorrupt(self.name, end, reason)
        if end < self._read_tail():
            raise StorageCorrupt(self.name, end, "a synced record is damaged")

    def _check_header(self, header: LogHeader) -> None:
        if header.disk_id != self._disk_id:
            raise ValueError(f"the file belongs to disk {header.disk_id}")
        if header.number != self._number:
            raise ValueError(f"the file is log number {header.number}")

    def _read_tail(self) -> int:
        """Return the synced length from the tail file; 0 when it is not known."""
        if TAIL_FILE not in self._disk.names():
            return 0
        payload = read_frame(self._disk.read(TAIL_FILE), 0)
        if payload is None:
            return 0
        try:
            number, size = _decode_tail(payload)
        except DECODE_ERRORS:
            return 0
        return size if number == self._number else 0

    def _write_tail(self) -> None:
        # The tail file is optional, so a full disk must not fail the append.
        with contextlib.suppress(OSError):
            tail = encode_frame(_encode((self._number, self._size)))
            tail = tail.ljust(TAIL_BYTES, b"\0")
            if self._tail_created:
                self._disk.write_at(TAIL_FILE, 0, tail)
            else:
                self._disk.create(TAIL_FILE, tail)
                self._tail_created = True


def merge_entries(first: list[Entry], second: list[Entry]) -> list[Entry]:
    """Append entries, replacing all from the first index of the second list on."""
    if not first or not second:
        return first + second
    return [e for e in first if e.index < second[0].index] + second


def _apply_frame(entries: list[Entry], new: list[Entry]) -> list[Entry]:
    if not entries:
        return new
    if new[0].index == entries[-1].index + 1:
        entries.extend(new)
        return entries
    if not entries[0].index <= new[0].index <= entries[-1].index:
        raise ValueError(f"entry {new[0].index} follows entry {entries[-1].index}")
    return merge_entries(entries, new)
