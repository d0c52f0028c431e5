"""Hash-chained record of decisions."""

from wigeonspan.record._messages import (
    NoteAuthority,
    NoteDecision,
    RecordEntry,
    RecordKind,
)
from wigeonspan.record._time import parse_time

__all__ = [
    "NoteAuthority",
    "NoteDecision",
    "RecordEntry",
    "RecordKind",
    "parse_time",
]
