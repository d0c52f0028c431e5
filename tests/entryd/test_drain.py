"""Tests of the graceful stop and of an expired lease."""

import asyncio
import json
import socket

import pytest

from standins._text import answer_text
from tests.entryd.harness import EntryTestbed, error_of, run, text_of


@pytest.mark.parametrize("signals", [1, 2, 3])
def test_stop_waits_for_running_streams(signals):
    """Guards against a second stop signal that aborts running streams."""

    async def work():
        async with EntryTestbed() as testbed:
            stream = asyncio.create_task(testbed.complete(max_tokens=60))
            while not testbed.daemon.entry.in_flight:
                await asyncio.sleep(0.01)
            for _ in range(signals):
                testbed.daemon.request_stop()
            stopped = asyncio.create_task(testbed.daemon.entry.wait_drained())
            await asyncio.wait({stream, stopped}, return_when=asyncio.FIRST_COMPLETED)
            # The caller may still have to read what the kernel has taken, but it must
            # lose nothing when the daemon ends after the wait.
            if signals > 1:
                await stopped
            if stopped.done():
                await testbed.daemon.close()
                testbed.daemon.close = testbed.daemon.entry.wait_drained
            stopped.cancel()
            return await stream

    response = run(work)
    assert text_of(response) == answer_text("plate 7 is", 60)


def test_draining_entry_serves_but_is_not_listed():
    """Guards against refusing callers during the drain.

    They may have cached a directory response that still lists the entry.
    """

    async def work():
        async with EntryTestbed() as testbed:
            testbed.daemon.request_stop()
            directory = await testbed.fetch("/v1/directory")
            response = await testbed.complete()
            return directory, response, testbed.daemon.entry.in_flight

    directory, response, in_flight = run(work)
    assert json.loads(directory.body)["entries"] == []
    assert response.headers["Connection"] == "close"
    assert text_of(response) == answer_text("plate 7 is", 8)
    assert in_flight == 0


def test_connections_made_before_the_end_are_served():
    """Guards against resetting connections that only the kernel has accepted."""

    async def work():
        async with EntryTestbed() as testbed:
            host, port = testbed.daemon.address.split(":")
            testbed.daemon.request_stop()
            # The second stop request ends the wait for cached directory responses.
            testbed.daemon.request_stop()
            callers = []
            for _ in range(20):
                caller = socket.create_connection((host, int(port)))
                caller.sendall(b"GET /v1/directory HTTP/1.1\r\nHost: e\r\n\r\n")
                callers.append(caller)
            await testbed.daemon.serve()
            # The daemon has closed itself; the testbed must not do it once more.
            testbed.daemon.close = testbed.daemon.entry.wait_drained
            responses = []
            for caller in callers:
                caller.settimeout(2)
                responses.append(caller.recv(4096)[:12])
                caller.close()
            return responses

    assert run(work) == [b"HTTP/1.1 200"] * 20


def test_entry_without_lease_refuses_requests():
    """Guards against an entry that sends work without a routing lease.

    The engines may have changed since its last configuration.
    """

    async def work():
        async with EntryTestbed() as testbed:
            testbed.daemon.follower._lease_until = 0.0
            responses = [
                await testbed.complete(),
                await testbed.fetch("/v1/services/dispatch/sheets/a"),
                await testbed.fetch("/v1/directory"),
            ]
            return responses, testbed.engines[0].completions

    responses, completions = run(work)
    for response in responses:
        error = error_of(response)
        assert (error["kind"], error["ran"]) == ("lease_expired", "no")
        assert error["retry"] and response.headers["Retry-After"]
    assert completions == 0
