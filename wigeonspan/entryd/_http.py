"""Request handlers: the base class, the directory and unknown paths."""

import socket
from asyncio import Future
from typing import Any

from tornado.iostream import IOStream
from tornado.web import Finish, stream_request_body

from wigeonspan.common import DomainName, ErrorKind, WigeonspanError, encode
from wigeonspan.entryd._entry import Entry
from wigeonspan.entryd._requests import parse_headers
from wigeonspan.entryd._stopping import stop_error
from wigeonspan.http import JSON_TYPE, JsonHandler
from wigeonspan.serving import (
    DELIVERY_BUFFER_BYTES,
    BodyBuffer,
    CallerStream,
    announced_bytes,
)


@stream_request_body
class EntryHandler(JsonHandler):
    """Base of the request handlers. Counts requests and limits their bodies.

    The body is received in chunks and limited here, because the HTTP server refuses a
    body above its own limit without the error body of the public interface.
    """

    counted = False

    has_deadline = False
    """Whether requests may name a deadline."""

    def initialize(self, entry: Entry) -> None:
        """Set the entry."""
        self.entry = entry
        self._body = BodyBuffer()
        self._request_number = 0
        self._refused = False
        self._complete = False

    def prepare(self) -> None:
        """Count the request, and refuse a large body before it is read."""
        self.entry.in_flight += 1
        self.counted = True
        self.entry.open_responses.add(self)
        stream = self._connection_stream
        if isinstance(stream, CallerStream):
            self._request_number = stream.begin_body(
                self._declared_bytes, self._refuse_arriving
            )
        self._check_declared_size()
        if self.has_deadline and self.entry.draining:
            self._check_deadline()

    def record_arrival(self) -> None:
        """Record that the whole request has arrived.

        Raises
        ------
        Finish
            When the request was refused while it arrived.
        """
        stream = self._connection_stream
        if isinstance(stream, CallerStream) and not self._refused:
            # The request to a target holds a copy of the body; without memory for it
            # this request or others are refused.
            stream.hold(len(self._body))
        self._complete = True
        if self._refused:
            raise Finish
        if isinstance(stream, CallerStream):
            stream.begin_run()

    def refuse_incomplete(self) -> None:
        """Refuse a request that has not arrived completely, since this entry stops."""
        self._refuse_arriving(stop_error(False))

    def _refuse_arriving(self, error: WigeonspanError) -> None:
        """Refuse a request that has not arrived completely.

        The rest of the body is still read: a close with unread bytes would reset the
        connection, and the caller could lose the response.
        """
        if self._complete or self._refused or self._finished or self._headers_written:
            return
        self._refused = True
        self._body.clear()
        stream = self._connection_stream
        if isinstance(stream, CallerStream):
            stream.record_refused()
        body = encode(error.body)
        self.set_status(error.status)
        self.set_header("Content-Type", JSON_TYPE)
        self.set_header("Content-Length", str(len(body)))
        self.set_header("Retry-After", "1")
        self.write(body)
        self.flush()

    def enlarge_send_buffer(self) -> None:
        """Let the kernel take what the caller has not read yet.

        The kernel delivers what it has taken even when the process has ended.
        """
        stream = self._connection_stream
        if stream.socket is not None and stream.writing():
            stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, DELIVERY_BUFFER_BYTES
            )

    def data_received(self, chunk: bytes) -> None:
        """Store a chunk of the body, or refuse the request above the limit."""
        if self._finished or self._refused:
            return
        size = len(self._body) + len(chunk)
        if size > self.entry.settings.relay.max_body_bytes:
            self._body.clear()
            self.send_error_body(self._too_large_error())
            return
        stream = self._connection_stream
        if not isinstance(stream, CallerStream) or stream.hold(len(chunk)):
            self._body.append(chunk)

    def take_body(self) -> bytes:
        """Return the body and release its memory."""
        return self._body.take()

    def flush(self, include_footers: bool = False) -> "Future[None]":
        """Write the buffered output; ask callers to disconnect while draining."""
        if not self._headers_written and self.entry.draining:
            self.set_header("Connection", "close")
        return super().flush(include_footers)

    def on_finish(self) -> None:
        """Record the end of the request when the kernel has taken the response.

        What the kernel has not taken is lost when the process ends.
        """
        stream = self._connection_stream
        if stream.closed() or not stream.writing():
            self._record_request_end()
            return
        # An empty write is done when all writes before it are.
        written = stream.write(b"")
        written.add_done_callback(lambda _: self._record_request_end())

    def on_connection_close(self) -> None:
        """Record that the caller closed its connection."""
        super().on_connection_close()
        self._record_request_end()

    def _record_request_end(self) -> None:
        if self.counted:
            self.counted = False
            self._body.clear()
            stream = self._connection_stream
            if isinstance(stream, CallerStream):
                stream.end_request(self._request_number)
            self.entry.in_flight -= 1
            self.entry.open_responses.discard(self)

    @property
    def _connection_stream(self) -> IOStream:
        return self.request.connection.stream  # type: ignore[union-attr]

    def _check_deadline(self) -> None:
        """Refuse a request at once whose body arrives for nothing."""
        deadline_ms = parse_headers(self.request.headers).deadline_ms
        if deadline_ms is None:
            return
        try:
            self.entry.check_deadline(self.entry.clock.now() + deadline_ms / 1000)
        except WigeonspanError:
            self.refuse_incomplete()

    @property
    def _declared_bytes(self) -> int:
        """Length of the body that the head announces; 0 when it names none."""
        return announced_bytes(self.request.headers.get("Content-Length", ""))

    def _check_declared_size(self) -> None:
        if self._declared_bytes > self.entry.settings.relay.max_body_bytes:
            raise self._too_large_error()

    def _too_large_error(self) -> WigeonspanError:
        limit = self.entry.settings.relay.max_body_bytes
        return WigeonspanError(
            ErrorKind.TOO_LARGE, f"the body is larger than {limit} bytes"
        )


class DirectoryHandler(EntryHandler):
    """Lists the entries that a caller may use."""

    def get(self) -> None:
        """Send the list of entries, those of the caller's failure domain first."""
        self.record_arrival()
        domain = self.get_query_argument("domain", None)
        response = self.entry.list_directory(DomainName(domain) if domain else None)
        self.send_message(response)


class UnknownPathHandler(EntryHandler):
    """Refuses requests to paths that do not exist."""

    def prepare(self) -> None:
        """Refuse the request for every method."""
        super().prepare()
        raise WigeonspanError(ErrorKind.UNKNOWN_ROUTE, "there is no such path")

    def compute_etag(self) -> Any:
        """Return None, so that error responses have no entity tags."""
        return None
