"""Tests of reading the state of engines that write an answer twice."""

import asyncio
import contextlib

from tests.loopback import loopback_server
from wigeonspan.catalog import Role
from wigeonspan.common import SystemClock, encode
from wigeonspan.engines import EngineState
from wigeonspan.orders.tasks import LeaseGuard, OrderSender

COPY_DELAY_S = 0.03
WORK_S = 0.15


def encode_state(last_order):
    state = EngineState("e1", "i1", Role.MIXED, "m", "1", (), "", last_order, 0, 0)
    body = encode(state)
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def test_copy_of_an_earlier_state_is_not_read_as_the_state_after_an_order():
    """A state shows whether an order arrived; an old one would have it sent again.

    The engine writes its first answer once more, 30 ms later, when the connection may
    be in use for the next read.
    """
    answered = []

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while await reader.readuntil(b"\r\n\r\n"):
                answered.append(encode_state(f"o{len(answered)}"))
                if len(answered) == 1:
                    loop = asyncio.get_running_loop()
                    loop.call_later(COPY_DELAY_S, writer.write, answered[0])
                else:
                    await asyncio.sleep(WORK_S)
                writer.write(answered[-1])

    async def run():
        clock = SystemClock()
        sender = OrderSender(LeaseGuard(clock, lambda: clock.now() + 10.0))
        async with loopback_server(serve) as address:
            return [await sender.read_state(address) for _ in range(2)]

    states = asyncio.run(run())
    assert [state.last_order for state in states] == ["o0", "o1"]
