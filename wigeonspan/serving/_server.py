"""HTTP server that reads complete requests and can stream the responses."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
)
from tornado.netutil import bind_sockets

from wigeonspan.common import Clock, ErrorKind, SystemClock, WigeonspanError
from wigeonspan.serving._accepting import LAST_REQUESTS_S, accept_pending
from wigeonspan.serving._collector import STOP_MESSAGE, RequestCollector
from wigeonspan.serving._guard import CallerGuard, CallerStream
from wigeonspan.serving._response import ResponseWriter
from wigeonspan.serving._shedding import CloseReason

MAX_HEADER_BYTES = 64 * 1024
"""Largest request head in bytes; configurations set lower limits."""

UNLIMITED_BODY_BYTES = 1 << 62
"""Size above which tornado refuses a body. Bodies are limited here, because tornado
would answer without the error body of the public interface."""

IDLE_TIMEOUT_S = 60.0
"""Seconds after which tornado closes a connection without a request; the limits of
callers say less."""

FINAL_RESPONSE_TIMEOUT_S = 0.25
"""Seconds to wait for the responses to requests that are cancelled when the process
stops."""

DELIVERY_S = 0.1
"""Seconds before the end of a drain at which the kernel takes over what slow callers
have not read yet."""

POLL_INTERVAL_S = 0.02
"""Seconds between two checks whether a request is still arriving."""

ServeRequest = Callable[
    [str, str, list[tuple[str, str]], bytes, ResponseWriter], Awaitable[None]
]
"""Function that serves a request, given its method, target, header fields, body and
response writer."""


CheckHead = Callable[[str, str, list[tuple[str, str]]], WigeonspanError | None]
"""Function that returns why a request is refused, given its method, target and header
fields; None when it is not, or when that depends on its body."""


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
    guard : CallerGuard or None
        Bounds over all connections of callers of the process; None for bounds of this
        server alone.
    check_oversized : callable or None
        Returns the error of a request whose body is too large when that is not the
        first fault of the request.
    """

    def __init__(
        self,
        serve: ServeRequest,
        record_error: Callable[[Exception], None],
        clock: Clock | None = None,
        guard: CallerGuard | None = None,
        check_oversized: CheckHead | None = None,
    ) -> None:
        self._serve = serve
        self._record_error = record_error
        self._clock = clock or SystemClock()
        self._open_tasks: dict[asyncio.Task[None], ResponseWriter] = {}
        self._arriving: set[RequestCollector] = set()
        self._ending = False
        self._guard = guard or CallerGuard(clock=self._clock)
        self._check_head: CheckHead | None = None
        self._check_oversized = check_oversized
        self._sockets: list[socket.socket] = []
        self._stop_listening: list[Callable[[], None]] = []
        self._server = HTTPServer(
            self,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=UNLIMITED_BODY_BYTES,
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
        self._stop_listening.append(self._guard.listen(self._server, sockets))

    def refuse_early(self, check_head: CheckHead) -> None:
        """Check each request from now on when its head has arrived.

        A request that is refused gets its response before its body has arrived.
        """
        self._check_head = check_head

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
                lambda accepted, address: self._guard.accept(
                    self._server, accepted, address
                ),
                listening_socket,
                self._record_error,
            )
        self._close_sockets()

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
        self._close_sockets()
        await self._server.close_all_connections()

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the collector of a new request."""
        assert isinstance(request_conn, HTTP1Connection)
        return RequestCollector(
            request_conn,
            self._begin,
            self._refusal,
            self._size_error,
            self._arriving,
            lambda: self._ending,
            self._clock,
        )

    def on_close(self, server_conn: object) -> None:
        """Do nothing: each request has its own callback for a closed connection."""

    def _refusal(
        self, line: RequestStartLine, headers: HTTPHeaders
    ) -> WigeonspanError | None:
        """Return why a request is refused before its body has arrived, if it is."""
        if self._check_head is None:
            return None
        return self._check_head(line.method, line.path, list(headers.get_all()))

    def _size_error(
        self,
        line: RequestStartLine,
        headers: HTTPHeaders,
        size: int,
        stream: CallerStream,
    ) -> WigeonspanError | None:
        """Return why a request is refused whose body has a size, if it is."""
        limit = self._guard.rules.body_bytes
        if size <= limit:
            return None
        self._guard.record(CloseReason.BODY_SIZE, stream.holding())
        error = None
        if self._check_oversized is not None:
            fields = list(headers.get_all())
            error = self._check_oversized(line.method, line.path, fields)
        message = f"the body is larger than {limit} bytes"
        return error or WigeonspanError(ErrorKind.TOO_LARGE, message)

    def _close_sockets(self) -> None:
        """Close the listening sockets."""
        for stop in self._stop_listening:
            stop()
        for listening_socket in self._sockets:
            listening_socket.close()
        self._stop_listening, self._sockets = [], []

    def _begin(
        self,
        line: RequestStartLine,
        headers: HTTPHeaders,
        body: bytes,
        connection: HTTP1Connection,
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
        stream = connection.stream
        assert isinstance(stream, CallerStream)
        number = stream.begin_run()
        task = asyncio.ensure_future(self._run_request(coroutine, caller))
        self._open_tasks[task] = caller
        task.add_done_callback(self._open_tasks.pop)
        task.add_done_callback(lambda _: stream.end_request(number))

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
