"""Client connection that carries one exchange at a time, parsed by httptools."""

import asyncio
import re
import socket
from collections.abc import Callable

import httptools

from wigeonspan.common import Clock, TrafficCounter
from wigeonspan.pool._bounds import (
    MAX_FIELDS,
    MAX_HEAD_BYTES,
    MAX_INTERIM_RESPONSES,
    MAX_SKIPPED_BYTES,
    MAX_SKIPPED_RESPONSES,
    BufferBudget,
    ResponseLimit,
)
from wigeonspan.pool._exchange import Exchange, ExchangeError, FailureKind
from wigeonspan.pool._head import Head, HeaderList

TCP_USER_TIMEOUT_MS = 2000
"""Milliseconds that sent bytes may stay unacknowledged before the kernel closes the
connection; twice the longest retransmission time on a link that loses single
packets."""

KEEPALIVE_INTERVAL_S = 1
"""Idle seconds before the first TCP keepalive probe, and seconds between probes."""

MAX_REQUESTS = 128
"""Largest number of requests that a connection carries. It bounds the memory for their
ids; a new connection costs a target a millisecond, which is little after so many."""

KEEPALIVE_PROBES = 2
"""Unanswered keepalive probes after which the kernel closes the connection."""

MIN_STATUS, MAX_STATUS = 100, 599
"""Smallest and largest status code that HTTP defines; the parser accepts any three
digits."""

_VERSIONS = frozenset({"1.0", "1.1"})
# The parser takes responses of RTSP and ICY for those of HTTP.
_PROTOCOL = b"HTTP/"
_HEAD_METHOD = b"HEAD "
# str.isdigit accepts characters that float refuses, such as superscripts.
_SECONDS = re.compile(r"[0-9]{1,9}")


class Connection(asyncio.Protocol):
    """Connection to one address.

    Parameters
    ----------
    clock : Clock
        Source of time.
    buffers : BufferBudget
        Limit on the bytes that all connections buffer together.
    traffic : TrafficCounter
        Counts the bytes of all connections.
    """

    def __init__(
        self, clock: Clock, buffers: BufferBudget, traffic: TrafficCounter
    ) -> None:
        self._clock = clock
        self._traffic = traffic
        self._buffers = buffers
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._exchange: Exchange | None = None
        # Hashes of the ids of the requests that were sent, which may be long.
        self._sent_ids: set[int] = set()
        self._usable = False
        self._ends_at_eof = False
        self._skip_response = False
        self._has_body = True
        self._status = 0
        self._headers: HeaderList = []
        self._in_body = False
        self._counts = _ReceivedCounts()
        self.idle_since = clock.now()
        self.idle_limit_s: float | None = None

    @property
    def usable(self) -> bool:
        """Whether another request may be sent."""
        transport = self._transport
        return (
            self._usable
            and self._exchange is None
            and len(self._sent_ids) < MAX_REQUESTS
            and transport is not None
            and not transport.is_closing()
            and transport.get_write_buffer_size() == 0
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options that detect an unresponsive peer."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._usable = True
        sock = transport.get_extra_info("socket")
        for level, option, value in (
            (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        ):
            sock.setsockopt(level, option, value)

    def has_sent(self, request_id: str) -> bool:
        """Return whether a request with an id was sent on this connection."""
        return hash(request_id) in self._sent_ids

    def start(
        self,
        request: bytes,
        request_id: str,
        accepts: Callable[[Head], bool],
        keeps_connection: Callable[[Head], bool],
    ) -> Exchange:
        """Send a request and return its exchange."""
        assert self._transport is not None
        if request_id:
            self._sent_ids.add(hash(request_id))
        self._counts = _ReceivedCounts()
        self._has_body = not request.startswith(_HEAD_METHOD)
        self._exchange = Exchange(
            self, accepts, keeps_connection, self._clock.now(), self._buffers
        )
        self._traffic.sent += len(request)
        self._transport.write(request)
        return self._exchange

    def close(self) -> None:
        """Abort the connection, so that the target cancels the request."""
        self._usable = False
        if self._transport is not None:
            self._transport.abort()

    def set_read_paused(self, paused: bool) -> None:
        """Pause or resume reading from the target."""
        if self._transport is None or self._transport.is_closing():
            return
        if paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection when no request is running."""
        self._traffic.received += len(data)
        if self._exchange is None:
            self.close()
            return
        if not self._counts.begins_as_http(data):
            self._fail(FailureKind.MALFORMED)
            return
        try:
            self._counts.bytes_since_progress += len(data)
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail(FailureKind.MALFORMED)
            return
        exceeded_limit = self._counts.exceeded_limit()
        if exceeded_limit is not None:
            self.fail_oversized(exceeded_limit)

    def fail_oversized(self, limit: ResponseLimit) -> None:
        """Fail the exchange because its response exceeds a limit."""
        self._fail(FailureKind.OVERSIZED, limit)

    def eof_received(self) -> bool:
        """Handle the peer's end of stream, which ends a close-delimited response."""
        exchange = self._exchange
        self._usable = False
        if exchange is not None and self._ends_at_eof and exchange.has_head:
            self._finish()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the running exchange, if any."""
        self._usable = False
        self._fail(FailureKind.CLOSED if error is None else FailureKind.RESET)

    def on_message_begin(self) -> None:
        """Begin a response; an unsolicited one makes the connection unusable."""
        self._headers = []
        self._in_body = False
        self._counts.fields = 0
        if self._exchange is None:
            self._usable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field; trailers are counted and discarded."""
        self._counts.fields += 1
        if not self._in_body and self._counts.fields <= MAX_FIELDS:
            self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Pass the head to the exchange unless the response is to be skipped.

        Interim responses and late responses to earlier requests are skipped. A target
        that has sent a late response gets no further request on the connection.

        Raises
        ------
        ValueError
            When HTTP/1 has no such version or status. The parser then reads no further
            and reports an error.
        """
        status = self._parser.get_status_code()
        if not MIN_STATUS <= status <= MAX_STATUS:
            raise ValueError(f"{status} is no status of a response")
        if self._parser.get_http_version() not in _VERSIONS:
            raise ValueError("the response is not one of HTTP/1")
        head = Head(status, self._headers)
        exchange = self._exchange
        self._in_body = True
        self._counts.bytes_since_progress = 0
        self._skip_response = (
            exchange is None or status < 200 or not exchange.accepts(head)
        )
        if self._skip_response or exchange is None:
            if status < 200:
                self._counts.interim_responses += 1
            else:
                self._counts.skipped_responses += 1
                self._usable = False
            return
        self._ends_at_eof = not _is_self_delimited(head)
        self.idle_limit_s = _keep_alive_s(head)
        if not self._parser.should_keep_alive() or not exchange.keeps_connection(head):
            self._usable = False
        if self._has_body:
            exchange.receive_head(head, self_delimited=not self._ends_at_eof)
            return
        exchange.receive_head(head, self_delimited=True)
        # The parser waits for the body that the head announces, so it reads no further
        # response.
        self._usable = False
        self._finish()

    def on_body(self, data: bytes) -> None:
        """Pass a body chunk to the exchange, or count it when it is skipped."""
        self._counts.bytes_since_progress = 0
        if self._skip_response:
            self._counts.skipped_bytes += len(data)
        elif self._exchange is not None:
            self._exchange.receive_body(data)

    def on_message_complete(self) -> None:
        """Finish the exchange unless the response was skipped."""
        self._counts.bytes_since_progress = 0
        if not self._skip_response and self._exchange is not None:
            self._finish()

    def _finish(self) -> None:
        exchange, self._exchange = self._exchange, None
        self.idle_since = self._clock.now()
        if exchange is not None:
            exchange.receive_end()

    def _fail(self, kind: FailureKind, limit: ResponseLimit | None = None) -> None:
        exchange, self._exchange = self._exchange, None
        self.close()
        if exchange is not None:
            exchange.receive_failure(ExchangeError(kind, sent=True, limit=limit))


class _ReceivedCounts:
    """Counters of what was received during one request, for its limits."""

    def __init__(self) -> None:
        # Bytes since the last complete head, body chunk or response.
        self.bytes_since_progress = 0
        self.fields = 0
        self.interim_responses = 0
        self.skipped_responses = 0
        self.skipped_bytes = 0
        self._first_bytes = b""

    def begins_as_http(self, data: bytes) -> bool:
        """Return whether the bytes received first may begin a response of HTTP.

        Line breaks before them are ignored, as the parser does.
        """
        if len(self._first_bytes) < len(_PROTOCOL):
            received = (self._first_bytes + data[:64]).lstrip(b"\r\n")
            self._first_bytes = received[: len(_PROTOCOL)]
        return _PROTOCOL.startswith(self._first_bytes)

    def exceeded_limit(self) -> ResponseLimit | None:
        """Return a limit that is exceeded, if any."""
        if self.fields > MAX_FIELDS:
            return ResponseLimit.FIELDS
        if self.bytes_since_progress > MAX_HEAD_BYTES:
            return ResponseLimit.HEAD
        if self.interim_responses > MAX_INTERIM_RESPONSES:
            return ResponseLimit.INTERIM
        if (
            self.skipped_responses > MAX_SKIPPED_RESPONSES
            or self.skipped_bytes > MAX_SKIPPED_BYTES
        ):
            return ResponseLimit.SKIPPED
        return None


def _is_self_delimited(head: Head) -> bool:
    """Return whether the response itself states where its body ends."""
    if head.status in (204, 304):
        return True
    return any(
        n.lower() in ("content-length", "transfer-encoding") for n, _ in head.headers
    )


def _keep_alive_s(head: Head) -> float | None:
    """Return the idle timeout of the ``Keep-Alive`` header, in seconds."""
    for part in (head.get("Keep-Alive") or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and _SECONDS.fullmatch(value):
            return float(value)
    return None
