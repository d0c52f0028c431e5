"""Search of record files."""

from collections.abc import Callable
from pathlib import Path

from wigeonspan.record._messages import RecordEntry, RecordFilter
from wigeonspan.record._segments import first_entry, read_segment

MAX_LIMIT = 10_000
"""Largest number of entries of one search."""


def find_entries(
    paths: list[Path], query: RecordFilter
) -> tuple[list[RecordEntry], bool]:
    """Return the newest matching entries, oldest first.

    Parameters
    ----------
    paths : list of Path
        Segment files in order.
    query : RecordFilter
        What to look for.

    Returns
    -------
    entries : list of RecordEntry
        At most ``query.limit`` entries.
    truncated : bool
        Whether older entries matched too.

    Raises
    ------
    RecordFault
        When a file is damaged.
    """
    matches = make_match(query)
    limit = max(1, min(query.limit, MAX_LIMIT))
    found: list[RecordEntry] = []
    for path in reversed(_select(paths, query)):
        found = [entry for entry in read_segment(path) if matches(entry)] + found
        if len(found) > limit:
            break
    return found[-limit:], len(found) > limit


def _select(paths: list[Path], query: RecordFilter) -> list[Path]:
    """Return the files that may hold entries of the times that are asked for.

    Times in the record never go back, so the first line of each file suffices.
    """
    if not (query.since_ms or query.until_ms):
        return paths
    starts = [first_entry(path).wall_ms for path in paths]
    selected = []
    for path, start, end in zip(paths, starts, [*starts[1:], None], strict=True):
        early = query.since_ms and end is not None and end < query.since_ms
        late = query.until_ms and start > query.until_ms
        if not (early or late):
            selected.append(path)
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
