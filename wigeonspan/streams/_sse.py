"""Incremental decoder of server-sent events."""

import re

from msgspec import Struct

MAX_EVENT_BYTES = 1 << 20
"""Largest event; a token chunk has a few hundred bytes, the rest is margin."""

_LINE_END = re.compile(rb"\r\n|\n|\r")
_BYTE_ORDER_MARK = b"\xef\xbb\xbf"


class SseEvent(Struct, frozen=True):
    """One event; ``data`` lines are joined by newlines and stay bytes."""

    event: str
    data: bytes


class SseComment(Struct, frozen=True):
    """A comment line; engines send them to keep a connection alive."""


class SseError(ValueError):
    """The input is not a stream of events of a bounded size."""


class SseDecoder:
    """Decoder that accepts its input in pieces of any size.

    Parameters
    ----------
    max_event_bytes : int
        Largest size of one event, lines that are ignored included.

    Notes
    -----
    Fields and line ends follow the HTML Living Standard, section 9.2.6. An event
    that is not ended by an empty line is never returned.
    """

    def __init__(self, max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        self._max_event_bytes = max_event_bytes
        self._pending = b""
        self._skip_line_feed = False
        self._at_start = True
        self._event = ""
        self._data: list[bytes] = []
        self._size = 0

    def feed(self, data: bytes) -> list[SseEvent | SseComment]:
        """Decode a piece of input.

        Parameters
        ----------
        data : bytes
            Next bytes of the stream.

        Returns
        -------
        list of SseEvent or SseComment
            What the piece completed, in order.

        Raises
        ------
        SseError
            When an event is larger than the limit.
        """
        lines = self._split(data)
        found: list[SseEvent | SseComment] = []
        for line in lines:
            self._take_line(line, found)
        if self._size + len(self._pending) > self._max_event_bytes:
            raise SseError(f"an event is larger than {self._max_event_bytes} bytes")
        return found

    def _split(self, data: bytes) -> list[bytes]:
        if self._skip_line_feed and data:
            # The previous piece ended between the two bytes of a CR LF.
            self._skip_line_feed = False
            if data.startswith(b"\n"):
                data = data[1:]
        data = self._pending + data
        if self._at_start:
            if len(data) < 3 and _BYTE_ORDER_MARK.startswith(data):
                self._pending = data
                return []
            self._at_start = False
            data = data.removeprefix(_BYTE_ORDER_MARK)
        if b"\r" in data:
            self._skip_line_feed = data.endswith(b"\r")
            lines = _LINE_END.split(data)
        else:
            lines = data.split(b"\n")
        self._pending = lines.pop()
        return lines

    def _take_line(self, line: bytes, found: list[SseEvent | SseComment]) -> None:
        if not line:
            self._dispatch(found)
            return
        self._size += len(line)
        if self._size > self._max_event_bytes:
            raise SseError(f"an event is larger than {self._max_event_bytes} bytes")
        if line.startswith(b":"):
            self._size -= len(line)
            found.append(SseComment())
            return
        field, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if field == b"data":
            self._data.append(value)
        elif field == b"event":
            self._event = value.decode("utf-8", "replace")

    def _dispatch(self, found: list[SseEvent | SseComment]) -> None:
        if self._data:
            found.append(SseEvent(self._event or "message", b"\n".join(self._data)))
        self._event = ""
        self._data = []
        self._size = 0
