"""Frames with a length and a checksum, as used in the files of the data folder."""

import struct
import zlib
from collections.abc import Iterator

_HEADER = struct.Struct("<II")
HEADER_BYTES = _HEADER.size
"""Size of the header before each payload (length and CRC-32), in bytes."""


class StorageError(Exception):
    """Error of the data folder."""


class StorageCorrupt(StorageError):
    """A file has contents that this program did not write.

    Parameters
    ----------
    file : str
        Name of the file.
    offset : int
        Position of the unreadable data, in bytes.
    reason : str
        Description of the problem.
    """

    def __init__(self, file: str, offset: int, reason: str) -> None:
        super().__init__(f"{file}: offset {offset}: {reason}")
        self.file = file
        self.offset = offset


class StorageFailed(StorageError):
    """A write or sync failed, so the contents of the disk are unknown."""


class StorageFull(StorageError):
    """The disk is full; data written earlier is intact."""


class SyncFull(StorageFull):
    """A sync found no space, so the newly written data may be on disk or not.

    A later sync could succeed without writing it. The data must therefore be written
    again, or removed, before anything else rests on the file.
    """


def encode_frame(payload: bytes) -> bytes:
    """Return a payload preceded by its length and checksum."""
    length = len(payload).to_bytes(4, "little")
    return _HEADER.pack(len(payload), zlib.crc32(payload, zlib.crc32(length))) + payload


def read_frame(data: bytes, offset: int) -> bytes | None:
    """Return the payload of the valid frame at an offset, or None without one."""
    if offset + HEADER_BYTES > len(data):
        return None
    length, checksum = _HEADER.unpack_from(data, offset)
    first = offset + HEADER_BYTES
    if length == 0 or first + length > len(data):
        return None
    start = zlib.crc32(data[offset : offset + 4])
    payload = data[first : first + length]
    return payload if zlib.crc32(payload, start) == checksum else None


def read_frames(data: bytes) -> Iterator[tuple[int, bytes]]:
    """Yield offset and payload of each frame up to the first invalid one."""
    offset = 0
    while (payload := read_frame(data, offset)) is not None:
        yield offset, payload
        offset += HEADER_BYTES + len(payload)


def find_frame(data: bytes, offset: int) -> int | None:
    """Return the offset of the first valid frame at or after an offset, if any."""
    for candidate in range(offset, len(data) - HEADER_BYTES):
        if read_frame(data, candidate) is not None:
            return candidate
    return None
