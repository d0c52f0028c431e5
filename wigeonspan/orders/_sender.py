"""HTTP client that sends orders to engines and reads their state."""

import asyncio
import os
import socket
from typing import Any

import msgspec
import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse

from wigeonspan.common import WigeonspanError, decode, encode
from wigeonspan.engines import EngineState, OrderRequest
from wigeonspan.http import JSON_TYPE, make_client, use_fresh_connection
from wigeonspan.orders._effects import SendOutcome, SendResult
from wigeonspan.orders._guard import LeaseGuard, LeaseLost
from wigeonspan.orders._rules import DELIVERY_BOUND_S

CONNECT_TIMEOUT_S = 1.0
"""Timeout to connect to an engine; within a deployment it takes milliseconds."""

ANSWER_TIMEOUT_S = 60.0
"""Timeout for the response to an order; afterwards the state is read back."""

READ_TIMEOUT_S = 1.0
"""Timeout to read an engine's state."""

EXTEND_INTERVAL_S = 0.1
"""Interval between extensions of the lease guard; the leader's lease is 1.0 s."""


class _Refusal(msgspec.Struct):
    """Body of a 409 response."""

    error: str = ""


class _Upload:
    """Upload progress of one order."""

    def __init__(self, size: int) -> None:
        self._size = size
        self.may_have_sent = False
        self.done = asyncio.Event()

    def configure(self, curl: pycurl.Curl) -> None:
        """Configure a curl handle for an order."""
        use_fresh_connection(curl)
        curl.setopt(pycurl.SOCKOPTFUNCTION, self._set_socket_options)
        curl.setopt(pycurl.NOPROGRESS, 0)
        curl.setopt(pycurl.XFERINFOFUNCTION, self._on_progress)

    def _set_socket_options(self, curl_fd: int, purpose: int) -> int:
        # From here on bytes may be sent. The kernel drops unacknowledged bytes after
        # the bound, so a read of the state after that shows if the order arrived.
        self.may_have_sent = True
        with socket.socket(fileno=os.dup(curl_fd)) as connection:
            connection.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                int(DELIVERY_BOUND_S * 1000),
            )
        return pycurl.SOCKOPT_OK

    def _on_progress(self, *sizes: float) -> int:
        if sizes[3] >= self._size:
            self.done.set()
        return 0


class OrderSender:
    """Sends each order on a new connection while the lease guard is armed.

    Parameters
    ----------
    guard : LeaseGuard
        The only lease guard of this process.
    """

    def __init__(self, guard: LeaseGuard) -> None:
        self._guard = guard
        self._read_client = make_client(64)

    async def read_state(self, address: str) -> EngineState | None:
        """Return the state of an engine, or None when it does not respond.

        States have no id. On a reused connection a late copy of an earlier state, from
        before an order, could be mistaken for this one.
        """
        request = HTTPRequest(
            f"http://{address}/wigeonspan/state",
            connect_timeout=READ_TIMEOUT_S,
            request_timeout=READ_TIMEOUT_S,
            prepare_curl_callback=use_fresh_connection,
        )
        try:
            response = await self._read_client.fetch(request)
            return decode(response.body, EngineState)
        except (OSError, HTTPClientError, WigeonspanError):
            return None

    async def send(self, address: str, order: OrderRequest) -> SendOutcome:
        """Send an order and return its outcome.

        Parameters
        ----------
        address : str
            Address of the engine.
        order : OrderRequest
            Order with its identifier and fencing token.

        Returns
        -------
        SendOutcome
            ``NOT_SENT`` only when no connection was established.
        """
        body = encode(order)
        upload = _Upload(len(body))
        client = make_client(1)
        try:
            self._guard.acquire()
        except LeaseLost:
            client.close()
            return SendOutcome(SendResult.NOT_SENT, None, "the lease is too short")
        guarded = True
        answer = asyncio.ensure_future(_fetch(client, address, body, upload))
        try:
            await self._keep_guard_armed(answer, upload)
            self._guard.release()
            guarded = False
            return _interpret(await answer, upload)
        except LeaseLost:
            return SendOutcome(
                SendResult.UNKNOWN, None, "the lease ended while sending"
            )
        finally:
            # Close the connection before releasing the guard, so that no byte is sent
            # without it.
            answer.cancel()
            client.close()
            if guarded:
                self._guard.release()

    async def _keep_guard_armed(
        self, answer: "asyncio.Future[HTTPResponse | str]", upload: _Upload
    ) -> None:
        """Keep the guard armed until the kernel has the complete order."""
        sent = asyncio.ensure_future(upload.done.wait())
        try:
            while not (answer.done() or upload.done.is_set()):
                await asyncio.wait(
                    {answer, sent},
                    timeout=EXTEND_INTERVAL_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                self._guard.extend()
        finally:
            sent.cancel()


async def _fetch(
    client: CurlAsyncHTTPClient, address: str, body: bytes, upload: _Upload
) -> HTTPResponse | str:
    """Post the order and return the response, or an error message."""
    request = HTTPRequest(
        f"http://{address}/wigeonspan/order",
        method="POST",
        headers={"Content-Type": JSON_TYPE, "Expect": ""},
        body=body,
        connect_timeout=CONNECT_TIMEOUT_S,
        request_timeout=ANSWER_TIMEOUT_S,
        prepare_curl_callback=upload.configure,
    )
    try:
        return await client.fetch(request, raise_error=False)
    except (OSError, HTTPClientError) as error:
        if isinstance(error, CurlError) and error.errno == pycurl.E_COULDNT_CONNECT:
            upload.may_have_sent = False
        return str(error)


def _interpret(answer: HTTPResponse | str, upload: _Upload) -> SendOutcome:
    if isinstance(answer, str):
        result = SendResult.UNKNOWN if upload.may_have_sent else SendResult.NOT_SENT
        return SendOutcome(result, None, answer)
    try:
        if answer.code == 200:
            state: EngineState = decode(answer.body, EngineState)
            return SendOutcome(SendResult.ANSWERED, state)
        if answer.code == 409:
            refusal: Any = decode(answer.body, _Refusal)
            return SendOutcome(SendResult.REFUSED, None, refusal.error)
    except WigeonspanError as error:
        return SendOutcome(
            SendResult.UNKNOWN, None, f"status {answer.code}: {error.message}"
        )
    return SendOutcome(SendResult.UNKNOWN, None, f"status {answer.code}")
