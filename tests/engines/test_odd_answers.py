"""Answers of targets that have no status or end early, over loopback."""

import asyncio
import contextlib
import random

import pytest

from tests.engines.test_client import Listener
from tests.loopback import loopback_server
from tests.status_lines import BODIES, NO_STATUS_LINES
from wigeonspan.calls.tasks import SendResult
from wigeonspan.catalog import PlainService, PlainTarget
from wigeonspan.common import NoMetrics, SystemClock
from wigeonspan.engines._client import EngineStream
from wigeonspan.engines._connections import TargetConnections
from wigeonspan.entryd._budget import RetryBudget
from wigeonspan.entryd._limits import TargetLimits
from wigeonspan.entryd._plain import PlainCall, PlainRelay
from wigeonspan.streams import StreamFault


async def answer_and_close(data, use):
    """Answer each request with the same bytes and close; return what ``use`` does."""

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(data)
            await writer.drain()
        writer.close()

    connections = TargetConnections(4, 1 << 20, 1.0, SystemClock())
    try:
        async with loopback_server(serve) as address:
            return await use(connections, address)
    finally:
        connections.close()


def fetch(data):
    """Return the end of an exchange whose target answers with some bytes."""

    async def use(connections, address):
        return await connections.open(address, "GET", "/", timeout_s=2.0).ended

    return asyncio.run(answer_and_close(data, use))


def stream(data):
    """Return the fault that the listener of a stream gets."""

    async def use(connections, address):
        listener = Listener()
        EngineStream(connections, address, b"{}", listener)
        async with asyncio.timeout(2):
            await listener.ended.wait()
        return listener.fault

    return asyncio.run(answer_and_close(data, use))


@pytest.mark.parametrize("body", BODIES.values(), ids=BODIES)
@pytest.mark.parametrize(
    "line", [*NO_STATUS_LINES, b"HTTP/1.1 101 X", b"HTTP/1.1\t200 OK"]
)
def test_answer_without_a_status_is_no_answer(line, body):
    """Statuses of 600 and more were passed on, and 101 with what followed it."""
    end = fetch(line + b"\r\n" + body)
    assert end.status == 0 and end.body == b"" and end.message
    assert not end.sent_nothing


def test_message_names_the_status_line_that_was_refused():
    """The client's own words name a failed write and the size of an integer."""
    end = fetch(b"HTTP/1.1 600 " + b"X" * 200 + b"\r\nContent-Length: 0\r\n\r\n")
    assert end.message.startswith("no status line of HTTP/1: b'HTTP/1.1 600 XX")
    assert len(end.message) < 100


@pytest.mark.parametrize("status", [200, 299, 304, 404, 500, 598, 599])
def test_each_status_of_http_is_passed_on(status):
    """An answer of 599 was reported as a request of which nothing was sent.

    Calls that must not be repeated were sent to another target after it. The client
    uses this status for its own errors.
    """
    head = b"HTTP/1.1 %d\r\nContent-Length: 0\r\nRetry-After: 3\r\n\r\n" % status
    end = fetch(head)
    assert end.status == status and end.headers["Retry-After"] == "3"


@pytest.mark.parametrize(
    "before", [b"", b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n"]
)
def test_answer_with_interim_heads_and_trailers_is_passed_on(before):
    """The check of each line must know where the final head begins and ends."""
    chunked = b"HTTP/1.0 200 OK\r\nX-A: b\r\n\r\nok"
    assert fetch(before + chunked).body == b"ok"
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    end = fetch(before + head + b"2\r\nok\r\n0\r\nX-Last: 1\r\n\r\n")
    assert (end.status, end.body) == (200, b"ok")


HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
CUT_HEADS = {
    "after the status": b"HTTP/1.1 200 OK\r\n",
    "without content": b"HTTP/1.1 204 No Content\r\n",
    "refusal": b"HTTP/1.1 503 Busy\r\nRetry-After: 3\r\n",
    "in a field": HEAD[:30],
    "after the fields": HEAD,
    "of HTTP/1.0": HEAD.replace(b"/1.1", b"/1.0"),
    "of 599": HEAD.replace(b"200 OK", b"599 X"),
    "after an interim head": INTERIM + HEAD,
    "interim only": INTERIM,
    "in an interim head": INTERIM[:-2],
    "in the status": HEAD[:11],
}


@pytest.mark.parametrize("head", CUT_HEADS.values(), ids=CUT_HEADS)
def test_answer_that_ends_in_its_head_is_no_answer(head):
    """A target was closed inside of its head, and the caller got an empty 200."""
    end = fetch(head)
    assert end.status == 0 and end.message
    assert not end.sent_nothing


@pytest.mark.parametrize("head", [b"", *CUT_HEADS.values()], ids=["none", *CUT_HEADS])
def test_stream_that_ends_in_its_head_is_truncated(head):
    """The work was taken for refused by a status of which only a part had come."""
    assert stream(head) is StreamFault.TRUNCATED


@pytest.mark.parametrize("line", [b"HTTP/1.1 000 X", b"HTTP/1.1 600 X"])
def test_stream_without_a_status_is_truncated(line):
    """The engine may have run the prompt, whatever the digits are."""
    assert stream(line + b"\r\n" + BODIES["length"]) is StreamFault.TRUNCATED


@pytest.mark.parametrize("length", [2, 400])
def test_call_answered_with_599_is_not_sent_again(length):
    """A booking ran at two targets, since the first one had answered with 599."""

    async def use(connections, address):
        clock, name = SystemClock(), "bookings"
        relay = PlainRelay(
            connections,
            clock,
            random.Random(1),
            "d",
            RetryBudget(0.1),
            TargetLimits(clock, NoMetrics()),
        )
        service = PlainService(name, (PlainTarget(address, "d"),), ("POST /b",))
        relay.update_services([service])
        deadline = clock.now() + 2.0
        call = PlainCall(service, "POST", "/b", {}, b"x", deadline)
        return (await relay.send_once(call)).result

    head = b"HTTP/1.1 599 X\r\nContent-Length: %d\r\n\r\nok" % length
    result = asyncio.run(answer_and_close(head, use))
    assert result is (SendResult.ANSWERED if length == 2 else SendResult.UNKNOWN)
