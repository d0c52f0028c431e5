"""Reading and repair of record files on disk."""

import os
import re
from collections.abc import Iterator
from pathlib import Path
from typing import BinaryIO

from msgspec import Struct

from wigeonspan.common import part_logger
from wigeonspan.record._chain import decode_line, head_after
from wigeonspan.record._errors import RecordError
from wigeonspan.record._messages import RecordEntry, RecordHead

PREFIX = "record-"
SUFFIX = ".jsonl"
_SEGMENT_NAME = re.compile(re.escape(PREFIX) + "[0-9]{12,}" + re.escape(SUFFIX))

TAIL_READ_BYTES = 64 * 1024
"""Initial number of bytes to read from the end of a file to find its last line."""

_log = part_logger("record")


class RecordFile(Struct, frozen=True):
    """One file of the record.

    Parameters
    ----------
    path : Path
        Path of the file.
    size : int
        Number of bytes that are completely written; -1 for the whole file.
    """

    path: Path
    size: int = -1


class Segment:
    """Segment file and its place in the hash chain.

    Parameters
    ----------
    path : Path
        Path of the file.
    first : RecordEntry
        First entry of the file.
    head : RecordHead
        Head of the chain after the last entry of the file.
    size : int
        Number of bytes that are completely written.
    """

    def __init__(self, path: Path, first: RecordEntry, head: RecordHead, size: int):
        self.path = path
        self.first = first.seq
        self.previous = first.previous
        self.head = head
        self.size = size


def segment_paths(folder: Path) -> list[Path]:
    """Return the paths of the segment files of a folder in order.

    Copies with other names, which operators leave beside them, are not segments.
    """
    paths = folder.glob(f"{PREFIX}*{SUFFIX}")
    return sorted(path for path in paths if _SEGMENT_NAME.fullmatch(path.name))


def record_files(folder: Path) -> list[RecordFile]:
    """Return the record files of a folder in order, without a limit on their size."""
    return [RecordFile(path) for path in segment_paths(folder)]


def first_entry(path: Path) -> RecordEntry:
    """Return the first entry of a file after verifying it.

    Raises
    ------
    RecordError
        When the line is not exactly as it was written.
    """
    with open(path, "rb") as file:
        line = file.readline()
    return decode_line(line.removesuffix(b"\n"), f"{path.name}: offset 0")


def read_bytes(file: RecordFile) -> bytes:
    """Read the completely written part of a file."""
    with open(file.path, "rb") as stream:
        return stream.read(file.size)


def read_file(file: RecordFile) -> Iterator[RecordEntry]:
    """Yield the entries of a file, each after verifying it.

    Raises
    ------
    RecordError
        At the first line that is not exactly as it was written, with its offset.
    """
    data = read_bytes(file)
    offset = 0
    while offset < len(data):
        end = data.find(b"\n", offset)
        location = f"{file.path.name}: offset {offset}"
        if end < 0:
            raise RecordError(location, "the last line has no end")
        yield decode_line(data[offset:end], location)
        offset = end + 1


def truncate_damaged_tail(path: Path) -> None:
    """Truncate the last file at its first damaged line.

    After a power loss, writes that were not synced may be incomplete or out of order.
    The removed entries are restored from the log, or from another member when a
    snapshot covers them. An empty file is deleted.
    """
    data = path.read_bytes()
    if not data:
        path.unlink()
        return
    valid_size = 0
    while valid_size < len(data):
        end = data.find(b"\n", valid_size)
        try:
            if end < 0:
                raise RecordError(path.name, "the last line has no end")
            decode_line(data[valid_size:end], path.name)
        except RecordError as fault:
            _truncate(path, data, valid_size, str(fault))
            return
        valid_size = end + 1


def _truncate(path: Path, data: bytes, valid_size: int, reason: str) -> None:
    _log.warning(
        "Truncating damaged file {} at offset {}: {}.", path.name, valid_size, reason
    )
    if b"\n" in data[valid_size:]:
        # More than an incomplete last line: keep the bytes for an investigation.
        path.with_suffix(".damaged").write_bytes(data[valid_size:])
    if valid_size == 0:
        path.unlink()
        return
    with open(path, "r+b") as file:
        file.truncate(valid_size)
        os.fsync(file.fileno())


def open_segment(path: Path) -> Segment | None:
    """Open a segment file; return None when it does not exist.

    Only the first and the last entry are read.
    """
    if not path.exists():
        return None
    first = first_entry(path)
    with open(path, "rb") as file:
        size = os.fstat(file.fileno()).st_size
        last = decode_line(_last_line(file, size), path.name)
    return Segment(path, first, head_after(last), size)


def _last_line(file: BinaryIO, size: int) -> bytes:
    """Return the last line of a file, reading only as much of its end as needed."""
    read_size = TAIL_READ_BYTES
    while True:
        start = max(0, size - read_size)
        file.seek(start)
        data = file.read(size - start)
        lines = data.removesuffix(b"\n").split(b"\n")
        if len(lines) > 1 or start == 0:
            return lines[-1]
        read_size *= 2


def fsync_path(path: Path) -> None:
    """Sync a file or folder to disk."""
    fd = os.open(path, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
