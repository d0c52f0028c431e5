"""Tests of the time at which a stop signal came."""

import asyncio
import os
import signal
import time

from wigeonspan.common import SystemClock, on_stop_signal

BUSY_S = 0.5


def test_time_of_a_signal_does_not_wait_for_a_busy_event_loop():
    """A stop counted its time from when a long callback had ended.

    The process was killed before the time at which it wanted to end its requests.
    """
    handlers = {n: signal.getsignal(n) for n in (signal.SIGTERM, signal.SIGINT)}

    async def run():
        received = asyncio.get_running_loop().create_future()
        on_stop_signal(SystemClock(), received.set_result)
        sent_at = time.monotonic()
        os.kill(os.getpid(), signal.SIGTERM)
        # Blocks the event loop, as a large configuration does.
        end = sent_at + BUSY_S
        while time.monotonic() < end:
            pass
        return await received - sent_at

    try:
        assert asyncio.run(run()) < BUSY_S
    finally:
        for number, handler in handlers.items():
            signal.signal(number, handler)
