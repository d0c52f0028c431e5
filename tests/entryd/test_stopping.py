"""Tests of requests that may outlast a stopping entry daemon."""

import asyncio
import json
import signal
import socket
import subprocess
import sys
import time

import pytest
from msgspec import structs

from standins.engine import EngineSettings
from standins.plain import PlainFaults
from tests.entryd.harness import SETTINGS, EntryTestbed, error_of, events_of, run
from wigeonspan.calls import CallState

# Open requests are ended 3.7 s after the signal, calls that run once 0.7 s after it.
STOPPING = structs.replace(SETTINGS, stop_timeout_s=4.2)

BOOKINGS = "/v1/services/dispatch/bookings"
SHEETS = "/v1/services/dispatch/sheets/a"


async def _stop(testbed):
    """Stop the daemon as after two signals; return the seconds that this takes."""
    began = time.monotonic()
    testbed.daemon.request_stop()
    testbed.daemon.request_stop()
    await testbed.daemon.serve()
    # The daemon has closed itself; the testbed must not do it once more.
    testbed.daemon.close = testbed.daemon.entry.wait_drained
    return time.monotonic() - began


async def _start(testbed, request):
    task = asyncio.create_task(request)
    while not testbed.daemon.entry.in_flight:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.1)
    return task


@pytest.mark.parametrize(
    ("path", "headers"),
    [
        ("/v1/completions", {}),
        (SHEETS, {}),
        (BOOKINGS, {"Idempotency_Key": "k1"}),
    ],
)
def test_stopping_entry_accepts_what_its_deadline_bounds(path, headers):
    """Guards against accepting a request that may outlast the process.

    The supervisor killed the process in the middle of it.
    """

    async def work():
        async with EntryTestbed(settings=STOPPING) as testbed:
            testbed.daemon.request_stop()
            responses = []
            for deadline_ms in ("500", "4000"):
                named = {**headers, "X_Deadline_Ms": deadline_ms}
                if path == "/v1/completions":
                    responses.append(await testbed.complete(max_tokens=4, **named))
                elif path == SHEETS:
                    responses.append(await testbed.fetch(path, **named))
                else:
                    named["Idempotency_Key"] += deadline_ms
                    responses.append(await testbed.fetch(path, "stall 4", **named))
            return responses, testbed.plain[0].executions.total()

    (short, long), executions = run(work)
    assert short.code in (200, 201, 404), short.body
    error = error_of(long)
    assert (long.code, error["kind"], error["ran"]) == (503, "draining", "no")
    assert executions == (path == BOOKINGS)


def test_open_stream_ends_with_an_error_event():
    """Guards against a stream that the kill of the process ends without an error."""

    async def work():
        slow = EngineSettings(token_interval_s=0.08)
        async with EntryTestbed(settings=STOPPING, engine=slow) as testbed:
            stream = await _start(testbed, testbed.complete(max_tokens=4_000))
            took_s = await _stop(testbed)
            return await stream, took_s

    response, took_s = run(work)
    assert took_s < STOPPING.stop_timeout_s
    events = events_of(response)
    assert "[DONE]" not in events
    assert b"event: error" in response.body
    error = json.loads(events[-1])["error"]
    assert (error["kind"], error["ran"]) == ("target_failed", "unknown")


def test_open_plain_call_is_answered():
    """Guards against a call that the kill of the process leaves without an answer."""

    async def work():
        async with EntryTestbed(settings=STOPPING) as testbed:
            testbed.plain[0].set_faults(PlainFaults(slow_s=9.0))
            call = await _start(testbed, testbed.fetch(SHEETS))
            took_s = await _stop(testbed)
            return await call, took_s

    response, took_s = run(work)
    assert took_s < STOPPING.stop_timeout_s
    error = error_of(response)
    assert (error["kind"], error["ran"]) == ("target_failed", "unknown")


def test_outcome_of_an_open_call_is_committed():
    """Guards against a call whose outcome is not committed before the process ends.

    Its key stayed in progress until the call expired.
    """

    async def work():
        async with EntryTestbed(settings=STOPPING) as testbed:
            testbed.plain[0].set_faults(PlainFaults(slow_s=9.0))
            call = await _start(
                testbed, testbed.fetch(BOOKINGS, "stall 4", Idempotency_Key="k1")
            )
            took_s = await _stop(testbed)
            states = [c.state for c in testbed.control.call_table.snapshot().calls]
            return await call, took_s, states, testbed.plain[0].arrivals

    response, took_s, states, arrivals = run(work)
    assert took_s < STOPPING.stop_timeout_s
    error = error_of(response)
    assert (error["kind"], error["ran"]) == ("outcome_unknown", "unknown")
    assert states == [CallState.UNKNOWN]
    assert arrivals == 1


def test_request_that_is_still_arriving_is_refused():
    """Guards against a request without an answer since its body arrives late."""

    async def work():
        async with EntryTestbed(settings=STOPPING) as testbed:
            host, port = testbed.daemon.address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                b"POST /v1/completions HTTP/1.1\r\nHost: e\r\n"
                b"Content-Type: application/json\r\nContent-Length: 1000\r\n\r\n{"
            )
            while not testbed.daemon.entry.in_flight:
                await asyncio.sleep(0.01)
            took_s = await _stop(testbed)
            response = await reader.read()
            writer.close()
            return response, took_s

    response, took_s = run(work)
    assert took_s < STOPPING.stop_timeout_s
    head, _, body = response.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 503")
    error = json.loads(body)["error"]
    assert (error["kind"], error["ran"]) == ("draining", "no")


def test_body_that_arrives_for_nothing_is_refused_at_once():
    """Guards against waiting for a body whose request cannot be accepted."""

    async def work():
        async with EntryTestbed(settings=STOPPING) as testbed:
            host, port = testbed.daemon.address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            testbed.daemon.request_stop()
            writer.write(
                b"POST /v1/completions HTTP/1.1\r\nHost: e\r\nX-Deadline-Ms: 9000\r\n"
                b"Content-Type: application/json\r\nContent-Length: 5\r\n\r\n{"
            )
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 1.0)
            length = int(head.lower().partition(b"content-length: ")[2].split()[0])
            error = json.loads(await reader.readexactly(length))["error"]
            open_before = testbed.daemon.entry.in_flight
            writer.write(b"    ")
            while testbed.daemon.entry.in_flight:
                await asyncio.sleep(0.01)
            writer.close()
            return head, error["ran"], open_before

    head, ran, open_before = run(work)
    assert head.startswith(b"HTTP/1.1 503")
    # The rest of the body is still read.
    assert (ran, open_before) == ("no", 1)


@pytest.mark.parametrize(("size", "reads_after_s"), [(700_000, 0.5), (300_000, 5.0)])
def test_slow_reader_gets_a_complete_response(size, reads_after_s):
    """Guards against an end of the process with a response in its buffers."""

    async def work():
        async with EntryTestbed(settings=STOPPING) as testbed:
            testbed.plain[0].sheets["a"] = "x" * size
            host, port = testbed.daemon.address.split(":")
            caller = socket.socket()
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            caller.connect((host, int(port)))
            caller.setblocking(False)
            request = f"GET {SHEETS} HTTP/1.1\r\nHost: e\r\n\r\n".encode()
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(caller, request)
            await asyncio.sleep(0.3)
            stopped = asyncio.create_task(_stop(testbed))
            await asyncio.sleep(reads_after_s)
            received = b""
            while part := await loop.sock_recv(caller, 65_536):
                received += part
            caller.close()
            return received, await stopped

    received, took_s = run(work)
    assert took_s < STOPPING.stop_timeout_s
    assert len(received.partition(b"\r\n\r\n")[2]) >= size


def test_daemon_ends_before_its_supervisor_kills_it(tmp_path):
    """Guards against a stop that lasts until the kill, counted from the signal."""
    path = tmp_path / "entry.yaml"
    path.write_text(
        "host: entry-1\ndomain: szeged\naddress: 127.0.0.1:0\ncontrol: []\n"
        "stop_timeout_s: 4\n"
    )
    process = subprocess.Popen(
        [sys.executable, "-m", "wigeonspan.entryd.main", "run", str(path)],
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        assert "serves at" in process.stderr.readline()
        process.send_signal(signal.SIGTERM)
        assert process.wait(4.0) == 0
    finally:
        process.kill()
