"""Line writer that never blocks the event loop."""

import os
from collections import deque

MAX_BUFFER_BYTES = 512 * 1024
"""Maximum bytes to queue for a slow reader of the log; further lines are dropped."""


class LineWriter:
    """Buffered, non-blocking writer of lines to a file descriptor, such as a pipe.

    Parameters
    ----------
    descriptor : int
        File descriptor, which is switched to non-blocking mode.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Number of lines dropped because the reader was slow or gone."""
        return self._dropped

    def add(self, line: bytes) -> None:
        """Queue a line, or drop it when the buffer is full."""
        if self._pending_bytes + len(line) > MAX_BUFFER_BYTES:
            self._dropped += 1
            return
        self._pending.append(line)
        self._pending_bytes += len(line)

    def flush(self) -> None:
        """Write as many queued bytes as possible without blocking."""
        while self._pending:
            data = b"".join(self._pending)
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, so the error cannot be logged; count the lines.
                self._dropped += len(self._pending)
                written = len(data)
            self._pending.clear()
            self._pending_bytes = len(data) - written
            if self._pending_bytes:
                self._pending.append(data[written:])
