"""Search of record files."""

from collections.abc import Callable

from wigeonspan.common import encode
from wigeonspan.record._chain import decode_line
from wigeonspan.record._files import RecordFile, first_entry, read_bytes
from wigeonspan.record._messages import RecordEntry, RecordFilter

MAX_LIMIT = 10_000
"""Maximum number of entries that one search returns."""


def find_entries(
    files: list[RecordFile], query: RecordFilter, max_files: int = 0
) -> tuple[list[RecordEntry], bool]:
    """Return the newest matching entries, oldest first.

    Parameters
    ----------
    files : list of RecordFile
        Files in order.
    query : RecordFilter
        Conditions of the search.
    max_files : int
        Maximum number of files to read, newest first; 0 for all.

    Returns
    -------
    entries : list of RecordEntry
        At most ``query.limit`` and ``MAX_LIMIT`` entries.
    truncated : bool
        Whether older entries match as well or older files were not read.

    Raises
    ------
    RecordError
        When a line that may match is damaged.
    """
    limit = max(1, min(query.limit, MAX_LIMIT))
    selected = _select_files(files, query)
    found: list[RecordEntry] = []
    for count, file in enumerate(reversed(selected), start=1):
        found = _find_in_file(file, query) + found
        if len(found) > limit or count == max_files:
            unread = count < len(selected)
            return found[-limit:], len(found) > limit or unread
    return found[-limit:], False


def _find_in_file(file: RecordFile, query: RecordFilter) -> list[RecordEntry]:
    """Return the matching entries of one file.

    Lines are filtered as raw bytes first, because decoding and verifying an entry takes
    about 30 times as long.
    """
    matches = make_matcher(query)
    term_lists = _search_terms(query)
    found = []
    offset = 0
    for line in read_bytes(file).split(b"\n"):
        if line and all(any(term in line for term in terms) for terms in term_lists):
            entry = decode_line(line, f"{file.path.name}: offset {offset}")
            if matches(entry):
                found.append(entry)
        offset += len(line) + 1
    return found


def _search_terms(query: RecordFilter) -> list[list[bytes]]:
    """Return lists of byte strings; a matching line contains one of each list."""
    term_lists = []
    if query.subjects:
        term_lists.append([encode(subject) for subject in query.subjects])
    if query.actor:
        term_lists.append([b'"actor":' + encode(query.actor)])
    if query.kind:
        term_lists.append([b'"kind":' + encode(query.kind)])
    return term_lists


def _select_files(files: list[RecordFile], query: RecordFilter) -> list[RecordFile]:
    """Return the files that may contain entries of the requested time range.

    Times in the record never decrease, so reading the first line of each file suffices.
    """
    if not (query.since_ms or query.until_ms):
        return files
    starts = [first_entry(file.path).wall_ms for file in files]
    selected = []
    for file, start, end in zip(files, starts, [*starts[1:], None], strict=True):
        too_early = query.since_ms and end is not None and end < query.since_ms
        too_late = query.until_ms and start > query.until_ms
        if not (too_early or too_late):
            selected.append(file)
    return selected


def make_matcher(query: RecordFilter) -> Callable[[RecordEntry], bool]:
    """Return a predicate that checks whether an entry matches a search."""
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
