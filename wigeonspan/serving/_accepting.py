"""The last connections of a server that stops."""

import socket
from collections.abc import Callable

from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream

LAST_REQUESTS_S = 0.2
"""Seconds in which the callers of the connections that were accepted last send their
requests."""


def accept_pending(
    server: HTTPServer,
    listening_socket: socket.socket,
    max_buffer_size: int,
    record_error: Callable[[Exception], None],
) -> None:
    """Accept the connections that only the kernel has accepted.

    The kernel would reset them when their listening socket is closed.

    Parameters
    ----------
    max_buffer_size : int
        Largest number of bytes that are buffered for a connection.
    record_error : callable
        Called with the error that ends the accepting early.
    """
    while True:
        try:
            accepted, address = listening_socket.accept()
        except BlockingIOError:
            return
        except OSError as error:
            # The caller has disconnected, or no file descriptor is available.
            record_error(error)
            return
        accepted.setblocking(False)
        stream = IOStream(accepted, max_buffer_size=max_buffer_size)
        server.handle_stream(stream, address)
