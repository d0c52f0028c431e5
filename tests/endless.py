"""Servers that send bytes without end."""

import asyncio
import contextlib


@contextlib.asynccontextmanager
async def endless_server(first, again):
    """Send bytes to each connection until the other side closes; yield the address."""

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(first)
            while True:
                writer.write(again)
                await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    server.close()
