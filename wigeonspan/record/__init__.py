"""Hash-chained record of decisions."""

from wigeonspan.record._messages import (
    NoteAuthority,
    NoteDecision,
    RecordEntry,
    RecordKind,
)

__all__ = [
    "NoteAuthority",
    "NoteDecision",
    "RecordEntry",
    "RecordKind",
]
