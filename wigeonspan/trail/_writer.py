"""Writer of lines that never blocks the event loop."""

import os
from collections import deque

BUFFER_BYTES = 512 * 1024
"""Bytes kept while the reader of the log is slow; further lines are dropped."""


class LineWriter:
    """Lines to a file descriptor that may be a full pipe.

    Parameters
    ----------
    descriptor : int
        File descriptor; it is made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending: deque[bytes] = deque()
        self._size = 0
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Number of lines dropped because the reader was slow."""
        return self._dropped

    def add(self, line: bytes) -> None:
        """Queue a line."""
        if self._size + len(line) > BUFFER_BYTES:
            self._dropped += 1
            return
        self._pending.append(line)
        self._size += len(line)

    def flush(self) -> None:
        """Write as much as the reader takes now."""
        while self._pending:
            data = b"".join(self._pending)
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # Without a reader there is nobody to tell; the count tells the rest.
                self._dropped += len(self._pending)
                written = len(data)
            self._pending.clear()
            self._size = len(data) - written
            if self._size:
                self._pending.append(data[written:])
