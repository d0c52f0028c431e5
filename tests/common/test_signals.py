"""Tests of the time at which a stop signal came."""

import asyncio
import os
import signal
import time

import pytest

from wigeonspan.common import SystemClock, on_stop_signal

BUSY_S = 0.5


@pytest.fixture(autouse=True)
def restored_handlers():
    handlers = {n: signal.getsignal(n) for n in (signal.SIGTERM, signal.SIGINT)}
    yield
    for number, handler in handlers.items():
        signal.signal(number, handler)


def test_time_of_a_signal_does_not_wait_for_a_busy_event_loop():
    """A stop counted its time from when a long callback had ended.

    The process was killed before the time at which it wanted to end its requests.
    """

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

    assert asyncio.run(run()) < BUSY_S


def test_signal_while_the_process_ends_is_no_error():
    """A second SIGTERM after the event loop was closed raised an error."""
    received = []

    async def run():
        on_stop_signal(SystemClock(), received.append)

    asyncio.run(run())
    os.kill(os.getpid(), signal.SIGTERM)
    assert not received
