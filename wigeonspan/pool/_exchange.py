"""One request and its answer on a connection."""

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from wigeonspan.pool._bounds import (
    BUFFER_BYTES,
    MOST_BODY_BYTES,
    PART_BYTES,
    Bound,
    BufferBudget,
)
from wigeonspan.pool._head import Head


class FailureKind(Enum):
    """How an exchange failed."""

    CONNECT = "connect"
    CLOSED = "closed"
    RESET = "reset"
    GARBLED = "garbled"
    TIMEOUT = "timeout"
    OVERSIZED = "oversized"
    WITHHELD = "withheld"


class ExchangeFailed(Exception):
    """The exchange has no whole answer.

    Parameters
    ----------
    kind : FailureKind
        What was seen.
    sent : bool
        Whether any byte of the request may have reached the target.
    bound : Bound or None
        Bound that the answer went over, for ``OVERSIZED``.
    """

    def __init__(
        self, kind: FailureKind, *, sent: bool, bound: Bound | None = None
    ) -> None:
        what = kind.value if bound is None else f"{kind.value} {bound.value}"
        super().__init__(f"{what}, {'sent' if sent else 'not sent'}")
        self.kind = kind
        self.sent = sent
        self.bound = bound


class Carrier(Protocol):
    """Connection as its exchange needs it."""

    @property
    def usable(self) -> bool:
        """Whether another request may be sent."""
        ...

    def close(self) -> None:
        """Reset the connection, so that the target drops the request."""
        ...

    def pause(self, paused: bool) -> None:
        """Stop or go on reading from the target."""
        ...

    def fail_oversized(self, bound: Bound) -> None:
        """Fail the exchange because its answer goes over a bound."""
        ...


class Exchange:
    """One request and its answer.

    Parameters
    ----------
    connection : Carrier
        Connection that carries it.
    accepts : callable
        Tells from a head whether it answers this request; an answer to an earlier
        request may arrive late in its place.
    sent_at : float
        Monotonic time of sending.
    buffers : BufferBudget
        Counts the bytes that all exchanges keep.
    """

    def __init__(
        self,
        connection: Carrier,
        accepts: Callable[[Head], bool],
        sent_at: float,
        buffers: BufferBudget,
    ) -> None:
        self._connection = connection
        self._buffers = buffers
        self._body_limit: int | None = None
        self._head: Head | None = None
        self._framed = True
        self._parts: list[bytes] = []
        self._buffered = 0
        self._ended = False
        self._failure: ExchangeFailed | None = None
        self._waiter: asyncio.Future[None] | None = None
        self.accepts = accepts
        self.sent_at = sent_at

    @property
    def has_head(self) -> bool:
        """Whether the head has arrived."""
        return self._head is not None

    @property
    def framed(self) -> bool:
        """Whether a length or chunks, not the connection's end, end the body."""
        return self._framed

    @property
    def done(self) -> bool:
        """Whether the whole answer has arrived or the exchange has failed."""
        return self._ended or self._failure is not None

    @property
    def connection(self) -> Carrier:
        """Connection that carries it."""
        return self._connection

    async def head(self) -> Head:
        """Return the head of the answer.

        Raises
        ------
        ExchangeFailed
            When there is none.
        """
        while self._head is None:
            if self._failure is not None:
                raise self._failure
            await self._wait()
        return self._head

    async def read(self) -> bytes:
        """Return what has arrived of the body; empty at its complete end.

        Raises
        ------
        ExchangeFailed
            When the answer breaks off.
        """
        while not self._parts:
            if self._failure is not None:
                raise self._failure
            if self._ended:
                return b""
            await self._wait()
        data = b"".join(self._parts)
        paused = self._buffered >= BUFFER_BYTES
        self.drop()
        if paused:
            self._connection.pause(False)
        return data

    async def read_all(self, most: int = MOST_BODY_BYTES) -> bytes:
        """Return the whole body.

        Parameters
        ----------
        most : int
            Largest number of bytes.

        Raises
        ------
        ExchangeFailed
            When the answer breaks off or is larger.
        """
        self._body_limit = most
        self._check_body()
        if self._buffered >= BUFFER_BYTES:
            self._connection.pause(False)
        while not self.done:
            await self._wait()
        if self._failure is not None:
            raise self._failure
        body = b"".join(self._parts)
        self.drop()
        return body

    def drop(self) -> None:
        """Keep no bytes of the answer any more."""
        self._parts.clear()
        self._note_held(0)

    def abort(self) -> None:
        """End the exchange; the target drops the request with the connection."""
        if not self.done:
            self._failure = ExchangeFailed(FailureKind.CLOSED, sent=True)
            self._connection.close()

    def take_head(self, head: Head, *, framed: bool) -> None:
        """Note the head, and whether the framing tells where the body ends."""
        self._head = head
        self._framed = framed
        self._wake()

    def take_body(self, data: bytes) -> None:
        """Note a part of the body."""
        before = self._buffered
        self._parts.append(data)
        self._note_held(before + len(data) + PART_BYTES)
        if self._body_limit is not None:
            self._check_body()
        elif before < BUFFER_BYTES <= self._buffered:
            self._connection.pause(True)
        self._wake()

    def give_up(self, bound: Bound) -> None:
        """Fail because the answer goes over a bound."""
        self.drop()
        if self._ended:
            # The answer had arrived whole, but a part of it is dropped here.
            self.take_failure(
                ExchangeFailed(FailureKind.OVERSIZED, sent=True, bound=bound)
            )
        else:
            self._connection.fail_oversized(bound)

    def take_end(self) -> None:
        """Note the complete end."""
        self._ended = True
        self._wake()

    def take_failure(self, failure: ExchangeFailed) -> None:
        """Note that the answer breaks off."""
        self._failure = self._failure or failure
        self._wake()

    def _check_body(self) -> None:
        if self._body_limit is not None and self._buffered > self._body_limit:
            self.give_up(Bound.BODY)

    def _note_held(self, size: int) -> None:
        self._buffered = size
        self._buffers.set_held(self, size)

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        await self._waiter

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
