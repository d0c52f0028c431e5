"""Server that never stops sending."""

import asyncio
import contextlib

from tests.loopback import loopback_server


@contextlib.asynccontextmanager
async def endless_server(first, again):
    """Serve endless answers and yield the address of the server.

    Each connection gets ``first`` once, then ``again`` until the client closes it.
    """

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(first)
            while True:
                writer.write(again)
                await writer.drain()
        writer.close()

    async with loopback_server(serve) as address:
        yield address
