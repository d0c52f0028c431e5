"""Exchange of one request and its response on a connection."""

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from wigeonspan.pool._bounds import (
    CHUNK_OVERHEAD_BYTES,
    MAX_BODY_BYTES,
    PAUSE_READING_BYTES,
    BufferBudget,
    ResponseLimit,
)
from wigeonspan.pool._head import Head


class FailureKind(Enum):
    """How an exchange failed.

    Attributes
    ----------
    CONNECT
        No connection could be established.
    CLOSED
        The connection was closed before the response was complete.
    RESET
        The connection failed with an error, such as a reset by the target.
    MALFORMED
        The response was malformed.
    TIMEOUT
        The connection or the response took too long.
    OVERSIZED
        The response exceeded a limit; see :class:`ResponseLimit`.
    WITHHELD
        The request was not sent, because it was no longer allowed.
    """

    CONNECT = "connect"
    CLOSED = "closed"
    RESET = "reset"
    MALFORMED = "garbled"
    TIMEOUT = "timeout"
    OVERSIZED = "oversized"
    WITHHELD = "withheld"


class ExchangeError(Exception):
    """The exchange failed without a complete response.

    Parameters
    ----------
    kind : FailureKind
        How it failed.
    sent : bool
        Whether any byte of the request may have reached the target.
    limit : ResponseLimit or None
        Limit that the response exceeded, for ``OVERSIZED``.
    """

    def __init__(
        self, kind: FailureKind, *, sent: bool, limit: ResponseLimit | None = None
    ) -> None:
        what = kind.value if limit is None else f"{kind.value} {limit.value}"
        super().__init__(f"{what}, {'sent' if sent else 'not sent'}")
        self.kind = kind
        self.sent = sent
        self.limit = limit


class ExchangeTransport(Protocol):
    """Operations of a connection that its exchange uses."""

    @property
    def usable(self) -> bool:
        """Whether another request may be sent."""
        ...

    def close(self) -> None:
        """Abort the connection, so that the target cancels the request."""
        ...

    def set_read_paused(self, paused: bool) -> None:
        """Pause or resume reading from the target."""
        ...

    def fail_oversized(self, limit: ResponseLimit) -> None:
        """Fail the exchange because its response exceeds a limit."""
        ...


class Exchange:
    """One request and its response.

    Parameters
    ----------
    connection : ExchangeTransport
        Connection that carries the exchange.
    accepts : callable
        Returns whether a response head belongs to this request; a late response to
        an earlier request may arrive first.
    keeps_connection : callable
        Returns whether the connection may carry another request after a response.
    sent_at : float
        Monotonic time in seconds at which the request was sent.
    buffers : BufferBudget
        Limit on the bytes that all exchanges buffer together.
    """

    def __init__(
        self,
        connection: ExchangeTransport,
        accepts: Callable[[Head], bool],
        keeps_connection: Callable[[Head], bool],
        sent_at: float,
        buffers: BufferBudget,
    ) -> None:
        self._connection = connection
        self._buffers = buffers
        self._max_body_bytes: int | None = None
        self._head: Head | None = None
        self._self_delimited = True
        self._chunks: list[bytes] = []
        self._buffered = 0
        self._complete = False
        self._failure: ExchangeError | None = None
        self._waiter: asyncio.Future[None] | None = None
        self.accepts = accepts
        self.keeps_connection = keeps_connection
        self.sent_at = sent_at

    @property
    def has_head(self) -> bool:
        """Whether the response head was received."""
        return self._head is not None

    @property
    def self_delimited(self) -> bool:
        """Whether the body ends at its length or last chunk, not at a close."""
        return self._self_delimited

    @property
    def done(self) -> bool:
        """Whether the complete response was received or the exchange failed."""
        return self._complete or self._failure is not None

    @property
    def connection(self) -> ExchangeTransport:
        """Connection that carries the exchange."""
        return self._connection

    async def head(self) -> Head:
        """Wait for the response head and return it.

        Raises
        ------
        ExchangeError
            When the exchange fails before the head is received.
        """
        while self._head is None:
            if self._failure is not None:
                raise self._failure
            await self._wait()
        return self._head

    async def read(self) -> bytes:
        """Return the buffered body bytes, waiting for some; empty at the end.

        Raises
        ------
        ExchangeError
            When the response ends before it is complete.
        """
        while not self._chunks:
            if self._failure is not None:
                raise self._failure
            if self._complete:
                return b""
            await self._wait()
        data = b"".join(self._chunks)
        paused = self._buffered >= PAUSE_READING_BYTES
        self.discard_body()
        if paused:
            self._connection.set_read_paused(False)
        return data

    async def read_all(self, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Return the complete body.

        Parameters
        ----------
        max_bytes : int
            Largest number of bytes that the body may occupy.

        Raises
        ------
        ExchangeError
            When the response ends before it is complete, or the body is larger.
        """
        self._max_body_bytes = max_bytes
        self._enforce_body_limit()
        if self._buffered >= PAUSE_READING_BYTES:
            self._connection.set_read_paused(False)
        while not self.done:
            await self._wait()
        if self._failure is not None:
            raise self._failure
        body = b"".join(self._chunks)
        self.discard_body()
        return body

    def discard_body(self) -> None:
        """Discard the buffered body bytes."""
        self._chunks.clear()
        self._set_buffered(0)

    def abort(self) -> None:
        """Fail the exchange and close its connection, unless it is done."""
        if not self.done:
            self._failure = ExchangeError(FailureKind.CLOSED, sent=True)
            self._connection.close()

    def receive_head(self, head: Head, *, self_delimited: bool) -> None:
        """Store the head and whether the body ends without a close."""
        self._head = head
        self._self_delimited = self_delimited
        self._wake()

    def receive_body(self, data: bytes) -> None:
        """Buffer a body chunk; pause reading when too much is buffered."""
        before = self._buffered
        self._chunks.append(data)
        self._set_buffered(before + len(data) + CHUNK_OVERHEAD_BYTES)
        if self._max_body_bytes is not None:
            self._enforce_body_limit()
        elif before < PAUSE_READING_BYTES <= self._buffered:
            self._connection.set_read_paused(True)
        self._wake()

    def discard_and_fail(self, limit: ResponseLimit) -> None:
        """Discard the body and fail because a limit was exceeded."""
        self.discard_body()
        if self._complete:
            # The response was complete, but its unread bytes were discarded above.
            self.receive_failure(
                ExchangeError(FailureKind.OVERSIZED, sent=True, limit=limit)
            )
        else:
            self._connection.fail_oversized(limit)

    def receive_end(self) -> None:
        """Mark the response as complete."""
        self._complete = True
        self._wake()

    def receive_failure(self, failure: ExchangeError) -> None:
        """Record the failure of the exchange; the first one is kept."""
        self._failure = self._failure or failure
        self._wake()

    def _enforce_body_limit(self) -> None:
        if self._max_body_bytes is not None and self._buffered > self._max_body_bytes:
            self.discard_and_fail(ResponseLimit.BODY)

    def _set_buffered(self, size: int) -> None:
        self._buffered = size
        self._buffers.set_buffered(self, size)

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        await self._waiter

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
