"""Request handlers: the base class, the directory and unknown paths."""

from asyncio import Future
from typing import Any

from tornado.web import stream_request_body

from wigeonspan.common import DomainName, ErrorKind, WigeonspanError
from wigeonspan.entryd._entry import Entry
from wigeonspan.http import JsonHandler


@stream_request_body
class EntryHandler(JsonHandler):
    """Base of the request handlers. Counts requests and limits their bodies.

    The body is received in chunks and limited here, because the HTTP server refuses a
    body above its own limit without the error body of the public interface.
    """

    counted = False

    def initialize(self, entry: Entry) -> None:
        """Set the entry."""
        self.entry = entry
        self._chunks: list[bytes] = []
        self._size = 0

    def prepare(self) -> None:
        """Count the request, and refuse a large body before it is read."""
        self.entry.in_flight += 1
        self.counted = True
        self._check_declared_size()

    def data_received(self, chunk: bytes) -> None:
        """Store a chunk of the body, or refuse the request above the limit."""
        if self._finished:
            return
        self._size += len(chunk)
        if self._size > self.entry.settings.relay.max_body_bytes:
            self._chunks.clear()
            self.send_error_body(self._too_large_error())
            return
        self._chunks.append(chunk)

    def take_body(self) -> bytes:
        """Return the body and release its memory."""
        body = b"".join(self._chunks)
        self._chunks.clear()
        return body

    def flush(self, include_footers: bool = False) -> "Future[None]":
        """Write the buffered output; ask callers to disconnect while draining."""
        if not self._headers_written and self.entry.draining:
            self.set_header("Connection", "close")
        return super().flush(include_footers)

    def on_finish(self) -> None:
        """Record the end of the request."""
        self._record_request_end()

    def on_connection_close(self) -> None:
        """Record that the caller closed its connection."""
        super().on_connection_close()
        self._record_request_end()

    def _record_request_end(self) -> None:
        if self.counted:
            self.counted = False
            self.entry.in_flight -= 1

    def _check_declared_size(self) -> None:
        declared = self.request.headers.get("Content-Length", "0")
        if declared.isdigit():
            if int(declared) > self.entry.settings.relay.max_body_bytes:
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
