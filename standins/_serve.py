"""Run a stand-in as a command line program."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application


def listen(application: Application, port: int) -> tuple[HTTPServer, int]:
    """Serve an application on 127.0.0.1 and return the server and its port."""
    sockets = bind_sockets(port, "127.0.0.1")
    server = HTTPServer(application)
    server.add_sockets(sockets)
    return server, sockets[0].getsockname()[1]


async def serve_until_signal(
    start: Callable[[], int], stop: Callable[[], Awaitable[None]]
) -> None:
    """Start a stand-in, print its port, and stop it on SIGTERM or SIGINT.

    ``start`` returns the port.
    """
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop_requested.set)
    print(start(), flush=True)
    await stop_requested.wait()
    await stop()
