"""HTTP server that hands whole requests over and takes answers in parts."""

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

from wigeonspan.common import ErrorKind, WigeonspanError, encode

MOST_HEADER_BYTES = 64 * 1024
"""Largest head in bytes that is read at all; configurations set lower limits."""

MOST_BODY_BYTES = 16 * 1024 * 1024
"""Largest body in bytes that is read at all; configurations set lower limits."""

IDLE_S = 60.0
"""Seconds that a caller's connection may stay idle; over what configurations let
callers count on, so that no request meets a close."""


LAST_WRITE_S = 0.25
"""Seconds for the answers to requests that are ended with the process."""

_RESET = struct.pack("ii", 1, 0)


class Caller:
    """Where the answer to one request goes.

    Parameters
    ----------
    connection : HTTPConnection
        Caller's connection.
    has_chunks : bool
        Whether the caller understands chunks, which HTTP/1.0 lacks.
    """

    def __init__(self, connection: HTTPConnection, *, has_chunks: bool = True) -> None:
        self._connection = connection
        self._has_chunks = has_chunks
        self._begun = False
        self._finished = False
        self._gone = False
        self._status = 0

    @property
    def status(self) -> int:
        """Status that was sent; 0 before."""
        return self._status

    @property
    def begun(self) -> bool:
        """Whether the head was sent."""
        return self._begun

    @property
    def finished(self) -> bool:
        """Whether the whole answer was sent."""
        return self._finished

    @property
    def gone(self) -> bool:
        """Whether the caller has closed its connection."""
        return self._gone

    def note_gone(self) -> None:
        """Note that the caller has closed its connection."""
        self._gone = True

    async def answer(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Send a whole answer."""
        await self._begin(status, [*headers, ("Content-Length", str(len(body)))], body)
        await self.finish()

    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Send a head; the body follows in parts."""
        await self._begin(status, headers, None)

    async def send(self, data: bytes) -> None:
        """Send a part of the body and wait until it is on its way."""
        try:
            await self._connection.write(data)
        except StreamClosedError:
            self._gone = True

    async def finish(self) -> None:
        """End the answer as complete."""
        self._finished = True
        if not self._gone:
            self._connection.finish()

    async def refuse(self, error: WigeonspanError) -> None:
        """Answer with an error of the system."""
        detail = error.body.error
        headers = [("Content-Type", "application/json")]
        if detail.retry and detail.retry_after_s:
            headers.append(("Retry-After", f"{detail.retry_after_s:.2f}"))
        await self.answer(error.status, headers, encode(error.body))

    def break_off(self) -> None:
        """Close the connection, so that the answer does not look complete."""
        if not isinstance(self._connection, HTTP1Connection):
            return
        stream = self._connection.stream
        if self._begun and not self._has_chunks and stream.socket is not None:
            # The end of the connection is the end of an answer without chunks; only
            # a reset shows that it is not whole.
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        stream.close()

    async def _begin(
        self, status: int, headers: list[tuple[str, str]], body: bytes | None
    ) -> None:
        fields = HTTPHeaders()
        for name, value in headers:
            fields.add(name, value)
        self._begun = True
        self._status = status
        line = ResponseStartLine("HTTP/1.1", status, "")
        try:
            await self._connection.write_headers(line, fields, body)
        except StreamClosedError:
            self._gone = True


Serve = Callable[[str, str, list[tuple[str, str]], bytes, Caller], Awaitable[None]]
"""Serves a request given by method, target, header fields and body."""


class RequestServer(HTTPServerConnectionDelegate):
    """HTTP server that hands whole requests to a function.

    A request whose caller leaves is cancelled.

    Parameters
    ----------
    serve : callable
        Serves one request.
    note_error : callable
        Takes an unexpected error of ``serve``; its caller gets an error answer.
    """

    def __init__(self, serve: Serve, note_error: Callable[[Exception], None]) -> None:
        self._serve = serve
        self._note_error = note_error
        self._open: set[asyncio.Task[None]] = set()
        self._sockets: list[socket.socket] = []
        self._server = HTTPServer(
            self,
            max_header_size=MOST_HEADER_BYTES,
            max_body_size=MOST_BODY_BYTES,
            idle_connection_timeout=IDLE_S,
        )

    @property
    def open_requests(self) -> int:
        """Number of requests that are being served."""
        return len(self._open)

    def listen(self, address: str) -> None:
        """Listen on an address."""
        host, _, port = address.rpartition(":")
        sockets = bind_sockets(int(port), host)
        self._sockets.extend(sockets)
        self._server.add_sockets(sockets)

    def close_after_answers(self) -> None:
        """Tell each caller with its next answer that the connection ends."""
        self._server.conn_params.no_keep_alive = True

    def stop_accepting(self) -> None:
        """Take no new connections, but those that callers have already made.

        The kernel resets connections that still wait to be accepted when their
        listening socket is closed.
        """
        for listening in self._sockets:
            self._accept_waiting(listening)
        self._server.stop()
        self._sockets = []

    async def end_requests(self) -> None:
        """Cancel the open requests and wait until their callers have answers.

        ``serve`` may answer a cancelled request whose caller is still there.
        """
        open_now = set(self._open)
        for task in open_now:
            task.cancel()
        if open_now:
            await asyncio.wait(open_now, timeout=LAST_WRITE_S)

    async def close(self) -> None:
        """Close all connections."""
        self._server.stop()
        await self._server.close_all_connections()

    def _accept_waiting(self, listening: socket.socket) -> None:
        while True:
            try:
                accepted, address = listening.accept()
            except BlockingIOError:
                return
            except OSError as error:
                # The caller has left, or descriptors have run out.
                self._note_error(error)
                return
            accepted.setblocking(False)
            stream = IOStream(accepted, max_buffer_size=MOST_BODY_BYTES)
            self._server.handle_stream(stream, address)

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the collector of a new request."""
        return _Collector(request_conn, self._begin)

    def on_close(self, server_conn: object) -> None:
        """Do nothing: requests hear of a close by themselves."""

    def _begin(
        self,
        line: RequestStartLine,
        headers: HTTPHeaders,
        body: bytes,
        connection: HTTPConnection,
    ) -> None:
        caller = Caller(connection, has_chunks=line.version != "HTTP/1.0")
        fields = list(headers.get_all())
        work = self._serve(line.method, line.path, fields, body, caller)
        task = asyncio.ensure_future(self._run(work, caller))
        self._open.add(task)
        task.add_done_callback(self._open.discard)

        def on_gone() -> None:
            caller.note_gone()
            task.cancel()

        connection.set_close_callback(on_gone)

    async def _run(self, work: Awaitable[None], caller: Caller) -> None:
        try:
            await work
        except Exception as error:
            # A fault of this process costs one request and not the others.
            self._note_error(error)
            if not caller.begun:
                message = "the request failed inside the system"
                await caller.refuse(WigeonspanError(ErrorKind.INTERNAL, message))
        finally:
            if not caller.finished:
                caller.break_off()


class _Collector(HTTPMessageDelegate):
    """Collects one request."""

    def __init__(
        self,
        connection: HTTPConnection,
        begin: Callable[[RequestStartLine, HTTPHeaders, bytes, HTTPConnection], None],
    ) -> None:
        self._connection = connection
        self._begin = begin
        self._chunks: list[bytes] = []
        self._line: RequestStartLine
        self._headers: HTTPHeaders

    def headers_received(
        self, start_line: object, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Note the head."""
        assert isinstance(start_line, RequestStartLine)
        self._line = start_line
        self._headers = headers
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Collect a part of the body."""
        self._chunks.append(chunk)
        return None

    def finish(self) -> None:
        """Serve the request."""
        self._begin(self._line, self._headers, b"".join(self._chunks), self._connection)

    def on_connection_close(self) -> None:
        """Do nothing: a request that was not read whole is not served."""
