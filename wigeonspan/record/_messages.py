"""Entries of the record, and the commands and messages about them."""

from enum import Enum
from typing import Any

from msgspec import Struct

from wigeonspan.common import LogIndex


class RecordKind(Enum):
    """Kind of event that an entry describes."""

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
        Log index of the command that created the entry.
    wall_ms : int
        Wall-clock time at the leader in milliseconds since 1970-01-01 UTC.
    kind : RecordKind
        Kind of event.
    actor : str
        Operator, or the component that made the decision.
    subjects : tuple of str
        Affected objects as ``kind/name``, for example ``engine/e7``.
    summary : str
        Human-readable description in one sentence.
    detail : dict
        Command as JSON data, including the inputs of a decision.
    previous, hash : str
        Hashes (SHA-256, hexadecimal) of the entry before and of this one;
        ``previous`` is empty for the first entry.
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


class RecordDecision(Struct, frozen=True, tag="note_decision"):
    """Command that records a decision with its inputs, alternatives and reason."""

    part: str
    subjects: tuple[str, ...]
    summary: str
    inputs: dict[str, Any]
    alternatives: list[dict[str, Any]]
    reason: str
    wall_ms: int


class RecordAuthority(Struct, frozen=True, tag="note_authority"):
    """Command that records that a host became leader, or how leadership was lost."""

    host: str
    term: int
    summary: str
    wall_ms: int


class RecordHead(Struct, frozen=True):
    """Head of the hash chain, part of the replicated state.

    Parameters
    ----------
    seq : int
        Position of the last entry; 0 when there is none.
    hash : str
        Hash of the last entry; empty when there is none.
    wall_ms : int
        Time of the last entry in milliseconds. Times in the record never decrease,
        even when a new leader's clock is behind.
    """

    seq: int = 0
    hash: str = ""
    wall_ms: int = 0


class EntryDraft(Struct, frozen=True):
    """Content of an entry that has no position and hash yet."""

    wall_ms: int
    kind: RecordKind
    actor: str
    subjects: tuple[str, ...]
    summary: str
    detail: dict[str, Any]


class Gap(Struct, frozen=True):
    """Range of entries that this host has not stored.

    Parameters
    ----------
    first, last : int
        Positions of the first and the last missing entry.
    previous : str
        Hash of the entry before the gap; empty at the start of the record.
    last_hash : str
        Hash that the last entry of the gap must have.
    """

    first: int
    last: int
    previous: str
    last_hash: str


class FetchRecord(Struct, frozen=True):
    """Request for entries of another member.

    With ``last`` 0, the response has no entries, only the head and completeness of the
    member's record.
    """

    first: int
    last: int


class RecordChunk(Struct, frozen=True):
    """Response to :class:`FetchRecord`.

    Parameters
    ----------
    lines : list of str
        Entries in order in their stored form, without line ends.
    head : RecordHead
        Head of the chain at the responding host.
    complete : bool
        Whether that host has stored all entries up to the head.
    """

    lines: list[str]
    head: RecordHead
    complete: bool


class RecordFilter(Struct, frozen=True):
    """Conditions of a search; empty values match everything.

    Parameters
    ----------
    since_ms, until_ms : int
        First and last wall-clock time in milliseconds; 0 for no bound.
    subjects : tuple of str
        Objects such as ``engine/e7``; an entry matches when it names one of them.
    actor : str
        Operator or component.
    kind : str
        Value of a :class:`RecordKind`.
    limit : int
        Maximum number of entries; the newest ones are returned.
    """

    since_ms: int = 0
    until_ms: int = 0
    subjects: tuple[str, ...] = ()
    actor: str = ""
    kind: str = ""
    limit: int = 100
