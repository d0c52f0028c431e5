"""How much of a target's answer is kept, for one connection and for the process."""

from collections.abc import Callable
from enum import Enum
from typing import Protocol

MOST_HEAD_BYTES = 64 * 1024
"""Bytes that may arrive without a complete head, part of a body or end; heads of
targets have a few hundred bytes, and servers in general use accept up to this."""

MOST_FIELDS = 128
"""Header and trailer fields of one answer; targets send about ten."""

MOST_INTERIM = 16
"""Interim answers (status 1xx) to one request."""

MOST_SKIPPED = 4
"""Late answers to earlier requests that are skipped for one request; a connection
carries one request at a time, so that more than one is unusual."""

MOST_SKIPPED_BYTES = 1024 * 1024
"""Bytes of skipped bodies for one request."""

MOST_BODY_BYTES = 4 * 1024 * 1024
"""Bytes of a body that is kept whole; the bodies of callers have the same limit."""

BUFFER_BYTES = 64 * 1024
"""Unread bytes of an answer at which reading from the target pauses."""

MOST_BUFFERED_BYTES = 16 * 1024 * 1024
"""Bytes of answers that the process keeps; a twelfth of the smallest hosts' memory."""

PART_BYTES = 64
"""Memory of a part of a body beyond its bytes."""


class Bound(Enum):
    """Bound that an answer went over."""

    HEAD = "head"
    FIELDS = "fields"
    INTERIM = "interim_answers"
    SKIPPED = "skipped_answers"
    BODY = "body"
    EVENT = "event"
    BUFFERS = "buffers"


class Holder(Protocol):
    """Something that keeps bytes and can give them up."""

    def give_up(self, bound: Bound) -> None:
        """Fail because of a bound and keep nothing."""
        ...


class BufferBudget:
    """Bytes that all exchanges of a process keep together.

    When there are too many, the holder of most gives up, so that endless answers of
    a few targets do not cost the others theirs.

    Parameters
    ----------
    most : int
        Largest number of bytes.
    """

    def __init__(self, most: int = MOST_BUFFERED_BYTES) -> None:
        self._most = most
        self._held: dict[Holder, int] = {}
        self._total = 0

    @property
    def total(self) -> int:
        """Bytes that are kept now."""
        return self._total

    def set_held(self, holder: Holder, size: int) -> None:
        """Note how many bytes a holder keeps."""
        self._total += size - self._held.pop(holder, 0)
        if size:
            self._held[holder] = size
        if self._total > self._most:
            largest: Callable[[Holder], int] = self._held.__getitem__
            max(self._held, key=largest).give_up(Bound.BUFFERS)
