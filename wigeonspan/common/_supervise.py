"""Background work that goes on after an unexpected error."""

import asyncio
import traceback
from collections.abc import Awaitable, Callable

FIRST_PAUSE_S = 0.1
"""Seconds before work is started again after an error."""

LONGEST_PAUSE_S = 2.0
"""Longest such pause in seconds; it doubles with each error in a row."""

CALM_S = 10.0
"""Seconds of running after which an error counts as the first one again."""


async def keep_running(
    work: Callable[[], Awaitable[None]], record_error: Callable[[Exception], None]
) -> None:
    """Run work until it returns, and start it again when it fails.

    Parameters
    ----------
    work : callable
        Starts the work.
    record_error : callable
        Takes each error.
    """
    loop = asyncio.get_running_loop()
    pause_s = FIRST_PAUSE_S
    while True:
        began = loop.time()
        try:
            await work()
            return
        except Exception as error:
            record_error(error)
        if loop.time() - began >= CALM_S:
            pause_s = FIRST_PAUSE_S
        await asyncio.sleep(pause_s)
        pause_s = min(2.0 * pause_s, LONGEST_PAUSE_S)


def describe_error(error: BaseException) -> str:
    """Return an error with the place that raised it, in one line."""
    frames = traceback.extract_tb(error.__traceback__)
    place = f" at {frames[-1].filename}:{frames[-1].lineno}" if frames else ""
    return f"{error!r}{place}"
