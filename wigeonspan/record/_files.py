"""Files of the record as they are found on disk."""

import os
from collections.abc import Iterator
from pathlib import Path
from typing import BinaryIO

from msgspec import Struct

from wigeonspan.common import part_logger
from wigeonspan.record._chain import decode_line, head_after
from wigeonspan.record._errors import RecordFault
from wigeonspan.record._messages import RecordEntry, RecordHead

PREFIX = "record-"
SUFFIX = ".jsonl"

TAIL_BYTES = 64 * 1024
"""Bytes read at once to find the last line of a file."""

_log = part_logger("record")


class RecordFile(Struct, frozen=True):
    """File of the record.

    Parameters
    ----------
    size : int
        Bytes that are written whole; -1 for all of it.
    """

    path: Path
    size: int = -1


class Segment:
    """One file and the chain at its ends."""

    def __init__(self, path: Path, first: RecordEntry, head: RecordHead, size: int):
        self.path = path
        self.first = first.seq
        self.previous = first.previous
        self.head = head
        self.size = size


def segment_paths(folder: Path) -> list[Path]:
    """Return the segment files of a folder in order."""
    return sorted(folder.glob(f"{PREFIX}*{SUFFIX}"))


def record_files(folder: Path) -> list[RecordFile]:
    """Return the whole files of a folder in order."""
    return [RecordFile(path) for path in segment_paths(folder)]


def first_entry(path: Path) -> RecordEntry:
    """Return the checked first entry of a file.

    Raises
    ------
    RecordFault
        When the line is not what was written.
    """
    with open(path, "rb") as file:
        line = file.readline()
    return decode_line(line.removesuffix(b"\n"), f"{path.name}: offset 0")


def read_bytes(file: RecordFile) -> bytes:
    """Return the part of a file that is written whole."""
    with open(file.path, "rb") as opened:
        return opened.read(file.size)


def read_file(file: RecordFile) -> Iterator[RecordEntry]:
    """Yield the checked entries of a file.

    Raises
    ------
    RecordFault
        At the first line that is not what was written, with its offset.
    """
    data = read_bytes(file)
    offset = 0
    while offset < len(data):
        end = data.find(b"\n", offset)
        place = f"{file.path.name}: offset {offset}"
        if end < 0:
            raise RecordFault(place, "the last line has no end")
        yield decode_line(data[offset:end], place)
        offset = end + 1


def cut_damaged_end(path: Path) -> None:
    """Cut what a crash left at the end of the last file.

    Writes that were not synced may be torn or out of order after a power loss. The
    entries come again from the log, or from another member if a snapshot covers them.
    """
    data = path.read_bytes()
    if not data:
        path.unlink()
        return
    good = 0
    while good < len(data):
        end = data.find(b"\n", good)
        try:
            if end < 0:
                raise RecordFault(path.name, "the last line has no end")
            decode_line(data[good:end], path.name)
        except RecordFault as fault:
            _cut(path, data, good, str(fault))
            return
        good = end + 1


def _cut(path: Path, data: bytes, good: int, reason: str) -> None:
    _log.warning("{} is cut at offset {}: {}.", path.name, good, reason)
    if b"\n" in data[good:]:
        # More than one torn line: keep the bytes as evidence.
        path.with_suffix(".damaged").write_bytes(data[good:])
    if good == 0:
        path.unlink()
        return
    with open(path, "r+b") as file:
        file.truncate(good)
        os.fsync(file.fileno())


def open_segment(path: Path) -> Segment | None:
    if not path.exists():
        return None
    first = first_entry(path)
    with open(path, "rb") as file:
        size = os.fstat(file.fileno()).st_size
        last = decode_line(_last_line(file, size), path.name)
    return Segment(path, first, head_after(last), size)


def _last_line(file: BinaryIO, size: int) -> bytes:
    """Return the last line of a file, reading backwards from its end."""
    step = TAIL_BYTES
    while True:
        start = max(0, size - step)
        file.seek(start)
        data = file.read(size - start)
        lines = data.removesuffix(b"\n").split(b"\n")
        if len(lines) > 1 or start == 0:
            return lines[-1]
        step *= 2


def sync_path(path: Path) -> None:
    fd = os.open(path, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
