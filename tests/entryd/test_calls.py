"""Tests of non-idempotent calls over real connections."""

import asyncio
import socket

import pytest
from msgspec import structs

from standins.plain import PlainFaults
from tests.entryd.harness import EntryTestbed, error_of, run
from wigeonspan.calls import CallState
from wigeonspan.catalog import PlainTarget

PATH = "/v1/services/dispatch/bookings"


@pytest.mark.parametrize(
    ("faults", "kind", "executions"),
    [
        (PlainFaults(close_before=True), "outcome_unknown", 0),
        (PlainFaults(close_after=True), "outcome_unknown", 1),
        (PlainFaults(slow_s=2.0), "outcome_unknown", 0),
    ],
)
def test_call_is_sent_once(faults, kind, executions):
    """Guards against automatic repeats by curl.

    It repeats a request when the target closes a pooled connection.
    """

    async def work():
        async with EntryTestbed(plain=2) as testbed:
            for _ in range(4):
                # Creates idle connections to both targets in the pool.
                await testbed.fetch("/v1/services/dispatch/sheets/a")
            before = sum(p.arrivals for p in testbed.plain)
            for plain in testbed.plain:
                plain.set_faults(faults)
            headers = {"Idempotency_Key": "k1", "X_Deadline_Ms": "500"}
            first = await testbed.fetch(PATH, "stall 4", **headers)
            again = await testbed.fetch(PATH, "stall 4", **headers)
            arrivals = sum(p.arrivals for p in testbed.plain) - before
            ran = sum(sum(p.executions.values()) for p in testbed.plain)
            return first, again, arrivals, ran

    first, again, arrivals, ran = run(work)
    assert arrivals == 1
    assert ran == executions
    for response in (first, again):
        error = error_of(response)
        assert (error["kind"], error["ran"]) == (kind, "unknown")


def test_call_over_a_refused_connection_is_recorded_as_not_run():
    """Guards against a key that cannot be used again although nothing was sent."""

    async def work():
        async with EntryTestbed() as testbed:
            await testbed.plain[0].stop()
            first = await testbed.fetch(PATH, "stall 4", Idempotency_Key="k1")
            testbed.plain[0].start()
            testbed.sync(version=2)
            second = await testbed.fetch(PATH, "stall 4", Idempotency_Key="k1")
            return error_of(first), second.code

    error, code = run(work)
    assert (error["kind"], error["ran"], code) == ("no_target", "no", 201)


def test_call_without_established_connection_is_recorded_as_not_run():
    """Guards against a key that cannot be used again after a connect timeout.

    Nothing was sent then, since the target did not accept the connection.
    """

    async def work():
        async with EntryTestbed() as testbed:
            listener = socket.socket()
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            address = listener.getsockname()
            # The kernel does not respond to connections beyond the backlog.
            fillers = [socket.socket() for _ in range(4)]
            for filler in fillers:
                filler.setblocking(False)
                filler.connect_ex(address)
            service = next(o for o in testbed.objects() if o.name == "dispatch")
            target = PlainTarget(f"127.0.0.1:{address[1]}", "szeged")
            testbed.sync([structs.replace(service, targets=(target,))], version=2)
            response = await testbed.fetch(PATH, "stall 4", Idempotency_Key="k1")
            stored_call = testbed.control.call_table.get("default", "dispatch", "k1")
            for connection in (listener, *fillers):
                connection.close()
            return error_of(response), stored_call.state

    error, state = run(work)
    assert (error["kind"], error["ran"]) == ("no_target", "no")
    assert state is CallState.NOT_RUN


def test_disconnected_caller_does_not_end_its_call():
    """Guards against cancelling a call between its execution and its outcome."""

    async def work():
        async with EntryTestbed() as testbed:
            testbed.plain[0].set_faults(PlainFaults(slow_s=0.3))
            path = f"{PATH}?by=a"
            disconnected = asyncio.create_task(
                testbed.fetch(path, "x", timeout_s=0.1, Idempotency_Key="k1")
            )
            await disconnected
            while testbed.daemon.entry.in_flight:
                await asyncio.sleep(0.01)
            again = await testbed.fetch(path, "x", Idempotency_Key="k1")
            return again, testbed.plain[0].arrivals, testbed.plain[0].executions

    again, arrivals, executions = run(work)
    assert (again.code, again.headers["X-Wigeonspan-Stored"]) == (201, "whole")
    assert (arrivals, sum(executions.values())) == (1, 1)


@pytest.mark.parametrize(
    ("faults", "code"),
    [
        (PlainFaults(close_before=True), 200),
        (PlainFaults(status=503), 200),
        (PlainFaults(slow_s=30.0), 200),
        (PlainFaults(status=418), 418),
    ],
)
def test_repeatable_call_is_tried_on_another_target(faults, code):
    """Guards against calls that fail although another target can execute them."""

    async def work():
        async with EntryTestbed(plain=2) as testbed:
            testbed.plain[0].set_faults(faults)
            codes = set()
            while not testbed.plain[0].arrivals:
                response = await testbed.fetch(
                    "/v1/services/dispatch/sheets/a", X_Deadline_Ms="1000"
                )
                codes.add(response.code)
            return codes

    assert run(work) <= {200, code}
