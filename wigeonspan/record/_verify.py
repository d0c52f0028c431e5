"""Check of record files without the daemon that wrote them."""

from collections.abc import Iterator
from pathlib import Path

from msgspec import Struct

from wigeonspan.record._chain import check_link, head_after
from wigeonspan.record._errors import RecordFault
from wigeonspan.record._files import RecordFile, read_file, record_files
from wigeonspan.record._messages import RecordEntry, RecordHead


class Verification(Struct, frozen=True):
    """Result of a check.

    Parameters
    ----------
    entries : int
        Entries that were read.
    head : RecordHead
        Last good entry of an unbroken chain from the first.
    faults : list of str
        What is wrong, each with file and offset.
    """

    entries: int
    head: RecordHead
    faults: list[str]


def verify(folder: Path, seq: int = 0, expected: str = "") -> Verification:
    """Check every entry, the chain between entries and that none is missing.

    Parameters
    ----------
    folder : Path
        Folder of the record.
    seq, expected : int, str
        Position and hash of an entry that was noted elsewhere. They show that the
        end of the record was not cut off or the whole record written anew.

    Returns
    -------
    Verification
        The result; good when it has no faults.
    """
    head = RecordHead()
    count = 0
    faults = []
    witnessed = not seq
    files = record_files(folder)
    if not files:
        faults.append(f"{folder}: there are no record files")
    for file in files:
        try:
            for entry in _linked(file, head):
                count += 1
                head = head_after(entry)
                if entry.seq == seq:
                    witnessed = entry.hash == expected
        except RecordFault as fault:
            faults.append(str(fault))
            break
    if not witnessed:
        faults.append(f"entry {seq} with hash {expected} is not in the record")
    return Verification(count, head, faults)


def _linked(file: RecordFile, head: RecordHead) -> Iterator[RecordEntry]:
    """Yield the entries of a file that continue a chain."""
    for entry in read_file(file):
        check_link(entry, head, file.path.name)
        head = head_after(entry)
        yield entry
