"""Writer of responses, and what they have in common."""

import socket
import struct

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPConnection, HTTPHeaders, ResponseStartLine
from tornado.iostream import IOStream, StreamClosedError

from wigeonspan.common import WigeonspanError, encode
from wigeonspan.serving._guard import CallerStream

DELIVERY_BUFFER_BYTES = 1024 * 1024
"""Send buffer of a caller that reads slowly when the process stops; the kernel may
grant less."""

PIECE_BYTES = 64 * 1024
"""Bytes of a complete response that are passed to the connection at once. The rest is
neither copied nor counted twice while a caller reads slowly."""

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
        self._closes = False
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
        return stream_of(self._connection)

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
        if body or self._has_body:
            # The length of a body that a target has not sent is not known.
            headers = [*headers, ("Content-Length", str(len(body)))]
        if not self._has_body:
            body = b""
        stream = self._stream
        if isinstance(stream, CallerStream) and len(body) > PIECE_BYTES:
            # A caller that reads nothing may be closed for it.
            stream.hold(len(body))
        await self._write_head(status, headers, body[:PIECE_BYTES] or None)
        for start in range(PIECE_BYTES, len(body), PIECE_BYTES):
            if self._disconnected:
                break
            await self.send(body[start : start + PIECE_BYTES])
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
        if stream is not None and self._closes:
            stream.close()

    async def send_error(self, error: WigeonspanError) -> None:
        """Send an error response, including ``Retry-After`` where it applies."""
        await self.send_response(error.status, error_headers(error), encode(error.body))

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
        connection = self._connection
        if isinstance(connection, HTTP1Connection) and connection.params.no_keep_alive:
            # Tornado decides when it reads the request, which may have been before.
            self._closes = True
            fields["Connection"] = "close"
        self._head_sent = True
        self._status = status
        line = ResponseStartLine("HTTP/1.1", status, "")
        try:
            await self._connection.write_headers(line, fields, body)
        except StreamClosedError:
            self._disconnected = True


def stream_of(connection: HTTPConnection) -> IOStream | None:
    """Return the stream of a connection of HTTP/1, if it is one."""
    return connection.stream if isinstance(connection, HTTP1Connection) else None


def error_headers(error: WigeonspanError) -> list[tuple[str, str]]:
    """Return the header fields of an error response."""
    detail = error.body.error
    headers = [("Content-Type", "application/json")]
    if detail.retry and detail.retry_after_s:
        headers.append(("Retry-After", f"{detail.retry_after_s:.2f}"))
    return headers
