"""Collection of a request until it is complete or refused."""

from collections.abc import Awaitable, Callable

from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from wigeonspan.common import Clock, ErrorKind, WigeonspanError, encode
from wigeonspan.serving._response import error_headers, stream_of

STOP_MESSAGE = "this process stops"


class RequestCollector(HTTPMessageDelegate):
    """Collects the head and the body of one request.

    Parameters
    ----------
    connection : HTTPConnection
        Connection to the caller.
    begin : callable
        Handles the complete request; the last argument is the time of its body in
        seconds.
    refusal : callable
        Returns why a request is refused before its body has arrived, if it is.
    arriving : set of RequestCollector
        Collectors whose request is incomplete; this one adds and removes itself.
    is_ending : callable
        Returns whether complete requests are refused, because the server ends.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        connection: HTTPConnection,
        begin: Callable[
            [RequestStartLine, HTTPHeaders, bytes, HTTPConnection, float], None
        ],
        refusal: Callable[[RequestStartLine, HTTPHeaders], WigeonspanError | None],
        arriving: set["RequestCollector"],
        is_ending: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._connection = connection
        self._begin = begin
        self._refusal = refusal
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
        """Store the head, and refuse the request if its body cannot change that."""
        assert isinstance(start_line, RequestStartLine)
        self._line = start_line
        self._headers = headers
        self._head_at = self._clock.now()
        self._arriving.add(self)
        error = self._refusal(start_line, headers)
        if error is not None:
            self.refuse(error)
            if "Expect" in headers:
                # The caller waits with the body, and must not be asked for it.
                self._connection.finish()
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Collect a part of the body."""
        if not self._refused:
            self._chunks.append(chunk)
        return None

    def finish(self) -> None:
        """Start to handle the request, which is now complete."""
        self._arriving.discard(self)
        stream = stream_of(self._connection)
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
        fields = HTTPHeaders()
        for name, value in error_headers(error):
            fields.add(name, value)
        fields["Connection"] = "close"
        fields["Content-Length"] = str(len(body))
        self._connection.write_headers(
            ResponseStartLine("HTTP/1.1", error.status, ""),
            fields,
            body if self._line.method != "HEAD" else None,
        )
