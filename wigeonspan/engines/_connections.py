"""HTTP exchanges with targets that can be closed midway."""

import asyncio
import os
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
"""Seconds that an idle connection stays usable. It bounds how long a target must be
given fresh connections after one of its connections went silent."""

ACK_TIMEOUT_MS = 2_000
"""Milliseconds that sent bytes may stay unacknowledged. The kernel ends a connection
that something on the way has lost track of, long before a progress timer would."""

MOST_BODIES_BYTES = 8 * 1024 * 1024
"""Bytes of answers that are kept whole for all exchanges together; bodies of calls are
far smaller, and as much again may wait in the client."""

_NEVER_CONNECTED = frozenset({pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST})

OnData = Callable[[bytes], None]


class ExchangeEnd(Struct, frozen=True):
    """How an exchange ended.

    Parameters
    ----------
    status : int
        HTTP status; 0 when there was no complete answer.
    body : bytes
        Body, unless it was passed on in pieces.
    sent_nothing : bool
        Whether it is certain that no byte of the request left: the connection was
        never established.
    timed_out : bool
        Whether the time ran out.
    message : str
        What failed; empty when the answer is complete.
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
    """Curl client whose running transfers can be ended.

    Handles are created when they are needed. The base class creates all at the start,
    which takes 19 MB for 4,096 of them on an entry that is idle.
    """

    def initialize(self, max_clients: int = 10, **options: Any) -> None:
        """Set up a client; see :class:`CurlAsyncHTTPClient`."""
        super().initialize(max_clients=1, **options)
        self._max_handles = max_clients

    def _process_queue(self) -> None:
        missing = len(self._requests) - len(self._free_list)
        room = self._max_handles - len(self._curls)
        for _ in range(min(missing, room)):
            curl = self._curl_create()
            self._curls.append(curl)
            self._free_list.append(curl)
        super()._process_queue()

    def abort(self, curl: pycurl.Curl) -> None:
        """End a transfer and close its connection.

        Removing a handle in the middle of a transfer makes curl close the connection
        instead of keeping it for reuse.
        """
        if getattr(curl, "info", None) is not None:
            self._finish(curl, pycurl.E_ABORTED_BY_CALLBACK, "closed by this side")


class Exchange:
    """One request to a target and its answer.

    Parameters
    ----------
    client : AbortableClient
        Client that runs it.
    request : HTTPRequest
        The request; every option that curl needs must be set. The body is kept when
        it has no function that takes the pieces.
    fresh : bool
        Whether the connection must be new and must not be used again.
    buffers : BufferBudget
        Counts the bytes of bodies that all exchanges keep.
    """

    def __init__(
        self,
        client: AbortableClient,
        request: HTTPRequest,
        fresh: bool,
        buffers: BufferBudget,
    ) -> None:
        self._client = client
        self._fresh = fresh
        self._buffers = buffers
        self._body = bytearray()
        self._over: ResponseLimit | None = None
        if request.streaming_callback is None:
            request.streaming_callback = self._keep
        self._curl: pycurl.Curl | None = None
        self._closed = False
        self.ended: asyncio.Future[ExchangeEnd] = asyncio.Future()
        request.prepare_curl_callback = self._prepare
        client.fetch_impl(request, self._on_response)

    @property
    def reused(self) -> bool:
        """Whether it runs on a connection that was open before."""
        if self._curl is None:
            return False
        return int(self._curl.getinfo(pycurl.NUM_CONNECTS)) == 0

    @property
    def status(self) -> int:
        """HTTP status once the head of the answer has come, else 0."""
        if self._curl is None:
            return 0
        return int(self._curl.getinfo(pycurl.RESPONSE_CODE))

    def close(self) -> None:
        """Close the connection unless the exchange has ended."""
        self._closed = True
        if self._curl is not None:
            self._client.abort(self._curl)

    def discard_and_fail(self, bound: ResponseLimit) -> None:
        """Close the connection because too much of answers is kept."""
        self._over = bound
        self._drop()
        self.close()

    def _keep(self, data: bytes) -> None:
        if self._over is None:
            self._body += data
            self._buffers.set_buffered(self, len(self._body))

    def _drop(self) -> None:
        self._body = bytearray()
        self._buffers.set_buffered(self, 0)

    def _prepare(self, curl: pycurl.Curl) -> None:
        if self._closed:
            raise ConnectionAbortedError("closed by this side")
        curl.setopt(pycurl.NOPROXY, "*")
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        curl.setopt(pycurl.MAXAGE_CONN, MAX_IDLE_S)
        curl.setopt(pycurl.SOCKOPTFUNCTION, _set_ack_timeout)
        if self._fresh:
            use_fresh_connection(curl)
        self._curl = curl

    def _on_response(self, response: HTTPResponse) -> None:
        self._curl = None
        if not self.ended.done():
            self.ended.set_result(self._end_of(response))
        self._drop()

    def _end_of(self, response: HTTPResponse) -> ExchangeEnd:
        error = response.error
        if self._over is not None:
            return ExchangeEnd(0, "", b"", {}, message=f"over {self._over.value}")
        if response.code != 599:
            headers = response.headers
            content_type = headers.get("Content-Type", "")
            body = bytes(self._body)
            return ExchangeEnd(response.code, content_type, body, headers)
        errno = error.errno if isinstance(error, CurlError) else None
        timed_out = errno == pycurl.E_OPERATION_TIMEDOUT
        unconnected = timed_out and response.time_info.get("connect") == 0
        # On a reused connection the connect time is 0 as well, so a timeout proves
        # nothing there. An error without a number comes from the set-up of the
        # request, before curl has it.
        sent_nothing = errno is None or errno in _NEVER_CONNECTED
        sent_nothing = sent_nothing or (self._fresh and unconnected)
        return ExchangeEnd(
            0, "", b"", {}, sent_nothing, timed_out, str(error or "no answer")
        )


class TargetConnections:
    """Pooled connections to targets.

    Parameters
    ----------
    max_exchanges : int
        Largest number of exchanges at once; more of them wait.
    max_answer_bytes : int
        Largest body of an answer.
    connect_timeout_s : float
        Longest time to connect.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        max_exchanges: int,
        max_answer_bytes: int,
        connect_timeout_s: float,
        clock: Clock,
    ) -> None:
        self._client = AbortableClient(
            force_instance=True,
            max_clients=max_exchanges,
            max_body_size=max_answer_bytes,
        )
        self._connect_timeout_s = connect_timeout_s
        self._clock = clock
        self._buffers = BufferBudget(MOST_BODIES_BYTES)
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
            Longest time for the whole exchange; 0 for no bound.
        on_data : callable or None
            Takes the pieces of the body as they come.
        fresh : bool
            Use a new connection and close it afterwards.
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
        fresh = fresh or self._is_distrusted(address)
        return Exchange(self._client, request, fresh, self._buffers)

    def distrust(self, address: str) -> None:
        """Stop using the idle connections to a target.

        When one connection went silent, others that took the same way may be dead as
        well. New connections are used until the old ones are past their idle age.
        """
        self._fresh_until[address] = self._clock.now() + MAX_IDLE_S + 1

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    def _is_distrusted(self, address: str) -> bool:
        until = self._fresh_until.get(address)
        if until is None:
            return False
        if self._clock.now() >= until:
            del self._fresh_until[address]
            return False
        return True
