"""Endless and oversized responses, over loopback."""

import asyncio
import contextlib
import tracemalloc

import pytest

from tests.endless import endless_server
from tests.loopback import loopback_server
from wigeonspan.common import SystemClock
from wigeonspan.pool import (
    ConnectionPool,
    ExchangeError,
    FailureKind,
    ResponseLimit,
    encode_request,
)
from wigeonspan.pool._bounds import BufferBudget

REQUEST = encode_request("GET", "/x", [("Host", "h"), ("Request-Id", "1")])
OK = b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n"
LATE = b"HTTP/1.1 200 OK\r\nRequest-Id: 0\r\nContent-Length: 1000\r\n\r\n"
MAX_EXTRA_BYTES = 24 * 1024 * 1024

ENDLESS = {
    "fields": (OK, b"X-More: 1\r\n" * 1000, ResponseLimit.FIELDS),
    "field": (OK + b"X-More: ", b"a" * 16384, ResponseLimit.HEAD),
    "status line": (b"HTTP/1.1 200 ", b"a" * 16384, ResponseLimit.HEAD),
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 500, ResponseLimit.INTERIM),
    "late responses": (b"", (LATE + b"x" * 1000) * 10, ResponseLimit.SKIPPED),
    "late body": (
        LATE.replace(b"1000", b"9" * 12),
        b"x" * 16384,
        ResponseLimit.SKIPPED,
    ),
    "body by length": (
        OK + b"Content-Length: 999999999999\r\n\r\n",
        b"x" * 16384,
        ResponseLimit.BODY,
    ),
    "body by chunks": (
        OK + b"Transfer-Encoding: chunked\r\n\r\n",
        b"400\r\n" + b"x" * 1024 + b"\r\n",
        ResponseLimit.BODY,
    ),
    "body by single bytes": (
        OK + b"Transfer-Encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n" * 2000,
        ResponseLimit.BODY,
    ),
    "body by close": (OK + b"\r\n", b"x" * 16384, ResponseLimit.BODY),
    "chunk size": (
        OK + b"Transfer-Encoding: chunked\r\n\r\n1;a=",
        b"a" * 16384,
        ResponseLimit.HEAD,
    ),
    "trailers": (
        OK + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-More: 1\r\n" * 1000,
        ResponseLimit.FIELDS,
    ),
}


async def fetch(pool, address):
    try:
        return await pool.fetch(address, REQUEST, 10.0)
    except ExchangeError as failure:
        return failure


async def send(pool, address):
    """Send a request that accepts only responses with its id, and read the body."""
    exchange = await pool.send(
        address, REQUEST, accepts=lambda head: head.get("Request-Id") in (None, "1")
    )
    try:
        async with asyncio.timeout(10):
            await exchange.head()
            return await exchange.read_all()
    except ExchangeError as failure:
        return failure
    finally:
        pool.release(address, exchange)


@pytest.mark.parametrize("name", ENDLESS)
def test_endless_response_fails_the_exchange(name):
    """A target that sent endless header fields made a process run out of memory."""
    first, again, limit = ENDLESS[name]

    async def run():
        pool = ConnectionPool(SystemClock())
        async with endless_server(first, again) as address:
            failure = await send(pool, address)
        assert pool.buffered_bytes == 0
        return failure

    failure = asyncio.run(run())
    assert (failure.kind, failure.limit) == (FailureKind.OVERSIZED, limit)
    assert failure.sent


@pytest.mark.parametrize("name", ["fields", "field", "interim", "body by chunks"])
def test_endless_responses_leave_memory_for_other_requests(name):
    """Twenty endless responses must not use more memory than the shared budget.

    Requests to another target must succeed meanwhile.
    """
    first, again, _ = ENDLESS[name]
    complete = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nRequest-Id: 1\r\n\r\nok"

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(complete)

    async def run():
        pool = ConnectionPool(SystemClock())
        async with (
            loopback_server(serve) as healthy_address,
            endless_server(first, again) as address,
        ):
            await fetch(pool, healthy_address)
            tracemalloc.start()
            endless_fetches = [
                asyncio.create_task(fetch(pool, address)) for _ in range(20)
            ]
            responses = [await fetch(pool, healthy_address) for _ in range(50)]
            failures = await asyncio.gather(*endless_fetches)
            _, peak = tracemalloc.get_traced_memory()
            tracemalloc.stop()
        pool.close()
        return responses, failures, peak

    responses, failures, peak = asyncio.run(run())
    assert all(body == b"ok" for _, body in responses)
    assert {failure.kind for failure in failures} == {FailureKind.OVERSIZED}
    assert peak < MAX_EXTRA_BYTES


class BufferOwner:
    def __init__(self, budget):
        self.budget = budget
        self.limit = None

    def discard_and_fail(self, limit):
        self.limit = limit
        self.budget.set_buffered(self, 0)


def test_largest_buffer_is_discarded_when_the_budget_is_exceeded():
    """Endless responses must not make exchanges with small buffers fail."""
    budget = BufferBudget(100)
    small, large, late = (BufferOwner(budget) for _ in range(3))
    budget.set_buffered(small, 20)
    budget.set_buffered(large, 70)
    budget.set_buffered(late, 30)
    assert (small.limit, large.limit, late.limit) == (None, ResponseLimit.BUFFERS, None)
    assert budget.total == 50


def test_discarded_body_is_not_returned_as_complete():
    """A complete response may lose unread bytes to the buffer budget.

    Reading it must then fail instead of returning a truncated body.
    """
    complete = OK + b"Content-Length: 2\r\n\r\nok"

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(complete)

    async def run():
        pool = ConnectionPool(SystemClock())
        async with loopback_server(serve) as address:
            exchange = await pool.send(address, REQUEST)
            while not exchange.done:
                await asyncio.sleep(0.01)
            exchange.discard_and_fail(ResponseLimit.BUFFERS)
            with pytest.raises(ExchangeError):
                await exchange.read()

    asyncio.run(run())


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 5\r\n\r\nhello",
        b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    ],
)
def test_response_truncated_at_any_byte_is_a_failure(framing):
    """A truncated response was passed to a caller as a complete one."""
    complete = OK + framing

    async def run():
        sizes = iter(range(1, len(complete)))

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(complete[: next(sizes)])
            writer.close()

        pool = ConnectionPool(SystemClock())
        async with loopback_server(serve) as address:
            results = [await fetch(pool, address) for _ in range(1, len(complete))]
        return results

    results = asyncio.run(run())
    assert all(isinstance(result, ExchangeError) for result in results)


@pytest.mark.parametrize("split", [None, "packet", "reused"])
def test_second_copy_of_a_response_reaches_no_caller(split):
    """A late copy of a response on a reused connection went to the next caller."""

    def make_response(number):
        return b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nRequest-Id: %d\r\n\r\n%d" % (
            number,
            number,
        )

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            last = None
            while request := await reader.readuntil(b"\r\n\r\n"):
                number = int(request.partition(b"Request-Id: ")[2].split()[0])
                if split == "reused" and last is not None:
                    # The copy arrives after the connection was reused.
                    writer.write(make_response(last))
                    await writer.drain()
                    await asyncio.sleep(0.02)
                writer.write(make_response(number) * (2 if split is None else 1))
                if split == "packet":
                    await writer.drain()
                    await asyncio.sleep(0.005)
                    writer.write(make_response(number))
                last = number

    async def run():
        pool, bodies = ConnectionPool(SystemClock()), []
        async with loopback_server(serve) as address:
            for number in range(1, 9):
                fields = [("Host", "h"), ("Request-Id", str(number))]
                exchange = await pool.send(
                    address,
                    encode_request("GET", "/x", fields),
                    accepts=lambda head, n=number: head.get("Request-Id") == str(n),
                )
                async with asyncio.timeout(2):
                    await exchange.head()
                    bodies.append(await exchange.read_all())
                pool.release(address, exchange)
                await asyncio.sleep(0.02 if split == "packet" else 0)
        pool.close()
        return bodies

    assert asyncio.run(run()) == [b"%d" % n for n in range(1, 9)]


def test_request_without_an_id_can_use_its_own_connection():
    """A late copy of a report was taken for the response to an order.

    Without an id the two cannot be distinguished, so such requests need a connection
    of their own.
    """
    counts = []

    async def serve(reader, writer):
        counts.append(0)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while await reader.readuntil(b"\r\n\r\n"):
                counts[-1] += 1
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    async def run():
        pool = ConnectionPool(SystemClock())
        async with loopback_server(serve) as address:
            for _ in range(3):
                await pool.fetch(address, REQUEST, 2.0, new_connection=True)

    asyncio.run(run())
    assert counts == [1, 1, 1]
