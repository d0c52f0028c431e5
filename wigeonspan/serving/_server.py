"""HTTP server that hands whole requests over and takes answers in parts."""

import asyncio
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
from tornado.iostream import StreamClosedError

from wigeonspan.common import WigeonspanError, encode

MOST_HEADER_BYTES = 64 * 1024
"""Largest head in bytes that is read at all; configurations set lower limits."""

MOST_BODY_BYTES = 16 * 1024 * 1024
"""Largest body in bytes that is read at all; configurations set lower limits."""

IDLE_S = 60.0
"""Seconds that a caller's connection may stay idle; over what configurations let
callers count on, so that no request meets a close."""


class Caller:
    """Where the answer to one request goes.

    Parameters
    ----------
    connection : HTTPConnection
        Caller's connection.
    """

    def __init__(self, connection: HTTPConnection) -> None:
        self._connection = connection
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
        if isinstance(self._connection, HTTP1Connection):
            self._connection.stream.close()

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
    """

    def __init__(self, serve: Serve) -> None:
        self._serve = serve
        self._open: set[asyncio.Task[None]] = set()
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
        self._server.listen(int(port), host)

    def close_after_answers(self) -> None:
        """Tell each caller with its next answer that the connection ends."""
        self._server.conn_params.no_keep_alive = True

    def stop_accepting(self) -> None:
        """Take no new connections."""
        self._server.stop()

    async def close(self) -> None:
        """Close all connections."""
        self._server.stop()
        await self._server.close_all_connections()

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
        caller = Caller(connection)
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
