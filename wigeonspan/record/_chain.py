"""Hash chain of the record and encoding of its lines.

A line is the JSON of one entry in a canonical form, so that any modified byte is
detected: the line no longer decodes, is not canonical, or does not match its hash.
"""

import hashlib

import msgspec

from wigeonspan.common import DECODE_ERRORS, LogIndex
from wigeonspan.record._errors import RecordError
from wigeonspan.record._messages import EntryDraft, RecordEntry, RecordHead

_encoder = msgspec.json.Encoder(order="deterministic")
_decoder = msgspec.json.Decoder(RecordEntry)


def make_entry(head: RecordHead, index: LogIndex, draft: EntryDraft) -> RecordEntry:
    """Create the entry that follows a head.

    Parameters
    ----------
    head : RecordHead
        Current head of the chain.
    index : LogIndex
        Log index of the command.
    draft : EntryDraft
        Content of the entry.

    Returns
    -------
    RecordEntry
        Entry with its position and hash. Its time is not earlier than that of the head.
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
    """Return the head of the chain after an entry."""
    return RecordHead(entry.seq, entry.hash, entry.wall_ms)


def entry_hash(entry: RecordEntry) -> str:
    """Compute the hash of an entry from its other fields."""
    unhashed = msgspec.structs.replace(entry, hash="")
    return hashlib.sha256(_encoder.encode(unhashed)).hexdigest()


def encode_line(entry: RecordEntry) -> bytes:
    """Encode an entry as a line, including the line end."""
    return _encoder.encode(entry) + b"\n"


def decode_line(line: bytes, location: str) -> RecordEntry:
    """Decode a line and verify its hash and canonical form.

    Parameters
    ----------
    line : bytes
        Line without the line end.
    location : str
        Where the line was read, for the error message.

    Raises
    ------
    RecordError
        When the line is not exactly as it was written.
    """
    try:
        entry = _decoder.decode(line)
    except DECODE_ERRORS as error:
        raise RecordError(location, f"not an entry: {error}") from None
    if entry_hash(entry) != entry.hash:
        raise RecordError(location, f"entry {entry.seq} does not have its hash")
    if _encoder.encode(entry) != line:
        raise RecordError(location, f"entry {entry.seq} is not in the written form")
    return entry


def check_link(entry: RecordEntry, head: RecordHead, location: str) -> None:
    """Check that an entry directly follows a head.

    Raises
    ------
    RecordError
        When the position, the hash of the previous entry or the time does not fit.
    """
    if entry.seq != head.seq + 1:
        raise RecordError(location, f"entry {entry.seq} follows entry {head.seq}")
    if entry.previous != head.hash:
        raise RecordError(
            location,
            f"entry {entry.seq} does not continue the chain of entry {head.seq}",
        )
    if entry.wall_ms < head.wall_ms:
        raise RecordError(
            location,
            f"the time of entry {entry.seq} is earlier than that of the entry before",
        )
