"""Crowds of callers for tests of real processes, and what the processes use."""

import asyncio
import os
import threading
from contextlib import suppress

CROWD_S = 25.0
"""Seconds after which a crowd sends no more; it has sent all before on any machine."""


def chunk(size):
    """Return a chunk of a body in chunks."""
    return b"%x\r\n%s\r\n" % (size, b"x" * size)


async def send_one(address, parts):
    """Connect and send what the entry takes; return the open connection."""
    host, _, port = address.rpartition(":")
    writer = None
    with suppress(OSError, TimeoutError):
        async with asyncio.timeout(CROWD_S):
            _, writer = await asyncio.open_connection(host, int(port))
            for part in parts:
                writer.write(part)
                await writer.drain()
    return writer


class Crowd:
    """Callers that send at the same time, in a thread, and stay connected."""

    def __init__(self, address, size, parts_of):
        self._address, self._size, self._parts_of = address, size, parts_of
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._writers = []

    def send(self):
        self._thread.start()
        asyncio.run_coroutine_threadsafe(self._send(), self._loop).result()

    async def _send(self):
        sends = [
            send_one(self._address, self._parts_of(number))
            for number in range(self._size)
        ]
        self._writers = await asyncio.gather(*sends)

    def leave(self):
        self._loop.call_soon_threadsafe(self._close)
        self._thread.join()
        self._loop.close()

    def _close(self):
        for writer in self._writers:
            if writer is not None:
                writer.transport.abort()
        self._loop.call_later(0.1, self._loop.stop)


class Watch:
    """Observes the memory and the descriptors of a process, in a thread."""

    def __init__(self, pid):
        self._pid = pid
        self.most_fds = 0
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    @property
    def peak_mb(self):
        with open(f"/proc/{self._pid}/status") as status:
            line = next(line for line in status if line.startswith("VmHWM"))
        return int(line.split()[1]) / 1024

    def _run(self):
        while not self._ended.wait(0.02):
            with suppress(OSError):
                number = len(os.listdir(f"/proc/{self._pid}/fd"))
                self.most_fds = max(self.most_fds, number)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *error):
        self._ended.set()
        self._thread.join()
