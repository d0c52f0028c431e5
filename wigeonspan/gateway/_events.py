"""Splitting of an event stream into whole events."""

from msgspec import Struct


class StreamEvent(Struct, frozen=True):
    """One event with the blank line that ends it."""

    data: bytes
    event: str | None


class EventSplitter:
    """Collects bytes and returns whole events.

    Only whole events are passed on: a target may stop in the middle of one, and
    another target then sends it again.
    """

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def rest(self) -> bytes:
        """Bytes after the last whole event."""
        return self._buffer

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that are now whole."""
        self._buffer += data
        events = []
        while (end := self._end()) > 0:
            chunk, self._buffer = self._buffer[:end], self._buffer[end:]
            events.append(StreamEvent(chunk, _event_id(chunk)))
        return events

    def _end(self) -> int:
        ends = []
        for blank in (b"\n\n", b"\r\n\r\n"):
            position = self._buffer.find(blank)
            if position >= 0:
                ends.append(position + len(blank))
        return min(ends, default=0)


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


def _after(event: str, last: str) -> bool:
    if event.isdigit() and last.isdigit():
        return int(event) > int(last)
    return event != last


def _event_id(chunk: bytes) -> str | None:
    for line in chunk.splitlines():
        name, colon, value = line.partition(b":")
        if colon and name == b"id":
            return value.strip().decode("latin-1")
    return None
