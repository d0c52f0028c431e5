"""One client connection: one exchange at a time, parsed by httptools."""

import asyncio
import socket
from collections.abc import Callable

import httptools

from wigeonspan.common import Clock
from wigeonspan.pool._bounds import (
    MOST_FIELDS,
    MOST_HEAD_BYTES,
    MOST_INTERIM,
    MOST_SKIPPED,
    MOST_SKIPPED_BYTES,
    Bound,
    BufferBudget,
)
from wigeonspan.pool._exchange import Exchange, ExchangeFailed, FailureKind
from wigeonspan.pool._head import Head, HeaderList

SILENCE_MS = 2000
"""Milliseconds of unacknowledged bytes after which the kernel gives a connection up;
twice the longest retransmission of a link that loses single packets."""

KEEPALIVE_S = 1
"""Seconds between the kernel's probes of a connection that is silent."""

KEEPALIVE_PROBES = 2
"""Unanswered probes after which a silent connection ends."""


class Connection(asyncio.Protocol):
    """Connection to one address.

    Parameters
    ----------
    clock : Clock
        Source of time.
    buffers : BufferBudget
        Counts the bytes that all connections keep.
    """

    def __init__(self, clock: Clock, buffers: BufferBudget) -> None:
        self._clock = clock
        self._buffers = buffers
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._exchange: Exchange | None = None
        self._usable = False
        self._ends_with_close = False
        self._skips = False
        self._status = 0
        self._headers: HeaderList = []
        self._in_body = False
        self._counts = _Counts()
        self.idle_since = clock.now()
        self.idle_limit_s: float | None = None

    @property
    def usable(self) -> bool:
        """Whether another request may be sent."""
        transport = self._transport
        return (
            self._usable
            and self._exchange is None
            and transport is not None
            and not transport.is_closing()
            and transport.get_write_buffer_size() == 0
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options that make a silent peer visible."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._usable = True
        sock = transport.get_extra_info("socket")
        for level, option, value in (
            (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_MS),
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        ):
            sock.setsockopt(level, option, value)

    def start(self, request: bytes, accepts: Callable[[Head], bool]) -> Exchange:
        """Send a request and return its exchange."""
        assert self._transport is not None
        self._counts = _Counts()
        self._exchange = Exchange(self, accepts, self._clock.now(), self._buffers)
        self._transport.write(request)
        return self._exchange

    def close(self) -> None:
        """Reset the connection, so that the target drops the request."""
        self._usable = False
        if self._transport is not None:
            self._transport.abort()

    def pause(self, paused: bool) -> None:
        """Stop or go on reading from the target."""
        if self._transport is None or self._transport.is_closing():
            return
        if paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Parse bytes; bytes that belong to no request end the connection."""
        if self._exchange is None:
            self.close()
            return
        try:
            self._counts.unframed += len(data)
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail(FailureKind.GARBLED)
            return
        over = self._counts.over()
        if over is not None:
            self.fail_oversized(over)

    def fail_oversized(self, bound: Bound) -> None:
        """Fail the exchange because its answer goes over a bound."""
        self._fail(FailureKind.OVERSIZED, bound)

    def eof_received(self) -> bool:
        """Take the end of the connection; it may end an answer without a length."""
        exchange = self._exchange
        self._usable = False
        if exchange is not None and self._ends_with_close and exchange.has_head:
            self._finish()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail what is still open."""
        self._usable = False
        self._fail(FailureKind.CLOSED if error is None else FailureKind.RESET)

    def on_message_begin(self) -> None:
        """Begin an answer; one that nobody asked for ends the connection."""
        self._headers = []
        self._in_body = False
        self._counts.fields = 0
        if self._exchange is None:
            self._usable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field; trailers are dropped."""
        self._counts.fields += 1
        if not self._in_body and self._counts.fields <= MOST_FIELDS:
            self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Hand the head over when it answers our request."""
        status = self._parser.get_status_code()
        head = Head(status, self._headers)
        exchange = self._exchange
        self._in_body = True
        self._counts.unframed = 0
        self._skips = exchange is None or status < 200 or not exchange.accepts(head)
        if self._skips or exchange is None:
            if status < 200:
                self._counts.interim += 1
            else:
                self._counts.skipped += 1
            return
        self._ends_with_close = not _has_end(head)
        self.idle_limit_s = _keep_alive_s(head)
        if not self._parser.should_keep_alive():
            self._usable = False
        exchange.take_head(head, framed=not self._ends_with_close)

    def on_body(self, data: bytes) -> None:
        """Hand a part of the body over."""
        self._counts.unframed = 0
        if self._skips:
            self._counts.skipped_bytes += len(data)
        elif self._exchange is not None:
            self._exchange.take_body(data)

    def on_message_complete(self) -> None:
        """Finish the exchange, or skip an answer to an earlier request."""
        self._counts.unframed = 0
        if not self._skips and self._exchange is not None:
            self._finish()

    def _finish(self) -> None:
        exchange, self._exchange = self._exchange, None
        self.idle_since = self._clock.now()
        if exchange is not None:
            exchange.take_end()

    def _fail(self, kind: FailureKind, bound: Bound | None = None) -> None:
        exchange, self._exchange = self._exchange, None
        self.close()
        if exchange is not None:
            exchange.take_failure(ExchangeFailed(kind, sent=True, bound=bound))


class _Counts:
    """What has arrived for one request beyond the parts of its answer's body."""

    def __init__(self) -> None:
        # Bytes since the last complete head, part of a body or end.
        self.unframed = 0
        self.fields = 0
        self.interim = 0
        self.skipped = 0
        self.skipped_bytes = 0

    def over(self) -> Bound | None:
        """Return a bound that is passed."""
        if self.fields > MOST_FIELDS:
            return Bound.FIELDS
        if self.unframed > MOST_HEAD_BYTES:
            return Bound.HEAD
        if self.interim > MOST_INTERIM:
            return Bound.INTERIM
        if self.skipped > MOST_SKIPPED or self.skipped_bytes > MOST_SKIPPED_BYTES:
            return Bound.SKIPPED
        return None


def _has_end(head: Head) -> bool:
    """Whether the framing tells where the body ends."""
    if head.status in (204, 304):
        return True
    return any(
        n.lower() in ("content-length", "transfer-encoding") for n, _ in head.headers
    )


def _keep_alive_s(head: Head) -> float | None:
    """Return the idle time that the target states, in seconds."""
    for part in (head.get("Keep-Alive") or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return float(value)
    return None
