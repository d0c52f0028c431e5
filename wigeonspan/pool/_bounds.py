"""Limits on the size of a response and on the bytes that the process buffers."""

from collections.abc import Callable
from enum import Enum
from typing import Protocol

MAX_HEAD_BYTES = 64 * 1024
"""Largest number of bytes received without completing a response head, a body chunk
or a response. Heads of targets have a few hundred bytes; common servers accept up to
this size."""

MAX_FIELDS = 128
"""Largest number of header and trailer fields of one response; targets send about
ten."""

MAX_INTERIM_RESPONSES = 16
"""Largest number of interim responses (status 1xx) to one request."""

MAX_SKIPPED_RESPONSES = 4
"""Largest number of late responses to earlier requests that are skipped during one
request. A connection carries one request at a time, so more than one is unusual."""

MAX_SKIPPED_BYTES = 1024 * 1024
"""Largest number of bytes in the bodies of responses skipped during one request."""

MAX_BODY_BYTES = 4 * 1024 * 1024
"""Default limit in bytes of a response body that is buffered completely; request
bodies of callers have the same limit."""

PAUSE_READING_BYTES = 64 * 1024
"""Unread bytes of a response at which reading from the target pauses."""

MAX_BUFFERED_BYTES = 16 * 1024 * 1024
"""Largest number of response bytes that the process buffers; a twelfth of the memory
of the smallest hosts."""

CHUNK_OVERHEAD_BYTES = 64
"""Memory overhead in bytes that is counted for each buffered body chunk."""


class ResponseLimit(Enum):
    """Limit that a response exceeded.

    Attributes
    ----------
    HEAD
        Bytes received without completing a head, a body chunk or a response.
    FIELDS
        Number of header and trailer fields.
    INTERIM
        Number of interim responses (status 1xx).
    SKIPPED
        Number or body bytes of skipped responses to earlier requests.
    BODY
        Size of the body.
    EVENT
        Size of one event of a stream; checked by the reader of the stream.
    BUFFERS
        Bytes that all exchanges of the process buffer together.
    """

    HEAD = "head"
    FIELDS = "fields"
    INTERIM = "interim_answers"
    SKIPPED = "skipped_answers"
    BODY = "body"
    EVENT = "event"
    BUFFERS = "buffers"


class BufferOwner(Protocol):
    """Owner of buffered bytes that can discard them and fail."""

    def discard_and_fail(self, limit: ResponseLimit) -> None:
        """Fail because a limit was exceeded, and discard all buffered bytes."""
        ...


class BufferBudget:
    """Limit on the bytes that all exchanges of a process buffer together.

    When the total exceeds the limit, the owner of the largest buffer fails, so that
    endless responses of a few targets do not make other exchanges fail.

    Parameters
    ----------
    max_bytes : int
        Largest total number of bytes.
    """

    def __init__(self, max_bytes: int = MAX_BUFFERED_BYTES) -> None:
        self._max_bytes = max_bytes
        self._sizes: dict[BufferOwner, int] = {}
        self._total = 0

    @property
    def total(self) -> int:
        """Number of bytes that are buffered now."""
        return self._total

    def set_buffered(self, owner: BufferOwner, size: int) -> None:
        """Set how many bytes an owner buffers; the largest buffer may be discarded."""
        self._total += size - self._sizes.pop(owner, 0)
        if size:
            self._sizes[owner] = size
        if self._total > self._max_bytes:
            size_of: Callable[[BufferOwner], int] = self._sizes.__getitem__
            max(self._sizes, key=size_of).discard_and_fail(ResponseLimit.BUFFERS)
