"""Servers on loopback that close what their connections leave open."""

import asyncio
import contextlib


@contextlib.asynccontextmanager
async def loopback_server(serve):
    """Run a server for streams on a free port and yield its address.

    A connection stays open when ``serve`` returns without closing it. All are closed at
    the end of the block: a writer that is collected after its loop was closed raises an
    error, which upsets whatever code runs at that moment.
    """
    writers, handlers = [], []

    async def handle(reader, writer):
        writers.append(writer)
        handlers.append(asyncio.current_task())
        await serve(reader, writer)

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    try:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()
        for handler in handlers:
            handler.cancel()
        for writer in writers:
            writer.close()
        await asyncio.gather(*handlers, return_exceptions=True)
        closed = (writer.wait_closed() for writer in writers)
        await asyncio.gather(*closed, return_exceptions=True)
