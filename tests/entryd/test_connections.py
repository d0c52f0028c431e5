"""Tests of unresponsive connections, slow readers and callers that disconnect."""

import asyncio
import json
import socket

import pytest
from msgspec import structs
from tornado.iostream import StreamClosedError
from tornado.tcpserver import TCPServer

from standins._text import answer_text
from standins.engine import EngineFaults, EngineSettings
from tests.entryd.harness import FAST_RELAY, SETTINGS, EntryTestbed, run, text_of


class Forwarder(TCPServer):
    """Proxy whose open connections can be made unresponsive; new ones still work."""

    def __init__(self, port):
        super().__init__()
        self._port = port
        self._forwarding = []
        self.accepted = 0

    def listen_anywhere(self):
        self.listen(0, "127.0.0.1")
        return list(self._sockets.values())[0].getsockname()[1]

    async def handle_stream(self, stream, address):
        self.accepted += 1
        target = socket.create_connection(("127.0.0.1", self._port))
        target.setblocking(False)
        other = type(stream)(target)
        self._forwarding += [
            asyncio.create_task(self._copy(stream, other)),
            asyncio.create_task(self._copy(other, stream)),
        ]
        await asyncio.wait(self._forwarding[-2:])

    async def _copy(self, source, sink):
        try:
            while True:
                await sink.write(await source.read_bytes(65_536, partial=True))
        except StreamClosedError:
            source.close()
            sink.close()

    def silence(self):
        """Stop forwarding on the open connections, and keep them open."""
        for task in self._forwarding:
            task.cancel()
        self._forwarding.clear()


def _with_relay(**values):
    return structs.replace(SETTINGS, relay=structs.replace(FAST_RELAY, **values))


async def _insert_forwarders(forwarders, testbed):
    for engine in testbed.engines:
        forwarder = Forwarder(engine.port)
        forwarders.append(forwarder)
        engine.port = forwarder.listen_anywhere()
    testbed.sync(version=2)


def test_dead_idle_connections_do_not_fail_requests():
    """Guards against a request that fails because idle pooled connections have died."""

    async def work():
        forwarders = []
        async with EntryTestbed() as testbed:
            await _insert_forwarders(forwarders, testbed)
            first = await testbed.complete()
            accepted = forwarders[0].accepted
            forwarders[0].silence()
            second = await testbed.complete()
            third = await testbed.complete()
            stale = testbed.metrics.counts["attempt_faults.silent"]
            for forwarder in forwarders:
                forwarder.stop()
            return [first, second, third], accepted, forwarders[0].accepted, stale

    responses, before, after, stale = run(work)
    for response in responses:
        assert text_of(response) == answer_text("plate 7 is", 8)
    assert after > before and stale == 1


def test_stream_continues_when_its_connection_stops_transferring():
    """Guards against a stream that hangs on a connection that transfers no data."""

    async def work():
        forwarders = []
        engine = EngineSettings(token_interval_s=0.01)
        async with EntryTestbed(engines=2, engine=engine) as testbed:
            await _insert_forwarders(forwarders, testbed)
            stream = asyncio.create_task(testbed.complete(max_tokens=40))
            while not any(e.batch.running for e in testbed.engines):
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            for forwarder in forwarders:
                forwarder.silence()
            response = await stream
            for forwarder in forwarders:
                forwarder.stop()
            return response

    assert text_of(run(work)) == answer_text("plate 7 is", 40)


async def open_stream(testbed, max_tokens, receive_buffer=None, stream=True):
    """Send a completion request over a raw socket and return the socket."""
    connection = socket.socket()
    if receive_buffer:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    host, port = testbed.daemon.address.split(":")
    await loop.sock_connect(connection, (host, int(port)))
    body = json.dumps(
        {
            "model": "note",
            "prompt": "plate 7 is",
            "max_tokens": max_tokens,
            "stream": stream,
        }
    )
    head = (
        "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n"
        "X-Deadline-Ms: 3600000\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    await loop.sock_sendall(connection, (head + body).encode())
    return connection


@pytest.mark.parametrize(("stream", "received"), [(0, 0), (1, 0), (1, 1)])
def test_disconnected_caller_cancels_the_engine_attempt(stream, received):
    """Guards against engines that produce tokens for callers that have disconnected."""

    async def work():
        async with EntryTestbed() as testbed:
            connection = await open_stream(testbed, 5000, stream=bool(stream))
            while not testbed.engines[0].batch.runs:
                await asyncio.sleep(0.01)
            if received:
                await asyncio.get_running_loop().sock_recv(connection, 200)
            connection.close()
            while testbed.engines[0].batch.runs or testbed.daemon.entry.in_flight:
                await asyncio.sleep(0.01)
            return testbed.daemon.entry._context.router.in_flight()

    assert run(work) == {}


def test_slow_reader_pauses_the_attempt_and_gets_the_complete_response():
    """Guards against tokens for a slow reader that fill the memory of the entry."""
    tokens = 6000

    async def work():
        settings = _with_relay(buffer_bytes=20_000, slow_reader_s=20.0)
        engine = EngineSettings(token_interval_s=0.0, decode_tokens_per_s=50_000.0)
        async with EntryTestbed(settings=settings, engine=engine) as testbed:
            loop = asyncio.get_running_loop()
            connection = await open_stream(testbed, tokens, receive_buffer=4096)
            standin = testbed.engines[0]
            while standin.completions < 1 or standin.batch.runs:
                await asyncio.sleep(0.01)
            paused_at = standin.completions
            data = b""
            while block := await loop.sock_recv(connection, 65_536):
                data += block
            connection.close()
            return paused_at, standin.completions, data

    paused_at, completions, data = run(work)
    assert paused_at == 1 and completions > 1
    texts = [
        json.loads(line[6:])["choices"][0]["text"]
        for line in data.decode().splitlines()
        if line.startswith("data: {")
    ]
    assert "".join(texts) == answer_text("plate 7 is", tokens)
    assert "data: [DONE]" in data.decode()


def test_reader_that_reads_nothing_is_disconnected():
    """Guards against a request that never ends because its caller reads nothing."""

    async def work():
        settings = _with_relay(buffer_bytes=20_000, slow_reader_s=0.3)
        engine = EngineSettings(token_interval_s=0.0, decode_tokens_per_s=50_000.0)
        async with EntryTestbed(settings=settings, engine=engine) as testbed:
            connection = await open_stream(testbed, 20_000, receive_buffer=4096)
            while not testbed.metrics.counts["errors.slow_reader"]:
                await asyncio.sleep(0.01)
            while testbed.engines[0].batch.runs or testbed.daemon.entry.in_flight:
                await asyncio.sleep(0.01)
            connection.close()

    run(work)


def test_frozen_engine_connection_is_not_used_again():
    """Guards against a request that waits on an unresponsive idle connection."""

    async def work():
        async with EntryTestbed(engines=2) as testbed:
            responses = [await testbed.complete()]
            used = max(testbed.engines, key=lambda engine: engine.completions)
            used.set_faults(EngineFaults(frozen=True))
            responses += [await testbed.complete() for _ in range(6)]
            used.set_faults(EngineFaults())
            assert testbed.metrics.counts["attempt_faults.silent"]
            return responses

    for response in run(work):
        assert text_of(response) == answer_text("plate 7 is", 8)
