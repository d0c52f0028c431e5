"""The last connections of a server that stops."""

import socket
from collections.abc import Callable

LAST_REQUESTS_S = 0.2
"""Seconds in which the callers of the connections that were accepted last send their
requests."""


def accept_pending(
    accept: Callable[[socket.socket, object], None],
    listening_socket: socket.socket,
    record_error: Callable[[Exception], None],
) -> None:
    """Accept the connections that only the kernel has accepted.

    The kernel would reset them when their listening socket is closed.

    Parameters
    ----------
    accept : callable
        Serves a connection, given its socket and the address of the caller.
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
        accept(accepted, address)
