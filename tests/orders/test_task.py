"""Order sender and task with stand-in engines over loopback connections."""

import asyncio
import json
import socket

import pytest

from standins.engine import (
    EngineFaults,
    EngineSettings,
    OrderCrash,
    StandinEngine,
    answer_text,
)
from tests.orders.harness import Harness
from wigeonspan.catalog import Engine, EnginePhase, Role, SetEngineState
from wigeonspan.common import SystemClock, decode
from wigeonspan.controld._commands import Command
from wigeonspan.distribution import Distributor, SyncRequest
from wigeonspan.engines import OrderAction, OrderRequest
from wigeonspan.http import make_client
from wigeonspan.orders import SendResult
from wigeonspan.orders._sender import _Upload
from wigeonspan.orders.tasks import LeaseGuard, OrderSender, OrdersTask

ORDER = OrderRequest("e-7", OrderAction.CHANGE_ROLE, 7, role=Role.DECODE)


def send(settings=None, faults=None, lease_s=5.0, orders=(ORDER,)):
    """Send orders in sequence; return the last result and all orders received."""

    async def run():
        clock = SystemClock()
        until = clock.now() + lease_s
        sender = OrderSender(LeaseGuard(clock, lambda: until))
        engine = StandinEngine(settings or EngineSettings(order_s=0.0))
        engine.start()
        engine.set_faults(faults or EngineFaults())
        for order in orders:
            sent = await sender.send(engine.address, order)
        await engine.stop()
        return sent, engine.orders

    return asyncio.run(run())


STALE_ORDER = OrderRequest("e-6", OrderAction.CHANGE_ROLE, 6, role=Role.PREFILL)


@pytest.mark.parametrize(
    ("send_args", "result", "arrivals"),
    [
        ({}, SendResult.ANSWERED, 1),
        ({"lease_s": 0.1}, SendResult.NOT_SENT, 0),
        ({"faults": EngineFaults(crash_in_order=OrderCrash.AFTER)}, "unknown", 1),
        (
            {
                "settings": EngineSettings(checks_fence=True),
                "orders": (ORDER, STALE_ORDER),
            },
            SendResult.REFUSED,
            2,
        ),
    ],
)
def test_not_sent_is_reported_only_when_it_is_certain(send_args, result, arrivals):
    """NOT_SENT must be certain, or the controller would not wait for an order that may
    still arrive."""
    sent, received = send(**send_args)
    assert sent.result is SendResult(result)
    assert len(received) == arrivals
    if sent.result is SendResult.ANSWERED:
        assert (sent.state.last_order, sent.state.role) == ("e-7", Role.DECODE)


def test_refused_connection_counts_as_not_sent():
    """An engine that is down must not cause the wait that follows a lost response."""
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{unused.getsockname()[1]}"

        async def run():
            sender = OrderSender(
                LeaseGuard(SystemClock(), lambda: SystemClock().now() + 5)
            )
            return await sender.send(address, ORDER), await sender.read_state(address)

        sent, state = asyncio.run(run())
    assert sent.result is SendResult.NOT_SENT and state is None


def test_unsent_bytes_are_dropped_after_the_delivery_bound():
    """Without TCP_USER_TIMEOUT, an order could arrive minutes after the engine's state
    was read back."""
    with socket.socket() as connection:
        _Upload(0)._set_socket_options(connection.fileno(), 0)
        option = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        assert connection.getsockopt(*option) == 2000


class LocalLog:
    """Log of a single leader that applies commands immediately."""

    is_leader, term = True, 1

    def __init__(self, harness):
        self._harness = harness

    @property
    def lease_valid_until(self):
        return SystemClock().now() + 1.0

    async def propose(self, command):
        harness, message = self._harness, decode(command, Command)
        harness.index += 1
        is_phase = isinstance(message, SetEngineState)
        state = harness.catalog if is_phase else harness.table
        return harness.index, state.apply(harness.index, message)


def test_role_change_waits_for_an_urgent_stream():
    """A change of role must wait for an urgent stream of the same engine.

    The task once read the state of the wrong engine before an order.
    """
    prompt = "a desk question"
    harness = Harness(engines=0)
    clock = SystemClock()

    def confirm(distributor):
        report = SyncRequest(
            "entry", "a", "", "d", harness.catalog.version, False, 0.5, {}, [], [], {}
        )
        distributor.sync(report, clock.now())

    async def until(condition, distributor):
        while not condition():
            confirm(distributor)
            await asyncio.sleep(0.02)

    def serves(role):
        engine_state = harness.catalog.engine("e0")
        return engine_state.phase is EnginePhase.SERVING and engine_state.role is role

    async def run():
        settings = EngineSettings(
            name="e0", model="m", token_interval_s=0.01, order_s=0.1
        )
        engine = StandinEngine(settings)
        engine.start()
        harness.put(Engine("e0", engine.address, "d", False, "s"))
        distributor = Distributor(harness.catalog, 1, clock.now() - 10.0)
        log = LocalLog(harness)
        task = OrdersTask(
            log, harness.catalog, harness.table, lambda: distributor, clock
        )
        running = asyncio.create_task(task.run())
        await until(lambda: serves(Role.MIXED), distributor)
        body = {"model": "m", "prompt": prompt, "max_tokens": 100}
        body["wigeonspan"] = {"attempt": "a", "priority": "desk", "deadline_ms": 9000}
        url = f"http://{engine.address}/v1/completions"
        request = make_client(1).fetch(url, method="POST", body=json.dumps(body))
        while not engine.batch.running:
            await asyncio.sleep(0.01)
        harness.pin("e0", Role.DECODE)
        answer = json.loads((await request).body)
        assert not engine.orders
        await until(lambda: serves(Role.DECODE), distributor)
        running.cancel()
        await engine.stop()
        return answer["choices"][0]["text"], engine

    text, engine = asyncio.run(run())
    assert text == answer_text(prompt, 100)
    assert engine.cut_urgent == 0 and engine.role is Role.DECODE
