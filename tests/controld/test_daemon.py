"""Failures of the control daemon's background tasks."""

import asyncio
from types import SimpleNamespace

import pytest

from wigeonspan.controld import _daemon
from wigeonspan.controld._daemon import Daemon


async def do_nothing():
    pass


def make_stub_daemon(counts):
    """Return a daemon with stubbed components."""
    daemon = Daemon.__new__(Daemon)
    metrics = SimpleNamespace(count=lambda name, amount=1: counts.append(name))
    daemon._settings = SimpleNamespace(
        host="c1", address="127.0.0.1:1", metrics=SimpleNamespace(enabled=True)
    )
    daemon._http = SimpleNamespace(listen=lambda port, host: None)
    daemon._log = daemon._operator_server = SimpleNamespace(start=do_nothing)
    daemon._duties = SimpleNamespace(run=do_nothing)
    daemon._state = SimpleNamespace(record=None)
    daemon._metrics, daemon._client, daemon._clock = metrics, None, None
    return daemon


@pytest.mark.parametrize("name", ["maintain_record", "send_gauges"])
def test_task_continues_after_an_unexpected_error(name, monkeypatch):
    """An unexpected error in a background task must not end the process.

    A malformed response of another host to a request for its record used to do so.
    """

    async def run():
        runs, counts = [], []

        async def fail_first(*args):
            runs.append(None)
            if len(runs) == 1:
                raise KeyError("unexpected")

        async def idle(*args):
            pass

        for each in ("maintain_record", "send_gauges"):
            monkeypatch.setattr(_daemon, each, fail_first if each == name else idle)
        daemon = make_stub_daemon(counts)
        await daemon.start()
        async with asyncio.timeout(5):
            while len(runs) < 2:
                await asyncio.sleep(0.01)
        return counts

    assert asyncio.run(run()) == ["unexpected_errors"]
