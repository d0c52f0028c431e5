"""Checksummed frames of the files in the data folder."""

import struct
import zlib
from collections.abc import Iterator

_HEADER = struct.Struct("<II")
HEADER_BYTES = _HEADER.size
"""Length and CRC-32 before each payload, in bytes."""


class StorageError(Exception):
    """Fault of the data folder."""


class StorageCorrupt(StorageError):
    """A file holds what this program has not written.

    Parameters
    ----------
    file : str
        Name of the file.
    offset : int
        Position of the fault in bytes.
    reason : str
        What is wrong there.
    """

    def __init__(self, file: str, offset: int, reason: str) -> None:
        super().__init__(f"{file}: offset {offset}: {reason}")
        self.file = file
        self.offset = offset


class StorageFailed(StorageError):
    """A write or sync failed, so nothing is known about what the disk holds."""


class StorageFull(StorageError):
    """There is no space left; what was written before is intact."""


def frame(payload: bytes) -> bytes:
    """Return a payload with its length and checksum."""
    length = len(payload).to_bytes(4, "little")
    return _HEADER.pack(len(payload), zlib.crc32(payload, zlib.crc32(length))) + payload


def payload_at(data: bytes, offset: int) -> bytes | None:
    """Return the payload of the frame at an offset, or None when there is none."""
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
    """Yield offset and payload of each frame up to the first bad one."""
    offset = 0
    while (payload := payload_at(data, offset)) is not None:
        yield offset, payload
        offset += HEADER_BYTES + len(payload)


def find_frame(data: bytes, offset: int) -> int | None:
    """Return the offset of the first good frame at or after an offset."""
    for candidate in range(offset, len(data) - HEADER_BYTES):
        if payload_at(data, candidate) is not None:
            return candidate
    return None
