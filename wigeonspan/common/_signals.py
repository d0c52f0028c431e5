"""Signals that end a process, with the time at which they came."""

import asyncio
import signal
from collections.abc import Callable

from wigeonspan.common._clock import Clock


def on_stop_signal(clock: Clock, callback: Callable[[float], None]) -> None:
    """Call a function in the running event loop after SIGTERM or SIGINT.

    Python calls the handler between two bytecodes of the main thread. A handler of the
    event loop would run only after the callback in progress, and the time until the
    process is killed would seem to begin later than it does.

    Parameters
    ----------
    callback : callable
        Called with the monotonic time in seconds at which the signal came.
    """
    loop = asyncio.get_running_loop()

    def handle(number: int, frame: object) -> None:
        # A signal that comes while the process ends has nothing left to stop.
        if not loop.is_closed():
            loop.call_soon_threadsafe(callback, clock.now())

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, handle)
