"""Reload of settings on a signal or when their file changes."""

import asyncio
import os
from collections.abc import Callable

POLL_INTERVAL_S = 1.0
"""Seconds between checks of the settings file, which may change without a signal."""


async def watch_settings(
    path: str,
    reload_requested: asyncio.Event,
    reload: Callable[[], None],
    record_error: Callable[[Exception], None],
) -> None:
    """Reload settings on a signal or when their file has changed.

    When a reload fails, the error is reported and the next change is awaited.

    Parameters
    ----------
    path : str
        Path of the settings file.
    reload_requested : asyncio.Event
        Set by a signal handler to request a reload; cleared before each reload.
    reload : callable
        Reads and applies the settings; raises when they are invalid.
    record_error : callable
        Called with the error of a failed reload.
    """
    last_stamp = _file_stamp(path)
    while True:
        try:
            async with asyncio.timeout(POLL_INTERVAL_S):
                await reload_requested.wait()
        except TimeoutError:
            if _file_stamp(path) == last_stamp:
                continue
        reload_requested.clear()
        last_stamp = _file_stamp(path)
        try:
            reload()
        except Exception as error:
            record_error(error)


def _file_stamp(path: str) -> tuple[int, int]:
    try:
        status = os.stat(path)
    except OSError:
        # The file is being replaced; the next check finds the new one.
        return (0, 0)
    return (status.st_mtime_ns, status.st_size)
