"""HTTP server that reads complete requests and can stream the responses."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets

from wigeonspan.common import (
    Clock,
    ErrorKind,
    SystemClock,
    WigeonspanError,
    encode,
)
from wigeonspan.serving._accepting import LAST_REQUESTS_S, accept_pending

MAX_HEADER_BYTES = 64 * 1024
"""Largest request head in bytes; configurations set lower limits."""

MAX_BODY_BYTES = 16 * 1024 * 1024
"""Largest request body in bytes; configurations set lower limits."""

IDLE_TIMEOUT_S = 60.0
"""Seconds that a caller's connection may stay idle. It is longer than the idle time
that configurations promise to callers, so that no request is sent on a connection that
the server is closing."""

FINAL_RESPONSE_TIMEOUT_S = 0.25
"""Seconds to wait for the responses to requests that are cancelled when the process
stops."""

DELIVERY_S = 0.1
"""Seconds before the end of a drain at which the kernel takes over what slow callers
have not read yet."""

DELIVERY_BUFFER_BYTES = 1024 * 1024
"""Send buffer for that; the kernel may grant less."""

POLL_INTERVAL_S = 0.02
"""Seconds between two checks whether a request is still arriving."""

STOP_MESSAGE = "this process stops"

# Value of SO_LINGER (on, 0 seconds) with which a close resets the connection.
_RESET = struct.pack("ii", 1, 0)


class ResponseWriter:
    """Writer of the response to one request.

    Parameters
    ----------
    connection : HTTPConnection
        Connection to the caller.
    supports_chunked : bool
        Whether the caller supports chunked transfer encoding, which HTTP/1.0 lacks.
    has_body : bool
        Whether responses to the request have a body; those to HEAD have none.
    body_s : float
        Seconds from the head of the request to the last byte of its body.
    """

    def __init__(
        self,
        connection: HTTPConnection,
        *,
        supports_chunked: bool = True,
        has_body: bool = True,
        body_s: float = 0.0,
    ) -> None:
        self._connection = connection
        self._has_body = has_body
        self._body_s = body_s
        self._supports_chunked = supports_chunked
        self._head_sent = False
        self._finished = False
        self._disconnected = False
        self._status = 0

    @property
    def status(self) -> int:
        """HTTP status that was sent; 0 before."""
        return self._status

    @property
    def body_s(self) -> float:
        """Seconds from the head of the request to the last byte of its body."""
        return self._body_s

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether the kernel has not taken all bytes of the response yet."""
        stream = self._stream
        return stream is not None and stream.writing()

    @property
    def _stream(self) -> IOStream | None:
        return _stream_of(self._connection)

    @property
    def head_sent(self) -> bool:
        """Whether the head was sent."""
        return self._head_sent

    @property
    def finished(self) -> bool:
        """Whether the response was ended as complete."""
        return self._finished

    @property
    def disconnected(self) -> bool:
        """Whether the caller has closed its connection."""
        return self._disconnected

    def enlarge_send_buffer(self) -> None:
        """Let the kernel buffer more of the response than the caller has room for.

        The kernel delivers what it has taken even when the process has ended.
        """
        stream = self._stream
        if stream is None or stream.socket is None or not stream.writing():
            return
        level, option = socket.SOL_SOCKET, socket.SO_SNDBUF
        if stream.socket.getsockopt(level, option) < DELIVERY_BUFFER_BYTES:
            stream.socket.setsockopt(level, option, DELIVERY_BUFFER_BYTES)

    def record_disconnect(self) -> None:
        """Record that the caller has closed its connection."""
        self._disconnected = True

    async def send_response(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Send a complete response."""
        await self._write_head(
            status,
            [*headers, ("Content-Length", str(len(body)))],
            body if self._has_body else None,
        )
        await self.finish()

    async def send_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Send the head of a response whose body follows in parts."""
        await self._write_head(status, headers, None)

    async def send(self, data: bytes) -> None:
        """Send a part of the body and wait until it is written."""
        if not self._has_body:
            return
        try:
            await self._connection.write(data)
        except StreamClosedError:
            self._disconnected = True

    async def finish(self) -> None:
        """End the response as complete, and wait until the kernel has taken it.

        What the kernel has not taken is lost when the process ends.
        """
        self._finished = True
        if self._disconnected:
            return
        stream = self._stream
        self._connection.finish()
        if stream is not None and stream.writing():
            try:
                # An empty write is done when all writes before it are.
                await stream.write(b"")
            except StreamClosedError:
                self._disconnected = True

    async def send_error(self, error: WigeonspanError) -> None:
        """Send an error response, including ``Retry-After`` where it applies."""
        detail = error.body.error
        headers = [("Content-Type", "application/json")]
        if detail.retry and detail.retry_after_s:
            headers.append(("Retry-After", f"{detail.retry_after_s:.2f}"))
        await self.send_response(error.status, headers, encode(error.body))

    def abort(self) -> None:
        """Close the connection, so that the response does not look complete."""
        stream = self._stream
        if stream is None:
            return
        if self._head_sent and not self._supports_chunked and stream.socket is not None:
            # Without chunked encoding, the end of the connection marks the end of the
            # response; only a reset shows that it is incomplete.
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        stream.close()

    async def _write_head(
        self, status: int, headers: list[tuple[str, str]], body: bytes | None
    ) -> None:
        fields = HTTPHeaders()
        for name, value in headers:
            fields.add(name, value)
        self._head_sent = True
        self._status = status
        line = ResponseStartLine("HTTP/1.1", status, "")
        try:
            await self._connection.write_headers(line, fields, body)
        except StreamClosedError:
            self._disconnected = True


def _stream_of(connection: HTTPConnection) -> IOStream | None:
    return connection.stream if isinstance(connection, HTTP1Connection) else None


ServeRequest = Callable[
    [str, str, list[tuple[str, str]], bytes, ResponseWriter], Awaitable[None]
]
"""Function that serves a request, given its method, target, header fields, body and
response writer."""


class RequestServer(HTTPServerConnectionDelegate):
    """HTTP server that passes complete requests to a handler function.

    A request whose caller disconnects is cancelled.

    Parameters
    ----------
    serve : callable
        Handles one request.
    record_error : callable
        Called with an unexpected error of ``serve`` or of accepting a connection; the
        caller of a request that fails gets an error response.
    clock : Clock or None
        Source of time; None for the system's clock.
    """

    def __init__(
        self,
        serve: ServeRequest,
        record_error: Callable[[Exception], None],
        clock: Clock | None = None,
    ) -> None:
        self._serve = serve
        self._record_error = record_error
        self._clock = clock or SystemClock()
        self._open_tasks: dict[asyncio.Task[None], ResponseWriter] = {}
        self._arriving: set[_RequestCollector] = set()
        self._ending = False
        self._sockets: list[socket.socket] = []
        self._server = HTTPServer(
            self,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_S,
        )

    @property
    def open_requests(self) -> int:
        """Number of requests that are being served."""
        return len(self._open_tasks)

    def listen(self, address: str) -> None:
        """Listen on an address of the form ``host:port``."""
        host, _, port = address.rpartition(":")
        sockets = bind_sockets(int(port), host)
        self._sockets.extend(sockets)
        self._server.add_sockets(sockets)

    def close_after_responses(self) -> None:
        """Close each connection after its next response, which announces the close."""
        self._server.conn_params.no_keep_alive = True

    def stop_accepting(self) -> None:
        """Close the listening sockets after accepting all pending connections.

        The kernel would reset connections that are not accepted yet when their
        listening socket is closed.
        """
        for listening_socket in self._sockets:
            accept_pending(
                self._server, listening_socket, MAX_BODY_BYTES, self._record_error
            )
        self._server.stop()
        self._sockets = []

    async def drain(
        self, timeout_s: float, before_end: Callable[[], None] | None = None
    ) -> None:
        """Stop accepting, and respond to all requests of the open connections.

        Requests of which a part has arrived are waited for. Those that are still
        incomplete at the end are refused.

        Parameters
        ----------
        timeout_s : float
            Seconds after which requests that are still open are cancelled.
        before_end : callable or None
            Called before these requests are cancelled.
        """
        self.close_after_responses()
        self.stop_accepting()
        try:
            async with asyncio.timeout(max(0.0, timeout_s - DELIVERY_S)):
                await asyncio.sleep(LAST_REQUESTS_S)
                while self._open_tasks or self._arriving:
                    if self._open_tasks:
                        await asyncio.wait(self._open_tasks)
                    else:
                        await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            # The remaining requests get their final response below.
            for caller in self._open_tasks.values():
                caller.enlarge_send_buffer()
            if self._open_tasks:
                await asyncio.wait(self._open_tasks, timeout=DELIVERY_S)
            if before_end is not None:
                before_end()
        await self.end_requests()

    async def end_requests(self) -> None:
        """Cancel the open requests and wait until their responses are sent.

        ``serve`` may still respond to a cancelled request whose caller is connected.
        Requests that have not arrived completely, and later ones, are refused.
        """
        self._ending = True
        for collector in list(self._arriving):
            collector.refuse(WigeonspanError(ErrorKind.DRAINING, STOP_MESSAGE))
        open_tasks = set(self._open_tasks)
        for task in open_tasks:
            task.cancel()
        if open_tasks:
            await asyncio.wait(open_tasks, timeout=FINAL_RESPONSE_TIMEOUT_S)

    async def close(self) -> None:
        """Close all connections."""
        self._server.stop()
        await self._server.close_all_connections()

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the collector of a new request."""
        return _RequestCollector(
            request_conn,
            self._begin,
            self._arriving,
            lambda: self._ending,
            self._clock,
        )

    def on_close(self, server_conn: object) -> None:
        """Do nothing: each request has its own callback for a closed connection."""

    def _begin(
        self,
        line: RequestStartLine,
        headers: HTTPHeaders,
        body: bytes,
        connection: HTTPConnection,
        body_s: float,
    ) -> None:
        caller = ResponseWriter(
            connection,
            supports_chunked=line.version != "HTTP/1.0",
            has_body=line.method != "HEAD",
            body_s=body_s,
        )
        fields = list(headers.get_all())
        coroutine = self._serve(line.method, line.path, fields, body, caller)
        task = asyncio.ensure_future(self._run_request(coroutine, caller))
        self._open_tasks[task] = caller
        task.add_done_callback(self._open_tasks.pop)

        def on_disconnect() -> None:
            caller.record_disconnect()
            task.cancel()

        connection.set_close_callback(on_disconnect)

    async def _run_request(
        self, coroutine: Awaitable[None], caller: ResponseWriter
    ) -> None:
        try:
            await coroutine
        except Exception as error:
            # An unexpected error must fail only this request and not the others.
            self._record_error(error)
            if not caller.head_sent:
                message = "the request failed inside the system"
                await caller.send_error(WigeonspanError(ErrorKind.INTERNAL, message))
        finally:
            if not caller.finished:
                caller.abort()


class _RequestCollector(HTTPMessageDelegate):
    """Collects the head and the body of one request."""

    def __init__(
        self,
        connection: HTTPConnection,
        begin: Callable[
            [RequestStartLine, HTTPHeaders, bytes, HTTPConnection, float], None
        ],
        arriving: set["_RequestCollector"],
        is_ending: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._connection = connection
        self._begin = begin
        self._arriving = arriving
        self._is_ending = is_ending
        self._clock = clock
        self._head_at = clock.now()
        self._refused = False
        self._chunks: list[bytes] = []
        self._line: RequestStartLine
        self._headers: HTTPHeaders

    def headers_received(
        self, start_line: object, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Store the head."""
        assert isinstance(start_line, RequestStartLine)
        self._line = start_line
        self._headers = headers
        self._head_at = self._clock.now()
        self._arriving.add(self)
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Collect a part of the body."""
        if not self._refused:
            self._chunks.append(chunk)
        return None

    def finish(self) -> None:
        """Start to handle the request, which is now complete."""
        self._arriving.discard(self)
        stream = _stream_of(self._connection)
        if stream is not None and stream.closed():
            # Tornado still reads requests that were buffered before the close.
            return
        if self._is_ending() and not self._refused:
            # Its connection is closed before a response of the handler is sent.
            self.refuse(WigeonspanError(ErrorKind.DRAINING, STOP_MESSAGE))
        if self._refused:
            self._connection.finish()
            return
        body = b"".join(self._chunks)
        body_s = self._clock.now() - self._head_at
        self._begin(self._line, self._headers, body, self._connection, body_s)

    def on_connection_close(self) -> None:
        """Forget an incomplete request, which is not handled."""
        self._arriving.discard(self)

    def refuse(self, error: WigeonspanError) -> None:
        """Send an error response instead of handling the request.

        The rest of the body is still read: a close with unread bytes would reset the
        connection, and the caller could lose the response.
        """
        self._arriving.discard(self)
        self._refused = True
        self._chunks.clear()
        body = encode(error.body)
        fields = {"Content-Type": "application/json", "Connection": "close"}
        if error.body.error.retry_after_s:
            fields["Retry-After"] = f"{error.body.error.retry_after_s:.2f}"
        self._connection.write_headers(
            ResponseStartLine("HTTP/1.1", error.status, ""),
            HTTPHeaders({**fields, "Content-Length": str(len(body))}),
            body if self._line.method != "HEAD" else None,
        )
