"""Tests of the restart of background tasks."""

import asyncio

import pytest

from wigeonspan.common import _supervise as supervise
from wigeonspan.common import describe_error, keep_running, start_unless_stopped


def test_task_is_restarted_after_unexpected_errors(monkeypatch):
    """One malformed message must not stop a background task for good."""
    monkeypatch.setattr(supervise, "INITIAL_PAUSE_S", 0.001)
    starts, errors = [], []

    async def work():
        starts.append(0)
        if len(starts) < 4:
            raise ValueError(f"message {len(starts)}")

    asyncio.run(keep_running(work, errors.append))
    assert [str(error) for error in errors] == ["message 1", "message 2", "message 3"]
    assert len(starts) == 4


def test_cancelled_task_is_not_restarted():
    """Cancellation must not be handled as an error."""

    async def run():
        task = asyncio.create_task(keep_running(lambda: asyncio.sleep(9), print))
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(run())


def test_description_names_the_file():
    """The log line of an error must identify the code that raised it."""
    try:
        raise KeyError("x")
    except KeyError as error:
        text = describe_error(error)
    assert "KeyError('x')" in text and "test_supervise.py" in text


def test_stop_cancels_a_start_that_waits():
    """A start that waits for space on a disk must not outlast the request to stop."""

    async def run():
        stop = asyncio.Event()
        asyncio.get_running_loop().call_soon(stop.set)
        return await start_unless_stopped(asyncio.sleep(60), stop)

    assert asyncio.run(run()) is False


def test_error_of_a_start_is_raised():
    """A start that fails must end the process instead of being taken for complete."""

    async def fail():
        raise ValueError("data folder")

    async def run():
        await start_unless_stopped(fail(), asyncio.Event())

    with pytest.raises(ValueError, match="data folder"):
        asyncio.run(run())
