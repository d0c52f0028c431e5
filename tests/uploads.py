"""Target that answers while the request is still being written to it."""

import asyncio
import contextlib
import socket
import struct
from enum import Enum

RECEIVE_BUFFER_BYTES = 4096
"""Receive buffer of the target; small, so that most of an upload cannot be sent."""

PAUSE_S = 0.03
"""Seconds between the answer and its end, in which the sender reads the answer."""


class Ending(Enum):
    """How the target ends the connection.

    Attributes
    ----------
    RESET
        It resets the connection, as when the host or the process is killed.
    CLOSE
        It closes the socket. The kernel sends a reset since there are unread bytes.
    HALF_CLOSE
        It ends its side of the connection only, and reads the upload afterwards.
    """

    RESET = "reset"
    CLOSE = "close"
    HALF_CLOSE = "half_close"


class EarlyTarget:
    """Target that sends the same bytes to each request before it has read the body.

    Parameters
    ----------
    data : bytes
        What is sent at once.
    ending : Ending
        How the connection ends.
    pause_s : float
        Seconds between the bytes and the end.
    """

    def __init__(self, data, ending, *, pause_s=PAUSE_S):
        self._data, self._ending, self._pause_s = data, ending, pause_s
        self._tasks = set()
        self.uploads = 0
        self.address = ""

    def listen(self, address="127.0.0.1:0"):
        """Begin to listen; must be called while the event loop runs."""
        host, port = address.split(":")
        self._listening = socket.socket()
        self._listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        level, option = socket.SOL_SOCKET, socket.SO_RCVBUF
        self._listening.setsockopt(level, option, RECEIVE_BUFFER_BYTES)
        self._listening.bind((host, int(port)))
        self._listening.listen(16)
        self._listening.setblocking(False)
        host, port = self._listening.getsockname()
        self.address = f"{host}:{port}"
        self._add(self._accept())

    async def close(self):
        """Stop listening and close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._listening.close()

    def _add(self, work):
        self._tasks.add(asyncio.ensure_future(work))

    async def _accept(self):
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self._listening)
            connection.setblocking(False)
            self._add(self._serve(connection))

    async def _serve(self, connection):
        loop = asyncio.get_running_loop()
        with connection, contextlib.suppress(OSError):
            begin = await loop.sock_recv(connection, 1024)
            if not begin:
                return
            self.uploads += begin.startswith(b"POST ")
            await loop.sock_sendall(connection, self._data)
            await asyncio.sleep(self._pause_s)
            if self._ending is Ending.RESET:
                # With a linger time of 0 a close sends a reset.
                linger = struct.pack("ii", 1, 0)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            elif self._ending is Ending.HALF_CLOSE:
                connection.shutdown(socket.SHUT_WR)
                while await loop.sock_recv(connection, 65536):
                    pass
