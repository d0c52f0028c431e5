"""Incremental decoder of server-sent events."""

import re

from msgspec import Struct

MAX_EVENT_BYTES = 1 << 20
"""Largest event in bytes; a token chunk has only a few hundred."""

_LINE_END = re.compile(rb"\r\n|\n|\r")
_BYTE_ORDER_MARK = b"\xef\xbb\xbf"


class SseEvent(Struct, frozen=True):
    """One event; its ``data`` lines are joined by newlines and not decoded."""

    event: str
    data: bytes


class SseComment(Struct, frozen=True):
    """A comment line, which engines send to keep a connection alive."""


class SseError(ValueError):
    """Raised when an event is larger than the limit."""


class SseDecoder:
    """Decode server-sent events from input in pieces of any size.

    Parameters
    ----------
    max_event_bytes : int
        Largest size of one event in bytes, including lines that are ignored.

    Notes
    -----
    Fields and line ends follow the HTML Living Standard, section 9.2.6. An event
    that no empty line terminates is never returned.
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
            Events and comments that this piece completes, in order.

        Raises
        ------
        SseError
            When an event is larger than the limit.
        """
        lines = self._split(data)
        decoded: list[SseEvent | SseComment] = []
        for line in lines:
            self._process_line(line, decoded)
        if self._size + len(self._pending) > self._max_event_bytes:
            raise SseError(f"an event is larger than {self._max_event_bytes} bytes")
        return decoded

    def _split(self, data: bytes) -> list[bytes]:
        """Return the complete lines and keep the rest for the next piece."""
        if self._skip_line_feed and data:
            # The previous piece ended with CR; an LF now belongs to the same line end.
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

    def _process_line(self, line: bytes, decoded: list[SseEvent | SseComment]) -> None:
        if not line:
            self._dispatch(decoded)
            return
        self._size += len(line)
        if self._size > self._max_event_bytes:
            raise SseError(f"an event is larger than {self._max_event_bytes} bytes")
        if line.startswith(b":"):
            self._size -= len(line)
            decoded.append(SseComment())
            return
        field, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if field == b"data":
            self._data.append(value)
        elif field == b"event":
            self._event = value.decode("utf-8", "replace")

    def _dispatch(self, decoded: list[SseEvent | SseComment]) -> None:
        if self._data:
            decoded.append(SseEvent(self._event or "message", b"\n".join(self._data)))
        self._event = ""
        self._data = []
        self._size = 0
