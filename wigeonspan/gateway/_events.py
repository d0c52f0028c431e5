"""Splitting of an event stream into complete events, and removal of duplicates."""

import re
from collections.abc import Iterator

from msgspec import Struct

MAX_EVENT_BYTES = 128 * 1024
"""Largest event in bytes; a chunk of tokens has a few hundred."""

MAX_ID_DIGITS = 18
"""Digits up to which the id of an event is taken as a number; Python refuses to convert
several thousand, which a faulty engine may send."""

# A blank line, together with the end of the line before it.
_BLANK = re.compile(rb"\n\r?\n")
_BLANK_BYTES = 3

# str.isdigit accepts digits of other scripts and superscripts, too.
_NUMBER = re.compile(r"[0-9]+")


class EventTooLarge(ValueError):
    """Raised when a stream has an event larger than ``MAX_EVENT_BYTES``."""


class EventGap(ValueError):
    """Raised when a continuation does not begin with the next event of its stream."""


class StreamEvent(Struct, frozen=True):
    """One event of a stream.

    Parameters
    ----------
    data : bytes
        Bytes of the event, including the blank line that ends it.
    event_id : str or None
        Value of its ``id`` field; None when it has none.
    has_data : bool
        Whether it has a ``data`` field. Without one it is, for example, a comment,
        which engines may send without making progress.
    """

    data: bytes
    event_id: str | None
    has_data: bool = True


class EventSplitter:
    """Split received bytes into complete events.

    Only complete events are passed on: a target may stop in the middle of one, and
    another target then sends it again.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        # The buffer has no blank line that begins before this position.
        self._searched = 0

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete.

        Raises
        ------
        EventTooLarge
            When the incomplete event is larger than ``MAX_EVENT_BYTES``.
        """
        self._buffer += data
        events = []
        begin = 0
        while blank := _BLANK.search(self._buffer, self._searched):
            chunk = bytes(self._buffer[begin : blank.end()])
            begin = self._searched = blank.end()
            event_id, has_data = _read_fields(chunk)
            events.append(StreamEvent(chunk, event_id, has_data))
        del self._buffer[:begin]
        self._searched = max(0, len(self._buffer) - _BLANK_BYTES)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLarge(f"an event is larger than {MAX_EVENT_BYTES} bytes")
        return events


class StreamPosition:
    """Position of a caller in a stream: the last event that was sent to it."""

    def __init__(self) -> None:
        self._last: str | None = None
        # Whether the ids until now are the numbers of the events, from 1.
        self._counts_events = True

    @property
    def last(self) -> str | None:
        """Id of the last event that was sent; None before the first."""
        return self._last

    @property
    def number(self) -> int | None:
        """Number of the last event; None when the ids do not count the events."""
        return _read_number(self._last or "") if self._counts_events else None

    def has_reached(self, event_count: int) -> bool:
        """Return whether the caller has a number of events, counted from 1."""
        number = _read_number(self._last or "")
        return number is not None and number >= event_count

    def is_new(self, event: StreamEvent) -> bool:
        """Return whether an event is new to the caller."""
        if event.event_id is None or self._last is None:
            return True
        return _is_after(event.event_id, self._last)

    def skips_events(self, event: StreamEvent) -> bool:
        """Return whether events are missing before a new one.

        This is known only when the ids until now count the events.
        """
        if not self._counts_events or self._last is None or event.event_id is None:
            return False
        return not self._is_next(event.event_id)

    def advance(self, event: StreamEvent) -> bool:
        """Return whether an event is new to the caller; if so, advance to it."""
        if not self.is_new(event):
            return False
        if event.event_id is not None:
            counts = self._counts_events and self._is_next(event.event_id)
            self._counts_events = counts
            self._last = event.event_id
        return True

    def _is_next(self, event_id: str) -> bool:
        return event_id == str(int(self._last or 0) + 1)


class EventDeduplicator:
    """Filter one engine's stream for the events that are new to the caller.

    Comments are held back until the next event with data: what a stalled engine sends
    after its last event must not reach the caller when another engine continues the
    stream.

    Parameters
    ----------
    position : StreamPosition
        Last event that was sent to the caller, from this stream or an earlier one.
    continues : bool
        Whether the stream continues that of another engine. Events without an id are
        then held back as well until the first new event: their place is not known, and
        they may be the text of an error.
    """

    def __init__(self, position: StreamPosition, *, continues: bool = False) -> None:
        self._position = position
        self._continues = continues
        self._splitter = EventSplitter()
        self._has_new_event = False
        # Comments and other events that are held back.
        self._held = b""

    @property
    def has_new_event(self) -> bool:
        """Whether an event was new to the caller."""
        return self._has_new_event

    @property
    def has_partial_event(self) -> bool:
        """Whether the bytes so far end in the middle of an event."""
        return bool(self._splitter.remainder)

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Add bytes and yield what to send to the caller for each new event.

        Raises
        ------
        EventTooLarge
            When an event or the comments before one are too large.
        EventGap
            When a continuation begins after the next event of its stream.
        """
        for event in self._splitter.feed(data):
            if not self._position.is_new(event):
                continue
            is_first = self._continues and not self._has_new_event
            if is_first and self._position.skips_events(event):
                raise EventGap(f"events are missing before event {event.event_id}")
            if event.has_data:
                self._position.advance(event)
            self._held += event.data
            if event.has_data and self._has_place(event):
                self._has_new_event = True
                new_data, self._held = self._held, b""
                yield new_data
            elif len(self._held) > MAX_EVENT_BYTES:
                raise EventTooLarge(
                    f"the comments before an event exceed {MAX_EVENT_BYTES} bytes"
                )

    def remainder(self) -> bytes:
        """Return the bytes still to be sent when the stream has ended completely."""
        return self._held + self._splitter.remainder

    def _has_place(self, event: StreamEvent) -> bool:
        """Return whether it is known where an event belongs in the caller's stream."""
        return (
            event.event_id is not None
            or self._has_new_event
            or not self._continues
            or self._position.last is None
        )


def _is_after(event_id: str, last: str) -> bool:
    if _NUMBER.fullmatch(event_id) and _NUMBER.fullmatch(last):
        return _numeric_order(event_id) > _numeric_order(last)
    return event_id != last


def _numeric_order(digits: str) -> tuple[int, str]:
    """Return a key that orders numbers by value; ``int`` refuses many digits."""
    significant = digits.lstrip("0")
    return len(significant), significant


def _read_number(event_id: str) -> int | None:
    """Return the number that an id is; None for any other id."""
    is_number = len(event_id) <= MAX_ID_DIGITS and event_id.isascii()
    return int(event_id) if is_number and event_id.isdigit() else None


def _read_fields(chunk: bytes) -> tuple[str | None, bool]:
    """Return the id of an event and whether it has data."""
    event_id, has_data = None, False
    for line in chunk.splitlines():
        name, colon, value = line.partition(b":")
        if colon and name == b"id" and event_id is None:
            event_id = value.strip().decode("latin-1")
        has_data = has_data or name == b"data"
    return event_id, has_data
