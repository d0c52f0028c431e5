"""Entries of the record."""

from enum import Enum
from typing import Any

from msgspec import Struct

from wigeonspan.common import LogIndex


class RecordKind(Enum):
    """What an entry tells of."""

    CHANGE = "change"
    ENGINE = "engine"
    ORDER = "order"
    DECISION = "decision"
    AUTHORITY = "authority"
    CALL = "call"


class RecordEntry(Struct, frozen=True):
    """One entry of the hash-chained record.

    Parameters
    ----------
    seq : int
        Position in the record, from 1.
    index : LogIndex
        Log entry that it came from.
    wall_ms : int
        Wall-clock time at the leader in milliseconds.
    actor : str
        Operator, or the part of the system that decided.
    subjects : tuple of str
        Objects concerned, each ``kind/name``, for example ``engine/e7``.
    summary : str
        One sentence for a person.
    detail : dict
        The command as plain data, with the inputs of a decision.
    previous, hash : str
        SHA-256 chain in hexadecimal; ``previous`` is empty for the first entry.
    """

    seq: int
    index: LogIndex
    wall_ms: int
    kind: RecordKind
    actor: str
    subjects: tuple[str, ...]
    summary: str
    detail: dict[str, Any]
    previous: str
    hash: str


class NoteDecision(Struct, frozen=True, tag="note_decision"):
    """Command: record a decision with its inputs, alternatives and reason."""

    part: str
    subjects: tuple[str, ...]
    summary: str
    inputs: dict[str, Any]
    alternatives: list[dict[str, Any]]
    reason: str
    wall_ms: int


class NoteAuthority(Struct, frozen=True, tag="note_authority"):
    """Command: record that a host gained authority, or how it was lost before."""

    host: str
    term: int
    summary: str
    wall_ms: int
