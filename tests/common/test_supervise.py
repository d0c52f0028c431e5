"""Background work that fails."""

import asyncio

import pytest

from wigeonspan.common import _supervise as supervise
from wigeonspan.common import describe_error, keep_running


def test_work_goes_on_after_unexpected_errors(monkeypatch):
    """A task that died of one malformed message left its process without its duty."""
    monkeypatch.setattr(supervise, "FIRST_PAUSE_S", 0.001)
    starts, errors = [], []

    async def work():
        starts.append(0)
        if len(starts) < 4:
            raise ValueError(f"message {len(starts)}")

    asyncio.run(keep_running(work, errors.append))
    assert [str(error) for error in errors] == ["message 1", "message 2", "message 3"]
    assert len(starts) == 4


def test_work_that_is_cancelled_stays_so():
    """A stop must not be taken for an error."""

    async def run():
        task = asyncio.create_task(keep_running(lambda: asyncio.sleep(9), print))
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(run())


def test_description_names_the_place():
    """The log line of an error must lead to its cause."""
    try:
        raise KeyError("x")
    except KeyError as error:
        text = describe_error(error)
    assert "KeyError('x')" in text and "test_supervise.py" in text
