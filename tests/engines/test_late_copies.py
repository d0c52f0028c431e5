"""Targets that write a refusal once more on a kept connection, over loopback."""

import asyncio
import contextlib
import random

import pytest

from tests.engines.test_client import Listener
from tests.loopback import loopback_server
from wigeonspan.catalog import PlainService, PlainTarget, PriorityClass
from wigeonspan.common import NoMetrics, SystemClock
from wigeonspan.engines import CompletionExtension
from wigeonspan.engines.tasks import EngineClient, TargetConnections
from wigeonspan.entryd._budget import RetryBudget
from wigeonspan.entryd._limits import TargetLimits
from wigeonspan.entryd._plain import PlainCall, PlainRelay
from wigeonspan.streams import StreamFault

COPY_DELAY_S = 0.03
WORK_S = 0.15


def encode(status, body=b""):
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def refuses_first(status, served):
    """Refuse the first request twice, 30 ms apart, and run all others."""
    refused = []

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                length = head.lower().partition(b"content-length:")[2].split(b"\r")[0]
                await reader.readexactly(int(length or b"0"))
                if not refused:
                    refused.append(head)
                    writer.write(encode(status))
                    copy = encode(status)
                    loop = asyncio.get_running_loop()
                    loop.call_later(COPY_DELAY_S, writer.write, copy)
                    continue
                served.append(head)
                await asyncio.sleep(WORK_S)
                writer.write(encode(200, b"ok"))

    return serve


def run_with_connections(status, work):
    async def run():
        served = []
        connections = TargetConnections(8, 1 << 20, 0.5, SystemClock())
        try:
            async with loopback_server(refuses_first(status, served)) as address:
                return await work(connections, address), len(served)
        finally:
            connections.close()

    return asyncio.run(asyncio.wait_for(run(), 10))


@pytest.mark.parametrize("status", [503, 429, 409, 404, 400])
def test_copy_of_a_refusal_does_not_end_a_running_attempt(status):
    """An attempt that its engine was running counted as refused, that is, as not run.

    The refusal of the attempt before it had come once more on the kept connection.
    """

    async def work(connections, address):
        client, listeners = EngineClient(connections), [Listener(), Listener()]
        for number, listener in enumerate(listeners):
            extension = CompletionExtension(f"a{number}", PriorityClass.DESK, 5000)
            stream = client.stream(address, {"prompt": "one"}, extension, listener)
            await listener.ended.wait()
            stream.close()
        return [listener.fault for listener in listeners]

    faults, served = run_with_connections(status, work)
    assert faults[0] is StreamFault.REFUSED
    assert faults[1] is not StreamFault.REFUSED
    assert served == 1


@pytest.mark.parametrize("status", [502, 404])
def test_copy_of_a_failed_call_does_not_answer_a_running_call(status):
    """A transfer of a prompt's cache failed while the engine carried it out."""

    async def work(connections, address):
        client = EngineClient(connections)
        ends = [await client._fetch(address, "GET", "/x", None, 1.0) for _ in range(2)]
        return [end.status for end in ends]

    assert run_with_connections(status, work) == ([status, 200], 1)


def test_copy_of_a_refusal_does_not_answer_a_running_plain_call():
    """A call that its service was running was refused as not run."""

    async def work(connections, address):
        clock = SystemClock()
        service = PlainService("s", (PlainTarget(address, "d"),), ())
        relay = PlainRelay(
            connections,
            clock,
            random.Random(1),
            "d",
            RetryBudget(0.1),
            TargetLimits(clock, NoMetrics()),
        )
        relay.update_services([service])
        statuses = []
        for _ in range(2):
            call = PlainCall(service, "GET", "/x", {}, None, clock.now() + 5.0)
            statuses.append((await relay.call(call)).status)
        return statuses

    assert run_with_connections(503, work) == ([503, 200], 1)
