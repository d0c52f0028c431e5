"""Tests of connections that go silent, slow readers and callers that go away."""

import asyncio
import json
import socket

import pytest
from msgspec import structs
from tornado.iostream import StreamClosedError
from tornado.tcpserver import TCPServer

from standins._text import answer_text
from standins.engine import EngineFaults, EngineSettings
from tests.entryd.harness import FAST, SETTINGS, World, run, text_of


class Forwarder(TCPServer):
    """Forwards connections until they are silenced; new ones work."""

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
    return structs.replace(SETTINGS, relay=structs.replace(FAST, **values))


async def _world_behind(forwarders, world):
    for engine in world.engines:
        forwarder = Forwarder(engine.port)
        forwarders.append(forwarder)
        engine.port = forwarder.listen_anywhere()
    world.sync(version=2)


def test_dead_idle_connections_do_not_fail_requests():
    """Pooled connections that died while idle cost a request on the only engine."""

    async def work():
        forwarders = []
        async with World() as world:
            await _world_behind(forwarders, world)
            first = await world.complete()
            accepted = forwarders[0].accepted
            forwarders[0].silence()
            second = await world.complete()
            third = await world.complete()
            stale = world.metrics.counts["attempt_faults.silent"]
            for forwarder in forwarders:
                forwarder.stop()
            return [first, second, third], accepted, forwarders[0].accepted, stale

    responses, before, after, stale = run(work)
    for response in responses:
        assert text_of(response) == answer_text("plate 7 is", 8)
    assert after > before and stale == 1


def test_stream_continues_when_its_connection_goes_silent():
    """A connection that something between the ends lost track of hung its stream."""

    async def work():
        forwarders = []
        engine = EngineSettings(token_interval_s=0.01)
        async with World(engines=2, engine=engine) as world:
            await _world_behind(forwarders, world)
            stream = asyncio.create_task(world.complete(max_tokens=40))
            while not any(e.batch.running for e in world.engines):
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            for forwarder in forwarders:
                forwarder.silence()
            response = await stream
            for forwarder in forwarders:
                forwarder.stop()
            return response

    assert text_of(run(work)) == answer_text("plate 7 is", 40)


async def _open_stream(world, max_tokens, receive_buffer=None, stream=True):
    """Send a streaming request over a raw socket and return the socket."""
    connection = socket.socket()
    if receive_buffer:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    host, port = world.daemon.address.split(":")
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
def test_closed_caller_cancels_the_engine_attempt(stream, received):
    """Engines went on producing tokens for callers that had gone."""

    async def work():
        async with World() as world:
            connection = await _open_stream(world, 5000, stream=bool(stream))
            while not world.engines[0].batch.runs:
                await asyncio.sleep(0.01)
            if received:
                await asyncio.get_running_loop().sock_recv(connection, 200)
            connection.close()
            while world.engines[0].batch.runs or world.daemon.entry.in_flight:
                await asyncio.sleep(0.01)
            return world.daemon.entry._context.router.in_flight()

    assert run(work) == {}


def test_slow_reader_pauses_the_attempt_and_gets_the_whole_answer():
    """Tokens for a reader that paused filled the memory of the entry."""
    tokens = 6000

    async def work():
        settings = _with_relay(buffer_bytes=20_000, slow_reader_s=20.0)
        engine = EngineSettings(token_interval_s=0.0, decode_tokens_per_s=50_000.0)
        async with World(settings=settings, engine=engine) as world:
            loop = asyncio.get_running_loop()
            connection = await _open_stream(world, tokens, receive_buffer=4096)
            completions = world.engines[0]
            while completions.completions < 1 or completions.batch.runs:
                await asyncio.sleep(0.01)
            paused_at = completions.completions
            data = b""
            while block := await loop.sock_recv(connection, 65_536):
                data += block
            connection.close()
            return paused_at, completions.completions, data

    paused_at, completions, data = run(work)
    assert paused_at == 1 and completions > 1
    texts = [
        json.loads(line[6:])["choices"][0]["text"]
        for line in data.decode().splitlines()
        if line.startswith("data: {")
    ]
    assert "".join(texts) == answer_text("plate 7 is", tokens)
    assert "data: [DONE]" in data.decode()


def test_reader_that_takes_nothing_is_cut_off():
    """A reader that stopped for good held its request for ever."""

    async def work():
        settings = _with_relay(buffer_bytes=20_000, slow_reader_s=0.3)
        engine = EngineSettings(token_interval_s=0.0, decode_tokens_per_s=50_000.0)
        async with World(settings=settings, engine=engine) as world:
            connection = await _open_stream(world, 20_000, receive_buffer=4096)
            while not world.metrics.counts["errors.slow_reader"]:
                await asyncio.sleep(0.01)
            while world.engines[0].batch.runs or world.daemon.entry.in_flight:
                await asyncio.sleep(0.01)
            connection.close()

    run(work)


def test_frozen_engine_connection_is_not_used_again():
    """The next request waited on a connection that had gone silent."""

    async def work():
        async with World(engines=2) as world:
            responses = [await world.complete()]
            used = max(world.engines, key=lambda engine: engine.completions)
            used.set_faults(EngineFaults(frozen=True))
            responses += [await world.complete() for _ in range(6)]
            used.set_faults(EngineFaults())
            assert world.metrics.counts["attempt_faults.silent"]
            return responses

    for response in run(work):
        assert text_of(response) == answer_text("plate 7 is", 8)
