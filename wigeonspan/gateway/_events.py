"""Splitting of an event stream into whole events."""

import re
from collections.abc import Iterator

from msgspec import Struct

MOST_EVENT_BYTES = 128 * 1024
"""Largest event in bytes; a chunk of tokens has a few hundred."""

_BLANK = re.compile(rb"\n\r?\n")
_BLANK_BYTES = 3


class EventTooLarge(ValueError):
    """A stream has an event that is larger than ``MOST_EVENT_BYTES``."""


class StreamEvent(Struct, frozen=True):
    """One event with the blank line that ends it.

    Parameters
    ----------
    event : str or None
        Id; None when it has none.
    has_data : bool
        Whether it is more than a comment, which engines may send without progress.
    """

    data: bytes
    event: str | None
    has_data: bool = True


class EventSplitter:
    """Collects bytes and returns whole events.

    Only whole events are passed on: a target may stop in the middle of one, and
    another target then sends it again.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        # No blank line begins before this position.
        self._searched = 0

    @property
    def rest(self) -> bytes:
        """Bytes after the last whole event."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that are now whole.

        Raises
        ------
        EventTooLarge
            When the rest is larger than an event may be.
        """
        self._buffer += data
        events = []
        begin = 0
        while blank := _BLANK.search(self._buffer, self._searched):
            chunk = bytes(self._buffer[begin : blank.end()])
            begin = self._searched = blank.end()
            event, has_data = _read_fields(chunk)
            events.append(StreamEvent(chunk, event, has_data))
        del self._buffer[:begin]
        self._searched = max(0, len(self._buffer) - _BLANK_BYTES)
        if len(self._buffer) > MOST_EVENT_BYTES:
            raise EventTooLarge(f"an event has over {MOST_EVENT_BYTES} bytes")
        return events


class StreamPosition:
    """Last event that a caller has got."""

    def __init__(self) -> None:
        self._last: str | None = None

    @property
    def last(self) -> str | None:
        """Id of the last event passed on; None before the first."""
        return self._last

    def advance(self, event: StreamEvent) -> bool:
        """Return whether an event is new to the caller, and note it if so."""
        if event.event is None:
            return True
        if self._last is not None and not _after(event.event, self._last):
            return False
        self._last = event.event
        return True


class RunEvents:
    """Events of one run that are new to the caller.

    Comments are kept until the next event of the run. What a stalled engine sends after
    its last event is no part of the answer when another engine goes on with it.

    Parameters
    ----------
    position : StreamPosition
        Last event that the caller has got, from this run or one before it.
    """

    def __init__(self, position: StreamPosition) -> None:
        self._position = position
        self._splitter = EventSplitter()
        self._comments = b""

    @property
    def in_event(self) -> bool:
        """Whether the bytes so far end in the middle of an event."""
        return bool(self._splitter.rest)

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Add bytes and yield what the caller gets of each new event.

        Raises
        ------
        EventTooLarge
            When an event, or the comments before one, are too large.
        """
        for event in self._splitter.feed(data):
            if not self._position.advance(event):
                continue
            self._comments += event.data
            if event.has_data:
                passed, self._comments = self._comments, b""
                yield passed
            elif len(self._comments) > MOST_EVENT_BYTES:
                raise EventTooLarge(f"comments of over {MOST_EVENT_BYTES} bytes")

    def rest(self) -> bytes:
        """Return what is left for the caller at the run's complete end."""
        return self._comments + self._splitter.rest


def _after(event: str, last: str) -> bool:
    if event.isdigit() and last.isdigit():
        return int(event) > int(last)
    return event != last


def _read_fields(chunk: bytes) -> tuple[str | None, bool]:
    """Return the id of an event and whether it has data."""
    event, has_data = None, False
    for line in chunk.splitlines():
        name, colon, value = line.partition(b":")
        if colon and name == b"id" and event is None:
            event = value.strip().decode("latin-1")
        has_data = has_data or name == b"data"
    return event, has_data
