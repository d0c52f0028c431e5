"""Tests of engines whose responses never end, over loopback."""

import asyncio
import contextlib
import tracemalloc

import pytest

from tests.endless import endless_server
from wigeonspan.common import SystemClock
from wigeonspan.engines import _client as client
from wigeonspan.engines._client import EngineStream
from wigeonspan.engines._connections import TargetConnections

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKS = OK + b"Transfer-Encoding: chunked\r\n\r\n"
MAX_EXTRA_BYTES = 24 * 1024 * 1024

ENDLESS = {
    "fields": (OK, b"X-More: 1\r\n" * 1000),
    "field": (OK + b"X-More: ", b"a" * 16384),
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 500),
    "body by length": (OK + b"Content-Length: 999999999999\r\n\r\n", b"x" * 16384),
    "body by chunks": (CHUNKS, b"4000\r\n" + b"x" * 16384 + b"\r\n"),
    "body by close": (OK + b"\r\n", b"x" * 16384),
    "trailers": (CHUNKS + b"0\r\n", b"X-More: 1\r\n" * 1000),
    "chunk size": (CHUNKS + b"1;a=", b"a" * 16384),
}


@contextlib.asynccontextmanager
async def endless_engine(first, again):
    """Yield connections and the address of an engine that never stops sending."""
    connections = TargetConnections(40, 1 << 22, 1.0, SystemClock())
    async with endless_server(first, again) as address:
        yield connections, address
    connections.close()


@pytest.mark.parametrize("name", ENDLESS)
def test_endless_response_fails(name):
    """Guards against memory that grows with twenty endless responses."""

    async def run():
        async with endless_engine(*ENDLESS[name]) as (connections, address):
            tracemalloc.start()
            exchanges = [
                connections.open(address, "GET", "/", timeout_s=1.0) for _ in range(20)
            ]
            async with asyncio.timeout(15):
                ends = [await exchange.ended for exchange in exchanges]
            _, peak = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            return ends, peak

    ends, peak = asyncio.run(run())
    assert all(end.status == 0 and not end.sent_nothing for end in ends)
    assert peak < MAX_EXTRA_BYTES


class Listener:
    """Listener that releases its stream at the end marker, as an attempt does."""

    def __init__(self):
        self.stream = None
        self.fault = None

    def on_frame(self, frame):
        pass

    def on_comment(self):
        pass

    def on_end_marker(self):
        self.stream.release()

    def on_ended(self, fault, status, message):
        self.fault = fault


@pytest.mark.parametrize("again", [b": x\n\n", b"data: ", b"y"])
def test_released_connection_is_closed_when_its_response_does_not_end(
    again, monkeypatch
):
    """Guards against reading a released connection forever.

    This happens when an engine continues to send after the end marker.
    """
    monkeypatch.setattr(client, "RELEASE_TIMEOUT_S", 0.2)
    first = OK + b"\r\ndata: [DONE]\n\n"

    async def run():
        async with endless_engine(first, again * 100) as (connections, address):
            listener = Listener()
            listener.stream = EngineStream(connections, address, b"{}", listener)
            async with asyncio.timeout(5):
                await listener.stream._exchange.ended

    asyncio.run(run())


def test_endless_event_is_garbage():
    """Guards against an incomplete event of unlimited size that fills the memory."""

    async def run():
        async with endless_engine(OK + b"\r\ndata: ", b"x" * 16384) as (conns, address):
            listener = Listener()
            listener.stream = EngineStream(conns, address, b"{}", listener)
            async with asyncio.timeout(5):
                while listener.fault is None:
                    await asyncio.sleep(0.01)
            listener.stream.close()
            return listener.fault

    assert asyncio.run(run()).value == "garbage"
