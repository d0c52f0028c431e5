"""Hash-chained record of changes, decisions and other events, for audits.

The HTTP handler and the background task are in ``wigeonspan.record.tasks``.
"""

from wigeonspan.record._errors import RecordError
from wigeonspan.record._explain import explain
from wigeonspan.record._files import RecordFile, record_files
from wigeonspan.record._messages import (
    EntryDraft,
    FetchRecord,
    Gap,
    RecordAuthority,
    RecordChunk,
    RecordDecision,
    RecordEntry,
    RecordFilter,
    RecordHead,
    RecordKind,
)
from wigeonspan.record._query import find_entries
from wigeonspan.record._store import RecordStore
from wigeonspan.record._time import parse_time
from wigeonspan.record._verify import Verification, verify

__all__ = [
    "EntryDraft",
    "FetchRecord",
    "Gap",
    "RecordAuthority",
    "RecordChunk",
    "RecordDecision",
    "RecordEntry",
    "RecordError",
    "RecordFile",
    "RecordFilter",
    "RecordHead",
    "RecordKind",
    "RecordStore",
    "Verification",
    "explain",
    "find_entries",
    "parse_time",
    "record_files",
    "verify",
]
