"""Reload of settings after a signal or a change of their file."""

import asyncio
import os
from collections.abc import Callable

SETTINGS_S = 1.0
"""Seconds between two looks at the settings file, which may change without a signal."""


async def watch_settings(
    path: str,
    changed: asyncio.Event,
    reload: Callable[[], None],
    record_error: Callable[[Exception], None],
) -> None:
    """Reload settings after a signal or when their file has changed.

    Settings that cannot be read change nothing; the next change is read again.
    """
    seen = _stamp(path)
    while True:
        try:
            async with asyncio.timeout(SETTINGS_S):
                await changed.wait()
        except TimeoutError:
            if _stamp(path) == seen:
                continue
        changed.clear()
        seen = _stamp(path)
        try:
            reload()
        except Exception as error:
            record_error(error)


def _stamp(path: str) -> tuple[int, int]:
    try:
        status = os.stat(path)
    except OSError:
        # The file is being replaced; the next look finds the new one.
        return (0, 0)
    return (status.st_mtime_ns, status.st_size)
