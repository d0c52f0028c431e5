"""Search of record files."""

from collections.abc import Callable

from wigeonspan.common import encode
from wigeonspan.record._chain import decode_line
from wigeonspan.record._files import RecordFile, first_entry, read_bytes
from wigeonspan.record._messages import RecordEntry, RecordFilter

MAX_LIMIT = 10_000
"""Largest number of entries of one search."""


def find_entries(
    files: list[RecordFile], query: RecordFilter, max_files: int = 0
) -> tuple[list[RecordEntry], bool]:
    """Return the newest matching entries, oldest first.

    Parameters
    ----------
    files : list of RecordFile
        Files in order.
    query : RecordFilter
        What to look for.
    max_files : int
        Largest number of files that are read; 0 for all.

    Returns
    -------
    entries : list of RecordEntry
        At most ``query.limit`` entries.
    truncated : bool
        Whether older entries matched too, or older files were not read.

    Raises
    ------
    RecordFault
        When an entry that may match is damaged.
    """
    limit = max(1, min(query.limit, MAX_LIMIT))
    selected = _select(files, query)
    found: list[RecordEntry] = []
    for count, file in enumerate(reversed(selected), start=1):
        found = _matching(file, query) + found
        if len(found) > limit or count == max_files:
            unread = count < len(selected)
            return found[-limit:], len(found) > limit or unread
    return found[-limit:], False


def _matching(file: RecordFile, query: RecordFilter) -> list[RecordEntry]:
    """Return the matching entries of one file.

    Lines are looked through as bytes first, because decoding and checking an entry
    costs about 30 times as much.
    """
    matches = make_match(query)
    needles = _needles(query)
    found = []
    offset = 0
    for line in read_bytes(file).split(b"\n"):
        if line and all(any(n in line for n in some) for some in needles):
            entry = decode_line(line, f"{file.path.name}: offset {offset}")
            if matches(entry):
                found.append(entry)
        offset += len(line) + 1
    return found


def _needles(query: RecordFilter) -> list[list[bytes]]:
    """Return texts of which a matching line has at least one from each list."""
    needles = []
    if query.subjects:
        needles.append([encode(subject) for subject in query.subjects])
    if query.actor:
        needles.append([b'"actor":' + encode(query.actor)])
    if query.kind:
        needles.append([b'"kind":' + encode(query.kind)])
    return needles


def _select(files: list[RecordFile], query: RecordFilter) -> list[RecordFile]:
    """Return the files that may hold entries of the times that are asked for.

    Times in the record never go back, so the first line of each file suffices.
    """
    if not (query.since_ms or query.until_ms):
        return files
    starts = [first_entry(file.path).wall_ms for file in files]
    selected = []
    for file, start, end in zip(files, starts, [*starts[1:], None], strict=True):
        early = query.since_ms and end is not None and end < query.since_ms
        late = query.until_ms and start > query.until_ms
        if not (early or late):
            selected.append(file)
    return selected


def make_match(query: RecordFilter) -> Callable[[RecordEntry], bool]:
    """Return a function that says whether an entry matches a search."""
    subjects = frozenset(query.subjects)

    def matches(entry: RecordEntry) -> bool:
        if query.since_ms and entry.wall_ms < query.since_ms:
            return False
        if query.until_ms and entry.wall_ms > query.until_ms:
            return False
        if subjects and subjects.isdisjoint(entry.subjects):
            return False
        if query.actor and entry.actor != query.actor:
            return False
        return not query.kind or entry.kind.value == query.kind

    return matches
