"""Verification of record files, independent of the daemon that wrote them."""

from collections.abc import Iterator
from pathlib import Path

from msgspec import Struct

from wigeonspan.record._chain import check_link, head_after
from wigeonspan.record._errors import RecordError
from wigeonspan.record._files import RecordFile, read_file, record_files
from wigeonspan.record._messages import RecordEntry, RecordHead


class Verification(Struct, frozen=True):
    """Result of a verification.

    Parameters
    ----------
    entries : int
        Number of valid entries.
    head : RecordHead
        Last entry of the unbroken chain from the first entry.
    faults : list of str
        Descriptions of the faults, with file and offset where known.
    """

    entries: int
    head: RecordHead
    faults: list[str]


def verify(folder: Path, seq: int = 0, expected: str = "") -> Verification:
    """Check every entry and that the hash chain has no gaps.

    Parameters
    ----------
    folder : Path
        Folder of the record.
    seq, expected : int, str
        Position and hash of an entry that were saved in another place. They detect
        that the end of the record was removed or the whole record was rewritten.

    Returns
    -------
    Verification
        Result; the record is valid when it lists no faults.
    """
    head = RecordHead()
    count = 0
    faults = []
    expected_found = not seq
    files = record_files(folder)
    if not files:
        faults.append(f"{folder}: there are no record files")
    for file in files:
        try:
            for entry in _read_linked(file, head):
                count += 1
                head = head_after(entry)
                if entry.seq == seq:
                    expected_found = entry.hash == expected
        except RecordError as fault:
            faults.append(str(fault))
            break
    if not expected_found:
        faults.append(f"entry {seq} with hash {expected} is not in the record")
    return Verification(count, head, faults)


def _read_linked(file: RecordFile, head: RecordHead) -> Iterator[RecordEntry]:
    """Yield the entries of a file, checking that they continue the chain."""
    for entry in read_file(file):
        check_link(entry, head, file.path.name)
        head = head_after(entry)
        yield entry
