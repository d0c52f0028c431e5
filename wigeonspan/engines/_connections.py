"""HTTP exchanges with targets, which can be aborted while they run."""

import asyncio
import functools
import os
import re
import socket
from collections.abc import Callable, Mapping
from typing import Any

import pycurl
from msgspec import Struct
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders

from wigeonspan.common import Clock
from wigeonspan.http import use_fresh_connection
from wigeonspan.pool import BufferBudget, ResponseLimit

MAX_IDLE_S = 10
"""Seconds after which an idle connection is not reused. It also limits how long a
target gets only new connections after one of its connections stopped responding."""

ACK_TIMEOUT_MS = 2_000
"""Milliseconds that sent bytes may stay unacknowledged. With it, the kernel closes a
connection whose state was lost on the network path much earlier than a progress timer
would."""

MAX_BUFFERED_BODY_BYTES = 8 * 1024 * 1024
"""Limit in bytes of the response bodies that all exchanges buffer together. The bodies
of calls are far smaller. The HTTP client may buffer as much again."""

_STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([1-5][0-9]{2})(?: [^\r\n]*)?\r?\n")
"""Status line of a response of HTTP/1. The HTTP client accepts others, too."""

MAX_MESSAGE_BYTES = 60
"""Most bytes of a refused status line in a message."""

_REFUSE_LINE = -1
"""Result of the header callback that makes the HTTP client fail the transfer."""

_CONNECT_ERRORS = frozenset({pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST})

OnData = Callable[[bytes], None]

OnAnswer = Callable[[str, Mapping[str, str], float], None]
"""Function called with the address of a target, the header fields of its response and
the time at which the request was started."""


class ExchangeEnd(Struct, frozen=True):
    """How an exchange ended.

    Parameters
    ----------
    status : int
        HTTP status; 0 when there was no complete response.
    body : bytes
        Body; empty when it was passed to a callback in chunks.
    sent_nothing : bool
        Whether it is certain that no byte of the request was sent, because the
        connection was never established.
    timed_out : bool
        Whether the exchange timed out.
    message : str
        Cause of the failure; empty when the response is complete.
    """

    status: int
    content_type: str
    body: bytes
    headers: Mapping[str, str]
    sent_nothing: bool = False
    timed_out: bool = False
    message: str = ""


def _set_ack_timeout(descriptor: int, purpose: int) -> int:
    with socket.socket(fileno=os.dup(descriptor)) as connection:
        connection.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, ACK_TIMEOUT_MS
        )
    return pycurl.SOCKOPT_OK


class AbortableClient(CurlAsyncHTTPClient):
    """Curl client whose running transfers can be aborted.

    Handles are created on demand. The base class creates all of them at the start,
    which takes 19 MB for 4,096 handles on an idle entry.
    """

    def initialize(self, max_clients: int = 10, **options: Any) -> None:
        """Set up a client; see :class:`CurlAsyncHTTPClient`."""
        super().initialize(max_clients=1, **options)
        self._max_handles = max_clients

    def _process_queue(self) -> None:
        missing = len(self._requests) - len(self._free_list)
        available = self._max_handles - len(self._curls)
        for _ in range(min(missing, available)):
            curl = self._curl_create()
            self._curls.append(curl)
            self._free_list.append(curl)
        super()._process_queue()

    def add_line(self, headers: HTTPHeaders, line: bytes) -> None:
        """Add a line of a response head to its header fields."""
        self._curl_header_callback(headers, None, line)

    def abort(self, curl: pycurl.Curl) -> None:
        """Abort a transfer and close its connection.

        When a handle is removed in the middle of a transfer, curl closes the
        connection instead of keeping it for reuse.
        """
        if getattr(curl, "info", None) is not None:
            self._finish(curl, pycurl.E_ABORTED_BY_CALLBACK, "closed by this side")


class _HeadReader:
    """Checks the heads of one response, interim ones included.

    The HTTP client takes a response whose connection is closed inside of its head for
    a complete one, and passes on status lines that are none of HTTP/1.

    Parameters
    ----------
    on_line : callable
        Function called with each line of a head that is valid.
    """

    def __init__(self, on_line: Callable[[bytes], None]) -> None:
        self._on_line = on_line
        self._status: int | None = None
        self._complete = False
        self._refused_line: bytes | None = None

    @property
    def refused_line(self) -> bytes | None:
        """First bytes of the status line that was refused, if one was."""
        return self._refused_line

    @property
    def complete(self) -> bool:
        """Whether the head of the final response has been received completely."""
        return self._complete

    def read_line(self, line: bytes) -> int | None:
        """Read a line with its line break; refuse one that begins no valid head.

        Lines after the final head belong to trailers.
        """
        if not self._complete and self._status is None:
            match = _STATUS_LINE.fullmatch(line)
            # No request asks for another protocol, which a status of 101 would begin.
            if match is None or match[1] == b"101":
                self._refused_line = line[:MAX_MESSAGE_BYTES]
                return _REFUSE_LINE
            self._status = int(match[1])
        elif not self._complete and not line.strip(b"\r\n"):
            self._complete = self._status is not None and self._status >= 200
            self._status = None
        self._on_line(line)
        return None


class Exchange:
    """One request to a target and its response.

    Parameters
    ----------
    client : AbortableClient
        Client that runs the exchange.
    request : HTTPRequest
        The request, with every option that curl needs. The response body is
        buffered unless the request has a streaming callback.
    fresh : bool
        Whether to use a new connection and close it afterwards.
    buffers : BufferBudget
        Limits the bytes of bodies that all exchanges buffer.
    on_answer : callable
        Called with the header fields of the response at its end.
    """

    def __init__(
        self,
        client: AbortableClient,
        request: HTTPRequest,
        fresh: bool,
        buffers: BufferBudget,
        on_answer: Callable[[Mapping[str, str]], None],
    ) -> None:
        self._on_answer = on_answer
        self._client = client
        self._fresh = fresh
        self._buffers = buffers
        self._body = bytearray()
        self._exceeded_limit: ResponseLimit | None = None
        if request.streaming_callback is None:
            request.streaming_callback = self._buffer_body
        self._curl: pycurl.Curl | None = None
        self._head: _HeadReader | None = None
        self._closed = False
        self.ended: asyncio.Future[ExchangeEnd] = asyncio.Future()
        request.prepare_curl_callback = self._configure_curl
        client.fetch_impl(request, self._on_response)

    @property
    def reused(self) -> bool:
        """Whether the exchange uses a connection that was already open."""
        if self._curl is None:
            return False
        return int(self._curl.getinfo(pycurl.NUM_CONNECTS)) == 0

    @property
    def connected(self) -> bool:
        """Whether a part of the request may have been sent."""
        if self._curl is None:
            return self.ended.done()
        return float(self._curl.getinfo(pycurl.PRETRANSFER_TIME)) > 0.0

    @property
    def status(self) -> int:
        """HTTP status, or 0 before the response head has arrived."""
        if self._curl is None:
            return 0
        return int(self._curl.getinfo(pycurl.RESPONSE_CODE))

    @property
    def _has_head(self) -> bool:
        return self._head is not None and self._head.complete

    def close(self) -> None:
        """Close the connection unless the exchange has ended."""
        self._closed = True
        if self._curl is not None:
            self._client.abort(self._curl)

    def discard_and_fail(self, limit: ResponseLimit) -> None:
        """Fail because a limit was exceeded: drop the body and close the connection."""
        self._exceeded_limit = limit
        self._clear_body()
        self.close()

    def _buffer_body(self, data: bytes) -> None:
        if self._exceeded_limit is None:
            self._body += data
            self._buffers.set_buffered(self, len(self._body))

    def _clear_body(self) -> None:
        self._body = bytearray()
        self._buffers.set_buffered(self, 0)

    def _configure_curl(self, curl: pycurl.Curl) -> None:
        if self._closed:
            raise ConnectionAbortedError("closed by this side")
        curl.setopt(pycurl.NOPROXY, "*")
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        curl.setopt(pycurl.MAXAGE_CONN, MAX_IDLE_S)
        curl.setopt(pycurl.SOCKOPTFUNCTION, _set_ack_timeout)
        if self._fresh:
            use_fresh_connection(curl)
        headers: HTTPHeaders = curl.info["headers"]
        self._head = _HeadReader(functools.partial(self._client.add_line, headers))
        curl.setopt(pycurl.HEADERFUNCTION, self._head.read_line)
        self._curl = curl

    def _on_response(self, response: HTTPResponse) -> None:
        was_set_up = self._curl is not None
        self._curl = None
        if self._is_complete(response):
            self._on_answer(response.headers)
        if not self.ended.done():
            self.ended.set_result(self._make_end(response, was_set_up=was_set_up))
        self._clear_body()

    def _is_complete(self, response: HTTPResponse) -> bool:
        """Return whether the target sent a complete response.

        The client reports its own errors with status 599, which a target may send, too.
        """
        return self._has_head and not isinstance(response.error, CurlError)

    def _make_end(self, response: HTTPResponse, *, was_set_up: bool) -> ExchangeEnd:
        error = response.error
        if self._exceeded_limit is not None:
            return ExchangeEnd(
                0,
                "",
                b"",
                {},
                message=f"over {self._exceeded_limit.value}",
            )
        if self._is_complete(response):
            headers = response.headers
            content_type = headers.get("Content-Type", "")
            body = bytes(self._body)
            return ExchangeEnd(response.code, content_type, body, headers)
        if self._head is not None and self._head.refused_line is not None:
            message = f"no status line of HTTP/1: {self._head.refused_line!r}"
            return ExchangeEnd(0, "", b"", {}, message=message)
        if response.code != 599:
            return ExchangeEnd(0, "", b"", {}, message="closed inside of the head")
        errno = error.errno if isinstance(error, CurlError) else None
        timed_out = errno == pycurl.E_OPERATION_TIMEDOUT
        connect_timed_out = timed_out and response.time_info.get("connect") == 0
        # On a reused connection the connect time is 0, too, so a timeout there does
        # not show that nothing was sent. An error of the setup occurs before the
        # request is passed to curl.
        sent_nothing = not was_set_up or errno in _CONNECT_ERRORS
        sent_nothing = sent_nothing or (self._fresh and connect_timed_out)
        return ExchangeEnd(
            0, "", b"", {}, sent_nothing, timed_out, str(error or "no answer")
        )


class TargetConnections:
    """Connection pool for exchanges with targets.

    Parameters
    ----------
    max_exchanges : int
        Largest number of concurrent exchanges; further ones wait.
    max_response_bytes : int
        Largest size of a response body.
    connect_timeout_s : float
        Timeout of connecting in seconds.
    clock : Clock
        Source of time.
    on_answer : callable
        Called at the end of each response.
    """

    def __init__(
        self,
        max_exchanges: int,
        max_response_bytes: int,
        connect_timeout_s: float,
        clock: Clock,
        on_answer: OnAnswer = lambda address, headers, sent_at: None,
    ) -> None:
        self._on_answer = on_answer
        self._client = AbortableClient(
            force_instance=True,
            max_clients=max_exchanges,
            max_body_size=max_response_bytes,
        )
        self._connect_timeout_s = connect_timeout_s
        self._clock = clock
        self._buffers = BufferBudget(MAX_BUFFERED_BODY_BYTES)
        self._fresh_until: dict[str, float] = {}

    def open(
        self,
        address: str,
        method: str,
        path: str,
        *,
        headers: Mapping[str, str] | None = None,
        body: bytes | None = None,
        timeout_s: float = 0.0,
        on_data: OnData | None = None,
        fresh: bool = False,
    ) -> Exchange:
        """Start an exchange.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the target.
        method, path : str
            Request line; the path includes the query.
        headers : mapping
            Request headers.
        body : bytes or None
            Request body.
        timeout_s : float
            Timeout of the complete exchange in seconds; 0 for none.
        on_data : callable or None
            Called with each chunk of the body when it arrives.
        fresh : bool
            Whether to use a new connection and close it afterwards.
        """
        request = HTTPRequest(
            f"http://{address}{path}",
            method=method,
            headers=HTTPHeaders(headers or {}),
            body=body,
            connect_timeout=self._connect_timeout_s,
            request_timeout=timeout_s,
            follow_redirects=False,
            max_redirects=0,
            decompress_response=False,
            validate_cert=True,
            allow_nonstandard_methods=True,
            allow_ipv6=True,
            user_agent="wigeonspan",
            streaming_callback=on_data,
        )
        fresh = fresh or self._needs_fresh_connection(address)
        sent_at = self._clock.now()
        return Exchange(
            self._client,
            request,
            fresh,
            self._buffers,
            lambda headers: self._on_answer(address, headers, sent_at),
        )

    def avoid_idle_connections(self, address: str) -> None:
        """Use new connections to a target until its idle ones have expired.

        When one connection has stopped responding, others on the same network path may
        be dead, too. After a refusal, a target may send it once more on the connection,
        and the copy would be taken for the answer to the next request there.
        """
        self._fresh_until[address] = self._clock.now() + MAX_IDLE_S + 1

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    def _needs_fresh_connection(self, address: str) -> bool:
        until = self._fresh_until.get(address)
        if until is None:
            return False
        if self._clock.now() >= until:
            del self._fresh_until[address]
            return False
        return True
