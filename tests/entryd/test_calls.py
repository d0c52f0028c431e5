"""Tests of non-idempotent calls over real connections."""

import asyncio
import socket

import pytest
from msgspec import structs

from standins.plain import PlainFaults
from tests.entryd.harness import World, error_of, run
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
def test_nothing_is_sent_twice(faults, kind, executions):
    """curl sent a booking again when a pooled connection was closed under it."""

    async def work():
        async with World(plain=2) as world:
            for _ in range(4):
                # Leaves idle connections to both targets in the pool.
                await world.fetch("/v1/services/dispatch/sheets/a")
            before = sum(p.arrivals for p in world.plain)
            for plain in world.plain:
                plain.set_faults(faults)
            headers = {"Idempotency_Key": "k1", "X_Deadline_Ms": "500"}
            first = await world.fetch(PATH, "stall 4", **headers)
            again = await world.fetch(PATH, "stall 4", **headers)
            arrivals = sum(p.arrivals for p in world.plain) - before
            ran = sum(sum(p.executions.values()) for p in world.plain)
            return first, again, arrivals, ran

    first, again, arrivals, ran = run(work)
    assert arrivals == 1
    assert ran == executions
    for response in (first, again):
        error = error_of(response)
        assert (error["kind"], error["ran"]) == (kind, "unknown")


def test_refused_connection_is_closed_as_not_run():
    """A key was lost although no byte of its call had left."""

    async def work():
        async with World() as world:
            await world.plain[0].stop()
            first = await world.fetch(PATH, "stall 4", Idempotency_Key="k1")
            world.plain[0].start()
            world.sync(version=2)
            second = await world.fetch(PATH, "stall 4", Idempotency_Key="k1")
            return error_of(first), second.code

    error, code = run(work)
    assert (error["kind"], error["ran"], code) == ("no_target", "no", 201)


def test_connection_that_was_never_established_is_closed_as_not_run():
    """A key was lost although the target had not even accepted the connection."""

    async def work():
        async with World() as world:
            full = socket.socket()
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            address = full.getsockname()
            # Connections beyond the backlog stay without an answer.
            fillers = [socket.socket() for _ in range(4)]
            for filler in fillers:
                filler.setblocking(False)
                filler.connect_ex(address)
            service = next(o for o in world.objects() if o.name == "dispatch")
            target = PlainTarget(f"127.0.0.1:{address[1]}", "szeged")
            world.sync([structs.replace(service, targets=(target,))], version=2)
            response = await world.fetch(PATH, "stall 4", Idempotency_Key="k1")
            kept = world.control.book.get("default", "dispatch", "k1")
            for each in (full, *fillers):
                each.close()
            return error_of(response), kept.state

    error, state = run(work)
    assert (error["kind"], error["ran"]) == ("no_target", "no")
    assert state is CallState.NOT_RUN


def test_caller_that_goes_away_does_not_end_its_call():
    """A call was cancelled between its execution and its outcome."""

    async def work():
        async with World() as world:
            world.plain[0].set_faults(PlainFaults(slow_s=0.3))
            path = f"{PATH}?by=a"
            gone = asyncio.create_task(
                world.fetch(path, "x", timeout_s=0.1, Idempotency_Key="k1")
            )
            await gone
            while world.daemon.entry.in_flight:
                await asyncio.sleep(0.01)
            again = await world.fetch(path, "x", Idempotency_Key="k1")
            return again, world.plain[0].arrivals, world.plain[0].executions

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
    """One failing target failed calls that another could answer."""

    async def work():
        async with World(plain=2) as world:
            world.plain[0].set_faults(faults)
            codes = set()
            while not world.plain[0].arrivals:
                response = await world.fetch(
                    "/v1/services/dispatch/sheets/a", X_Deadline_Ms="1000"
                )
                codes.add(response.code)
            return codes

    assert run(work) <= {200, code}
