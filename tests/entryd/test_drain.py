"""Tests of the graceful stop."""

import asyncio
import json

import pytest

from standins._text import answer_text
from tests.entryd.harness import World, error_of, run, text_of


@pytest.mark.parametrize("signals", [1, 2, 3])
def test_stop_waits_for_running_streams(signals):
    """A second stop signal cut the streams that the first one waited for."""

    async def work():
        async with World() as world:
            stream = asyncio.create_task(world.complete(max_tokens=60))
            while not world.daemon.entry.in_flight:
                await asyncio.sleep(0.01)
            for _ in range(signals):
                world.daemon.request_stop()
            stopped = asyncio.create_task(world.daemon.entry.wait_drained())
            await asyncio.wait({stream, stopped}, return_when=asyncio.FIRST_COMPLETED)
            early = stopped.done()
            if signals > 1:
                await stopped
            stopped.cancel()
            return await stream, early

    response, early = run(work)
    assert not early
    assert text_of(response) == answer_text("plate 7 is", 60)


def test_draining_entry_serves_but_is_not_named():
    """Callers with a kept directory answer were refused during the drain."""

    async def work():
        async with World() as world:
            world.daemon.request_stop()
            directory = await world.fetch("/v1/directory")
            response = await world.complete()
            return directory, response, world.daemon.entry.in_flight

    directory, response, in_flight = run(work)
    assert json.loads(directory.body)["entries"] == []
    assert response.headers["Connection"] == "close"
    assert text_of(response) == answer_text("plate 7 is", 8)
    assert in_flight == 0


def test_entry_without_lease_refuses_truthfully():
    """An entry that was cut off kept sending work to engines that had changed."""

    async def work():
        async with World() as world:
            world.daemon.follower._lease_until = 0.0
            answers = [
                await world.complete(),
                await world.fetch("/v1/services/dispatch/sheets/a"),
                await world.fetch("/v1/directory"),
            ]
            return answers, world.engines[0].completions

    answers, completions = run(work)
    for answer in answers:
        error = error_of(answer)
        assert (error["kind"], error["ran"]) == ("lease_expired", "no")
        assert error["retry"] and answer.headers["Retry-After"]
    assert completions == 0
