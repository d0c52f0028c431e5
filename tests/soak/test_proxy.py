"""Tests of the loopback proxies."""

import asyncio
import os

import pytest

from soak._proxy import Link

NET = f"127.{64 + os.getpid() % 128}"
PORT = 17190


async def echo(reader, writer):
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


async def run_with_connection(step):
    """Run a step with a link and a connection through it to an echo server."""
    server = await asyncio.start_server(echo, f"{NET}.32.2", PORT)
    link = Link("host", f"{NET}.32.1", f"{NET}.32.2")
    await link.forward(PORT)
    reader, writer = await asyncio.open_connection(f"{NET}.32.1", PORT)
    try:
        writer.write(b"before")
        assert await reader.readexactly(6) == b"before"
        await step(link, reader, writer)
    finally:
        writer.close()
        link.close()
        server.close()


async def is_silent(reader):
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.1):
            await reader.read(1)
    return True


def test_delay_holds_bytes_back():
    """Bytes are delayed in both directions."""

    async def step(link, reader, writer):
        link.state.delay_s = 0.1
        began = asyncio.get_running_loop().time()
        writer.write(b"x")
        assert await reader.readexactly(1) == b"x"
        assert asyncio.get_running_loop().time() - began >= 0.19

    asyncio.run(run_with_connection(step))


@pytest.mark.parametrize("direction", ["cut_in", "cut_out"])
def test_cut_drops_one_direction_without_a_close(direction):
    """A partition drops bytes and closes no connection.

    No bytes may follow dropped ones: a stream continued with a gap (seed 4207).
    """

    async def step(link, reader, writer):
        setattr(link.state, direction, True)
        writer.write(b"x")
        assert await is_silent(reader)
        setattr(link.state, direction, False)
        writer.write(b"y")
        assert await is_silent(reader)
        new_reader, new_writer = await asyncio.open_connection(f"{NET}.32.1", PORT)
        new_writer.write(b"z")
        assert await new_reader.readexactly(1) == b"z"
        new_writer.close()

    asyncio.run(run_with_connection(step))


def test_silence_lasts_while_new_connections_work():
    """Programs can only detect a silent connection by a time limit of their own."""

    async def step(link, reader, writer):
        link.silence()
        writer.write(b"x")
        assert await is_silent(reader)
        new_reader, new_writer = await asyncio.open_connection(f"{NET}.32.1", PORT)
        new_writer.write(b"z")
        assert await new_reader.readexactly(1) == b"z"
        new_writer.close()

    asyncio.run(run_with_connection(step))


def test_reset_ends_open_connections():
    """Connections must end with a TCP reset and not look complete."""

    async def step(link, reader, writer):
        link.reset()
        with pytest.raises(ConnectionResetError):
            await reader.read(1)

    asyncio.run(run_with_connection(step))


def test_bytes_stay_in_order_when_a_delay_ends():
    """Bytes that overtook delayed ones looked like a corrupt stream (seed 205)."""

    async def step(link, reader, writer):
        link.state.delay_s = 0.1
        writer.write(b"first ")
        await asyncio.sleep(0.02)
        link.state.delay_s = 0.0
        writer.write(b"second")
        assert await reader.readexactly(12) == b"first second"

    asyncio.run(run_with_connection(step))


def test_refused_connection_is_recorded():
    """The reset of a connection that no process accepted looked like a lost request."""

    async def check():
        link = Link("host", f"{NET}.32.1", f"{NET}.32.2")
        await link.forward(PORT)
        try:
            reader, writer = await asyncio.open_connection(f"{NET}.32.1", PORT)
            caller = "{}:{}".format(*writer.get_extra_info("sockname"))
            with pytest.raises(ConnectionResetError):
                await reader.read(1)
            writer.close()
        finally:
            link.close()
        assert list(link.refused) == [caller]

    asyncio.run(check())
