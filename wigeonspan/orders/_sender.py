"""Connections that carry orders, and reads of engine states."""

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
from wigeonspan.orders._effects import SendResult, Sent
from wigeonspan.orders._guard import Guard, LeaseLost
from wigeonspan.orders._rules import DELIVERY_BOUND_S

CONNECT_TIMEOUT_S = 1.0
"""Longest time to connect to an engine; within a deployment it takes milliseconds."""

ANSWER_TIMEOUT_S = 60.0
"""Longest wait for the answer to an order; after it the state is read back."""

READ_TIMEOUT_S = 1.0
"""Longest wait for an engine's state."""

EXTEND_S = 0.1
"""Time between extensions of the guard; the leader's lease is 1.0 s."""


class _Refusal(msgspec.Struct):
    """Body of a 409 answer."""

    error: str = ""


class _Upload:
    """Progress of one order on its connection."""

    def __init__(self, size: int) -> None:
        self._size = size
        self.may_have_sent = False
        self.done = asyncio.Event()

    def watch(self, curl: pycurl.Curl) -> None:
        """Set up a curl handle for an order."""
        use_fresh_connection(curl)
        curl.setopt(pycurl.SOCKOPTFUNCTION, self._set_socket_options)
        curl.setopt(pycurl.NOPROGRESS, 0)
        curl.setopt(pycurl.XFERINFOFUNCTION, self._note_progress)

    def _set_socket_options(self, curl_fd: int, purpose: int) -> int:
        # Bytes may leave from here on. The kernel gives up unacknowledged ones after
        # the bound, so a later read-back shows whether the order has arrived.
        self.may_have_sent = True
        with socket.socket(fileno=os.dup(curl_fd)) as connection:
            connection.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                int(DELIVERY_BOUND_S * 1000),
            )
        return pycurl.SOCKOPT_OK

    def _note_progress(self, *sizes: float) -> int:
        if sizes[3] >= self._size:
            self.done.set()
        return 0


class OrderSender:
    """Sends orders on connections of their own, under the guard.

    Parameters
    ----------
    guard : Guard
        Guard of this process.
    """

    def __init__(self, guard: Guard) -> None:
        self._guard = guard
        self._reader = make_client(64)

    async def read_state(self, address: str) -> EngineState | None:
        """Return the state of an engine, or None when it does not answer."""
        request = HTTPRequest(
            f"http://{address}/wigeonspan/state",
            connect_timeout=READ_TIMEOUT_S,
            request_timeout=READ_TIMEOUT_S,
        )
        try:
            response = await self._reader.fetch(request)
            return decode(response.body, EngineState)
        except (OSError, HTTPClientError, WigeonspanError):
            return None

    async def send(self, address: str, order: OrderRequest) -> Sent:
        """Send an order and return what is known afterwards.

        Parameters
        ----------
        address : str
            Address of the engine.
        order : OrderRequest
            Order with its identifier and fence.

        Returns
        -------
        Sent
            ``NOT_SENT`` only when no connection was opened.
        """
        body = encode(order)
        upload = _Upload(len(body))
        client = make_client(1)
        try:
            self._guard.enter()
        except LeaseLost:
            client.close()
            return Sent(SendResult.NOT_SENT, None, "the lease is too short")
        guarded = True
        answer = asyncio.ensure_future(_fetch(client, address, body, upload))
        try:
            await self._hold_guard(answer, upload)
            self._guard.leave()
            guarded = False
            return _interpret(await answer, upload)
        except LeaseLost:
            return Sent(SendResult.UNKNOWN, None, "the lease ended while sending")
        finally:
            # Closing comes before the guard is left: no byte may follow.
            answer.cancel()
            client.close()
            if guarded:
                self._guard.leave()

    async def _hold_guard(
        self, answer: "asyncio.Future[HTTPResponse | str]", upload: _Upload
    ) -> None:
        """Keep the guard armed until the kernel has the whole order."""
        sent = asyncio.ensure_future(upload.done.wait())
        try:
            while not (answer.done() or upload.done.is_set()):
                await asyncio.wait(
                    {answer, sent},
                    timeout=EXTEND_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                self._guard.extend()
        finally:
            sent.cancel()


async def _fetch(
    client: CurlAsyncHTTPClient, address: str, body: bytes, upload: _Upload
) -> HTTPResponse | str:
    """Return the answer, or what went wrong."""
    request = HTTPRequest(
        f"http://{address}/wigeonspan/order",
        method="POST",
        headers={"Content-Type": JSON_TYPE, "Expect": ""},
        body=body,
        connect_timeout=CONNECT_TIMEOUT_S,
        request_timeout=ANSWER_TIMEOUT_S,
        prepare_curl_callback=upload.watch,
    )
    try:
        return await client.fetch(request, raise_error=False)
    except (OSError, HTTPClientError) as error:
        if isinstance(error, CurlError) and error.errno == pycurl.E_COULDNT_CONNECT:
            upload.may_have_sent = False
        return str(error)


def _interpret(answer: HTTPResponse | str, upload: _Upload) -> Sent:
    if isinstance(answer, str):
        result = SendResult.UNKNOWN if upload.may_have_sent else SendResult.NOT_SENT
        return Sent(result, None, answer)
    try:
        if answer.code == 200:
            state: EngineState = decode(answer.body, EngineState)
            return Sent(SendResult.ANSWERED, state)
        if answer.code == 409:
            refusal: Any = decode(answer.body, _Refusal)
            return Sent(SendResult.REFUSED, None, refusal.error)
    except WigeonspanError as error:
        return Sent(SendResult.UNKNOWN, None, f"status {answer.code}: {error.message}")
    return Sent(SendResult.UNKNOWN, None, f"status {answer.code}")
