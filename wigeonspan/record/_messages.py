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


class RecordHead(Struct, frozen=True):
    """End of the record, part of the replicated state.

    Parameters
    ----------
    seq : int
        Position of the last entry; 0 when there is none.
    hash : str
        Its hash; empty when there is none.
    wall_ms : int
        Its time. Times in the record never go back, whichever clock the leader has.
    """

    seq: int = 0
    hash: str = ""
    wall_ms: int = 0


class Draft(Struct, frozen=True):
    """What an entry tells, before it gets its place in the chain."""

    wall_ms: int
    kind: RecordKind
    actor: str
    subjects: tuple[str, ...]
    summary: str
    detail: dict[str, Any]


class Gap(Struct, frozen=True):
    """Entries ``first`` to ``last`` that this host does not hold.

    Parameters
    ----------
    previous : str
        Hash of the entry before the gap; empty at the start of the record.
    following : str
        Hash that the last entry of the gap must have.
    """

    first: int
    last: int
    previous: str
    following: str


class FetchRecord(Struct, frozen=True):
    """Message: ask another member for entries; ``last`` 0 asks for its state only."""

    first: int
    last: int


class RecordChunk(Struct, frozen=True):
    """Answer to :class:`FetchRecord`.

    Parameters
    ----------
    lines : list of str
        Entries in order as they are stored, without line ends.
    head : RecordHead
        End of the record as this host has applied it.
    complete : bool
        Whether the host holds every entry up to there.
    """

    lines: list[str]
    head: RecordHead
    complete: bool


class RecordFilter(Struct, frozen=True):
    """Search of the record; empty values match everything.

    Parameters
    ----------
    since_ms, until_ms : int
        Wall-clock times in milliseconds; 0 leaves the end open.
    subjects : tuple of str
        Objects such as ``engine/e7``; an entry matches when it names one of them.
    limit : int
        Largest number of entries; the newest are kept.
    """

    since_ms: int = 0
    until_ms: int = 0
    subjects: tuple[str, ...] = ()
    actor: str = ""
    kind: str = ""
    limit: int = 100
