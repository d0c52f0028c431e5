"""Collection of a request until it is complete or refused."""

from collections.abc import Awaitable, Callable

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from wigeonspan.common import Clock, ErrorKind, WigeonspanError, encode
from wigeonspan.serving._body import BodyBuffer, announced_bytes
from wigeonspan.serving._guard import CallerStream
from wigeonspan.serving._response import error_headers

STOP_MESSAGE = "this process stops"

CheckSize = Callable[
    [RequestStartLine, HTTPHeaders, int, CallerStream], WigeonspanError | None
]
"""Function that returns why a request is refused whose body has a number of bytes,
announced or received; None when it is not."""


class RequestCollector(HTTPMessageDelegate):
    """Collects the head and the body of one request.

    Parameters
    ----------
    connection : HTTP1Connection
        Connection to the caller.
    begin : callable
        Handles the complete request; the last argument is the time of its body in
        seconds.
    refusal : callable
        Returns why a request is refused before its body has arrived, if it is.
    check_size : callable
        Returns why a body of a size is refused, if it is.
    arriving : set of RequestCollector
        Collectors whose request is incomplete; this one adds and removes itself.
    is_ending : callable
        Returns whether complete requests are refused, because the server ends.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        connection: HTTP1Connection,
        begin: Callable[
            [RequestStartLine, HTTPHeaders, bytes, HTTP1Connection, float], None
        ],
        refusal: Callable[[RequestStartLine, HTTPHeaders], WigeonspanError | None],
        check_size: CheckSize,
        arriving: set["RequestCollector"],
        is_ending: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._connection = connection
        self._begin = begin
        self._refusal = refusal
        self._check_size = check_size
        self._arriving = arriving
        self._is_ending = is_ending
        self._clock = clock
        self._head_at = clock.now()
        self._refused = False
        self._body = BodyBuffer()
        self._stream = connection.stream
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
        announced = announced_bytes(headers.get("Content-Length", ""))
        self._stream.begin_body(announced, self.refuse)
        error = self._refusal(start_line, headers) or self._size_error(announced)
        if error is not None:
            self.refuse(error)
            if announced:
                # Tornado answers a length of thousands of digits a second time.
                headers["Content-Length"] = str(announced)
            if "Expect" in headers:
                # The caller waits with the body, and must not be asked for it.
                self._connection.finish()
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Collect a part of the body."""
        if self._refused:
            return None
        error = self._size_error(len(self._body) + len(chunk))
        if error is not None:
            self.refuse(error)
        elif self._stream.hold(len(chunk)):
            self._body.append(chunk)
        return None

    def finish(self) -> None:
        """Start to handle the request, which is now complete."""
        self._arriving.discard(self)
        if self._stream.closed():
            # Tornado still reads requests that were buffered before the close.
            return
        if self._is_ending() and not self._refused:
            # Its connection is closed before a response of the handler is sent.
            self.refuse(WigeonspanError(ErrorKind.DRAINING, STOP_MESSAGE))
        if not self._refused:
            # The request to a target holds a copy of the body; without memory for it
            # this request or others are refused.
            self._stream.hold(len(self._body))
        if self._stream.closed():
            return
        if self._refused:
            self._connection.finish()
            return
        body = self._body.take()
        body_s = self._clock.now() - self._head_at
        self._begin(self._line, self._headers, body, self._connection, body_s)

    def on_connection_close(self) -> None:
        """Forget an incomplete request, which is not handled."""
        self._arriving.discard(self)
        self._body.clear()

    def refuse(self, error: WigeonspanError) -> None:
        """Send an error response instead of handling the request.

        The rest of the body is still read: a close with unread bytes would reset the
        connection, and the caller could lose the response.
        """
        self._arriving.discard(self)
        self._refused = True
        self._body.clear()
        self._stream.record_refused()
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

    def _size_error(self, size: int) -> WigeonspanError | None:
        """Return why a body of a size is refused, if it is."""
        return self._check_size(self._line, self._headers, size, self._stream)
