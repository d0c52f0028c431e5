"""HTTP interface to callers: base handler, directory and health."""

from asyncio import Future
from typing import Any

from tornado.web import stream_request_body

from wigeonspan.common import DomainName, ErrorKind, WigeonspanError
from wigeonspan.entryd._entry import Entry
from wigeonspan.http import JsonHandler


@stream_request_body
class EntryHandler(JsonHandler):
    """Base of the handlers: counts requests and bounds their bodies.

    The body is taken in pieces, because the server answers a body above its own limit
    without an error of the closed list.
    """

    counted = False

    def initialize(self, entry: Entry) -> None:
        """Take the entry."""
        self.entry = entry
        self._chunks: list[bytes] = []
        self._size = 0

    def prepare(self) -> None:
        """Refuse what must not start, before the body is read."""
        self.entry.in_flight += 1
        self.counted = True
        self._check_declared_size()

    def data_received(self, chunk: bytes) -> None:
        """Keep a piece of the body within the limit."""
        if self._finished:
            return
        self._size += len(chunk)
        if self._size > self.entry.settings.relay.max_body_bytes:
            self._chunks.clear()
            self.send_error_body(self._too_large())
            return
        self._chunks.append(chunk)

    def take_body(self) -> bytes:
        """Return the body and forget it."""
        body = b"".join(self._chunks)
        self._chunks.clear()
        return body

    def flush(self, include_footers: bool = False) -> "Future[None]":
        """Write what there is; ask callers to leave this entry once it drains."""
        if not self._headers_written and self.entry.draining:
            self.set_header("Connection", "close")
        return super().flush(include_footers)

    def on_finish(self) -> None:
        """Note the end of the request."""
        self._uncount()

    def on_connection_close(self) -> None:
        """Note that the caller closed its connection."""
        super().on_connection_close()
        self._uncount()

    def _uncount(self) -> None:
        if self.counted:
            self.counted = False
            self.entry.in_flight -= 1

    def _check_declared_size(self) -> None:
        declared = self.request.headers.get("Content-Length", "0")
        if declared.isdigit():
            if int(declared) > self.entry.settings.relay.max_body_bytes:
                raise self._too_large()

    def _too_large(self) -> WigeonspanError:
        limit = self.entry.settings.relay.max_body_bytes
        return WigeonspanError(
            ErrorKind.TOO_LARGE, f"the body is larger than {limit} bytes"
        )


class DirectoryHandler(EntryHandler):
    """Names the entries that a caller may use."""

    def get(self) -> None:
        """Answer with the entries, those of the caller's domain first."""
        domain = self.get_query_argument("domain", None)
        answer = self.entry.list_directory(DomainName(domain) if domain else None)
        self.send_message(answer)


class UnknownPathHandler(EntryHandler):
    """Answers paths that do not exist."""

    def prepare(self) -> None:
        """Refuse the request whatever its method."""
        super().prepare()
        raise WigeonspanError(ErrorKind.UNKNOWN_ROUTE, "there is no such path")

    def compute_etag(self) -> Any:
        """Leave entity tags out of error answers."""
        return None
