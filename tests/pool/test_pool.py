"""Exchanges with misbehaving targets, over loopback."""

import asyncio
import contextlib
import socket
import struct

import pytest

from tests.loopback import loopback_server
from wigeonspan.common import SystemClock
from wigeonspan.pool import (
    ConnectionPool,
    ExchangeError,
    FailureKind,
    encode_request,
)
from wigeonspan.pool._connection import MAX_REQUESTS

REQUEST = encode_request("GET", "/x", [("Host", "h"), ("Request-Id", "1")])
COMPLETE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nRequest-Id: 1\r\n\r\nok"


class Server:
    """Server that runs a scripted sequence of steps on each connection.

    A step is one or a list of: bytes to send after a request, ``None`` to close the
    connection, ``"reset"`` to reset it. The last script is used for all further
    connections.
    """

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.connections = 0
        self.requests = 0

    async def __aenter__(self):
        self._open = loopback_server(self._serve)
        self.address = await self._open.__aenter__()
        return self

    async def __aexit__(self, *error):
        await self._open.__aexit__(*error)

    async def _serve(self, reader, writer):
        script = self.scripts[min(self.connections, len(self.scripts) - 1)]
        self.connections += 1
        for step in script:
            with contextlib.suppress(asyncio.IncompleteReadError):
                await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            for part in step if isinstance(step, list) else [step]:
                if part is None:
                    writer.close()
                    return
                if part == "reset":
                    # With a linger time of 0 a close sends a reset.
                    sock = writer.get_extra_info("socket")
                    linger = struct.pack("ii", 1, 0)
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    writer.transport.abort()
                    return
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0.01)


async def exchange(pool, address, **options):
    sent = await pool.send(address, REQUEST, **options)
    try:
        async with asyncio.timeout(2):
            head = await sent.head()
            return head, await sent.read_all()
    finally:
        pool.release(address, sent)


def run_script(scripts, *, times=1, pause_s=0.0, **options):
    """Run exchanges against a scripted server; return their results and the server."""

    async def run():
        pool, results = ConnectionPool(SystemClock()), []
        async with Server(*scripts) as server:
            for _ in range(times):
                try:
                    head, body = await exchange(pool, server.address, **options)
                    results.append((head.status, body))
                except ExchangeError as failure:
                    results.append(failure)
                await asyncio.sleep(pause_s)
            pool.close()
        return results, server

    return asyncio.run(run())


def test_idle_connection_is_reused():
    """Each new connection costs a target a millisecond, so idle ones are reused."""
    results, server = run_script([[COMPLETE, COMPLETE]], times=2)
    assert results == [(200, b"ok")] * 2
    assert server.connections == 1


def test_fresh_request_opens_a_new_connection():
    """A non-idempotent call must not use an idle connection.

    The target may close it while the request is on its way, which leaves the outcome
    unknown.
    """
    _, server = run_script([[COMPLETE], [COMPLETE]], times=2, new_connection=True)
    assert server.connections == 2


@pytest.mark.parametrize(
    "step",
    [
        [COMPLETE + COMPLETE],
        [COMPLETE, b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"],
        [COMPLETE + b"junk"],
        [COMPLETE.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")],
    ],
)
def test_extra_bytes_after_a_response_close_the_connection(step):
    """Bytes of an extra response were passed to the caller of the next request."""
    results, server = run_script([[step], [COMPLETE]], times=2, pause_s=0.05)
    assert results[1] == (200, b"ok")
    assert server.connections == 2


def test_late_response_to_an_earlier_request_is_skipped():
    """A late response to an earlier request may arrive before the expected one."""
    late = COMPLETE.replace(b"Request-Id: 1", b"Request-Id: 0").replace(b"ok", b"no")
    results, _ = run_script(
        [[[late, COMPLETE]]], accepts=lambda head: head.get("Request-Id") == "1"
    )
    assert results == [(200, b"ok")]


def test_connection_with_a_late_response_is_not_used_again():
    """A target that sends copies of its responses may send the next one without an id.

    Such a copy cannot be told from the response to a later request.
    """
    late = COMPLETE.replace(b"Request-Id: 1", b"Request-Id: 0")
    _, server = run_script(
        [[[late, COMPLETE]], [COMPLETE]],
        times=2,
        accepts=lambda head: head.get("Request-Id") == "1",
    )
    assert server.connections == 2


def test_requests_with_the_same_id_use_different_connections():
    """A copy of the response to the first of two such requests answered the second."""
    results, server = run_script(
        [[COMPLETE, COMPLETE]], times=3, request_id="1", pause_s=0.01
    )
    assert results == [(200, b"ok")] * 3
    assert server.connections == 3


def test_request_with_another_id_uses_the_idle_connection():
    """Connections that a request must not use stay open for the others."""

    async def run():
        pool = ConnectionPool(SystemClock())
        async with Server([COMPLETE] * 3) as server:
            for request_id in ("1", "1", "2", "2"):
                await exchange(pool, server.address, request_id=request_id)
            pool.close()
        return server.connections

    assert asyncio.run(run()) == 2


def test_connection_carries_a_limited_number_of_requests():
    """The ids of all requests on a connection in constant use would fill memory."""

    async def run():
        pool = ConnectionPool(SystemClock())
        async with Server([COMPLETE] * (MAX_REQUESTS + 1)) as server:
            for number in range(MAX_REQUESTS + 1):
                await exchange(pool, server.address, request_id=str(number))
            pool.close()
        return server.connections

    assert asyncio.run(run()) == 2


def test_connection_is_used_again_only_after_responses_that_allow_it():
    """A copy of a refusal on a kept connection answered the request after it."""
    refusal = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
    results, server = run_script(
        [[COMPLETE, refusal], [COMPLETE]],
        times=3,
        keeps_connection=lambda head: head.status < 500,
    )
    assert results == [(200, b"ok"), (503, b""), (200, b"ok")]
    assert server.connections == 2


@pytest.mark.parametrize(
    ("step", "kind"),
    [
        ([COMPLETE[:-1], None], FailureKind.CLOSED),
        ([COMPLETE[:20], None], FailureKind.CLOSED),
        ([None], FailureKind.CLOSED),
        ([COMPLETE[:-1], "reset"], FailureKind.RESET),
        ([b"nonsense\r\n\r\n"], FailureKind.MALFORMED),
        (
            [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", None],
            FailureKind.CLOSED,
        ),
    ],
)
def test_incomplete_response_is_a_failure_of_a_sent_request(step, kind):
    """A truncated or malformed response must fail, and its request counts as sent."""
    results, server = run_script([[step]])
    assert isinstance(results[0], ExchangeError)
    assert (results[0].kind, results[0].sent) == (kind, True)
    assert server.requests == 1


def test_request_is_sent_once_when_a_reused_connection_closes():
    """curl retries a request by itself when a reused connection was closed."""
    results, server = run_script([[COMPLETE, None], [COMPLETE]], times=2)
    assert isinstance(results[1], ExchangeError)
    assert server.connections == 1


def test_response_without_a_length_ends_when_its_connection_closes():
    """A response without a length is complete when the connection closes cleanly."""
    results, _ = run_script([[[b"HTTP/1.1 200 OK\r\n\r\nwhole", None]]])
    assert results == [(200, b"whole")]


def test_response_without_a_length_is_incomplete_after_a_reset():
    """A reset may have truncated a response without a length."""
    results, _ = run_script([[[b"HTTP/1.1 200 OK\r\n\r\npart", "reset"]]])
    assert isinstance(results[0], ExchangeError)


def test_interim_response_is_skipped():
    """A response with a status below 200 is not the final response."""
    results, _ = run_script([[[b"HTTP/1.1 102 Processing\r\n\r\n", COMPLETE]]])
    assert results == [(200, b"ok")]


def test_refused_connection_has_sent_nothing():
    """A non-idempotent call may try another target only when nothing was sent."""

    async def run():
        async with Server([COMPLETE]) as server:
            address = server.address
        pool = ConnectionPool(SystemClock())
        with pytest.raises(ExchangeError) as caught:
            await pool.send(address, REQUEST)
        return caught.value

    failure = asyncio.run(run())
    assert failure.sent is False


def test_advertised_idle_timeout_is_respected():
    """A target closes an idle connection after the idle timeout it advertised."""
    expired = COMPLETE.replace(b"\r\n\r\n", b"\r\nKeep-Alive: timeout=0\r\n\r\n")
    _, server = run_script([[expired], [COMPLETE]], times=2)
    assert server.connections == 2


def test_aborted_exchange_closes_its_connection():
    """A target continues to process a request while its connection is open."""

    async def run():
        pool = ConnectionPool(SystemClock())
        async with Server(
            [[b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"]]
        ) as server:
            sent = await pool.send(server.address, REQUEST)
            await sent.head()
            sent.abort()
            pool.release(server.address, sent)
            with pytest.raises(ExchangeError):
                await sent.read_all()

    asyncio.run(run())


def test_request_is_withheld_when_may_send_returns_false():
    """The permission to send may end while the connection is being established."""
    received = []

    async def serve(reader, writer):
        received.append(await reader.read())
        writer.close()

    async def run():
        pool = ConnectionPool(SystemClock())
        async with loopback_server(serve) as address:
            with pytest.raises(ExchangeError) as failed:
                await pool.fetch(address, REQUEST, 2.0, may_send=lambda: False)
            await asyncio.sleep(0.05)
        return failed.value

    failure = asyncio.run(run())
    assert (failure.kind, failure.sent) == (FailureKind.WITHHELD, False)
    assert received in ([], [b""])


@pytest.mark.parametrize(
    "address",
    ["127.0.0.1:99999", "127.0.0.1:0", "127.0.0.1:+80", "127.0.0.1:x", "a\0b:80"],
)
def test_address_without_a_usable_port_is_a_failed_connection(address):
    """A port of 99999 raised ``OverflowError``, which no caller of the pool expects."""

    async def run():
        with pytest.raises(ExchangeError) as caught:
            await ConnectionPool(SystemClock()).send(address, REQUEST)
        return caught.value

    failure = asyncio.run(run())
    assert (failure.kind, failure.sent) == (FailureKind.CONNECT, False)


@pytest.mark.parametrize("timeout", [b"\xb2", b"\xd9\xa3", b"9" * 400, b"", b"x"])
def test_odd_idle_timeout_does_not_cost_the_response(timeout):
    """Some characters are digits that ``float`` refuses; the answer was lost."""
    field = b"\r\nKeep-Alive: timeout=" + timeout + b"\r\n\r\n"
    step = COMPLETE.replace(b"\r\n\r\n", field)
    results, server = run_script([[step, step], [step]], times=2)
    assert results == [(200, b"ok")] * 2
    assert server.connections == 1


@pytest.mark.parametrize(
    "fields", ["Content-Length: 2", "Transfer-Encoding: chunked", "X: y"]
)
def test_response_to_head_ends_with_its_head(fields):
    """The body that such a head announces was waited for until the time was over."""

    async def run():
        head = f"HTTP/1.1 200 OK\r\n{fields}\r\n\r\n".encode()
        async with Server([head], [COMPLETE]) as server:
            pool = ConnectionPool(SystemClock())
            request = encode_request("HEAD", "/x", [("Host", "h")])
            received, body = await pool.fetch(server.address, request, 2.0)
            later, later_body = await exchange(pool, server.address)
            pool.close()
        return received.status, body, later.status, later_body

    assert asyncio.run(run()) == (200, b"", 200, b"ok")
