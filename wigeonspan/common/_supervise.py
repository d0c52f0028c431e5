"""Restart of background tasks after unexpected errors."""

import asyncio
import traceback
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

INITIAL_PAUSE_S = 0.1
"""Seconds to wait before the restart after a first error."""

MAX_PAUSE_S = 2.0
"""Maximum wait in seconds; the wait doubles with each consecutive error."""

PAUSE_RESET_S = 10.0
"""Seconds without an error after which the wait is reset to ``INITIAL_PAUSE_S``."""


async def keep_running(
    run_task: Callable[[], Awaitable[None]], record_error: Callable[[Exception], None]
) -> None:
    """Run a task until it returns, and restart it with backoff when it raises.

    Cancellation ends the task and is not counted as an error.

    Parameters
    ----------
    run_task : callable
        Runs the task; called again after each error.
    record_error : callable
        Called with each error.
    """
    loop = asyncio.get_running_loop()
    pause_s = INITIAL_PAUSE_S
    while True:
        started_at = loop.time()
        try:
            await run_task()
            return
        except Exception as error:
            record_error(error)
        if loop.time() - started_at >= PAUSE_RESET_S:
            pause_s = INITIAL_PAUSE_S
        await asyncio.sleep(pause_s)
        pause_s = min(2.0 * pause_s, MAX_PAUSE_S)


async def start_unless_stopped(
    start: Coroutine[Any, Any, None], stop: asyncio.Event
) -> bool:
    """Run a start that may wait for long, and cancel it when the stop is requested.

    Returns
    -------
    bool
        Whether the start is complete.
    """
    starting = asyncio.create_task(start)
    stopping = asyncio.create_task(stop.wait())
    await asyncio.wait((starting, stopping), return_when=asyncio.FIRST_COMPLETED)
    stopping.cancel()
    if starting.done():
        await starting
        return True
    starting.cancel()
    await asyncio.wait((starting,))
    return False


def describe_error(error: BaseException) -> str:
    """Describe an error and the file and line that raised it, in one line."""
    frames = traceback.extract_tb(error.__traceback__)
    location = f" at {frames[-1].filename}:{frames[-1].lineno}" if frames else ""
    return f"{error!r}{location}"
