"""Hash chain of the record and the form of its lines.

A line is the JSON of one entry in exactly one form, so that any changed byte shows:
the line no longer decodes, encodes differently, or has another hash.
"""

import hashlib

import msgspec

from wigeonspan.common import LogIndex
from wigeonspan.record._errors import RecordFault
from wigeonspan.record._messages import Draft, RecordEntry, RecordHead

_encoder = msgspec.json.Encoder(order="deterministic")
_decoder = msgspec.json.Decoder(RecordEntry)


def make_entry(head: RecordHead, index: LogIndex, draft: Draft) -> RecordEntry:
    """Return the entry that follows a head.

    Parameters
    ----------
    head : RecordHead
        End of the record so far.
    index : LogIndex
        Log entry that it comes from.
    draft : Draft
        What it tells.

    Returns
    -------
    RecordEntry
        Entry with its place in the chain.
    """
    entry = RecordEntry(
        seq=head.seq + 1,
        index=index,
        wall_ms=max(draft.wall_ms, head.wall_ms),
        kind=draft.kind,
        actor=draft.actor,
        subjects=draft.subjects,
        summary=draft.summary,
        detail=draft.detail,
        previous=head.hash,
        hash="",
    )
    return msgspec.structs.replace(entry, hash=entry_hash(entry))


def head_after(entry: RecordEntry) -> RecordHead:
    """Return the head of a record that ends with an entry."""
    return RecordHead(entry.seq, entry.hash, entry.wall_ms)


def entry_hash(entry: RecordEntry) -> str:
    """Return the hash that an entry must have."""
    bare = msgspec.structs.replace(entry, hash="")
    return hashlib.sha256(_encoder.encode(bare)).hexdigest()


def encode_line(entry: RecordEntry) -> bytes:
    """Return the line of an entry, with its end."""
    return _encoder.encode(entry) + b"\n"


def decode_line(line: bytes, place: str) -> RecordEntry:
    """Return the entry of a line after checking it.

    Parameters
    ----------
    line : bytes
        Line without its end.
    place : str
        Where it was read, for the message of a fault.

    Raises
    ------
    RecordFault
        When the line is not exactly what was written.
    """
    try:
        entry = _decoder.decode(line)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise RecordFault(place, f"not an entry: {error}") from None
    if entry_hash(entry) != entry.hash:
        raise RecordFault(place, f"entry {entry.seq} does not have its hash")
    if _encoder.encode(entry) != line:
        raise RecordFault(place, f"entry {entry.seq} is not in the written form")
    return entry


def check_link(entry: RecordEntry, head: RecordHead, place: str) -> None:
    """Check that an entry follows a head.

    Raises
    ------
    RecordFault
        When it does not.
    """
    if entry.seq != head.seq + 1:
        raise RecordFault(place, f"entry {entry.seq} follows entry {head.seq}")
    if entry.previous != head.hash:
        raise RecordFault(
            place, f"entry {entry.seq} does not continue the chain of entry {head.seq}"
        )
    if entry.wall_ms < head.wall_ms:
        raise RecordFault(place, f"the time of entry {entry.seq} goes back")
