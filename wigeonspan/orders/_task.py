"""Background task that runs the order controller on the leader."""

import asyncio
from collections.abc import Callable
from typing import Any

from wigeonspan.common import Clock, Term, WigeonspanError, encode, part_logger
from wigeonspan.consensus import ReplicatedLog
from wigeonspan.distribution import Distributor
from wigeonspan.orders._controller import OrderController
from wigeonspan.orders._effects import Commit, Effect, ReadState, SendOrder, SendResult
from wigeonspan.orders._guard import LeaseGuard
from wigeonspan.orders._sender import OrderSender
from wigeonspan.orders._table import OrderTable
from wigeonspan.orders._view import CatalogReader, StateView
from wigeonspan.orders._wanted import describe_order

MAX_STEP_INTERVAL_S = 0.1
"""Maximum time between steps; the result of an effect triggers a step immediately."""

_log = part_logger("orders")


class OrdersTask:
    """Runs an order controller for each term in which this host leads.

    Parameters
    ----------
    log : ReplicatedLog
        Log to commit to; its leader lease authorizes sending orders.
    catalog : CatalogReader
        Replicated configuration.
    table : OrderTable
        Replicated table of open orders.
    distributor : callable
        Returns the distributor of the current term, or None when not leading.
    clock : Clock
        Source of time; the clock by which the log measures its lease.
    """

    def __init__(
        self,
        log: ReplicatedLog,
        catalog: CatalogReader,
        table: OrderTable,
        distributor: Callable[[], Distributor | None],
        clock: Clock,
    ) -> None:
        self._replicated_log = log
        self._catalog = catalog
        self._table = table
        self._distributor = distributor
        self._clock = clock
        self._sender = OrderSender(LeaseGuard(clock, lambda: log.lease_valid_until))
        self._controller: OrderController | None = None
        self._term = Term(0)
        self._running: set[asyncio.Task[None]] = set()
        self._wake = asyncio.Event()

    async def run(self) -> None:
        """Run until cancelled."""
        try:
            while True:
                self._step()
                await self._wait_for_wake()
        finally:
            self._stop()

    def _step(self) -> None:
        distributor = self._distributor()
        now = self._clock.now()
        if (
            distributor is None
            or not self._replicated_log.is_leader
            or now >= self._replicated_log.lease_valid_until
            or distributor.term != self._replicated_log.term
        ):
            self._stop()
            return
        if self._controller is None or self._term != distributor.term:
            self._stop()
            view = StateView(self._catalog, self._table, distributor)
            self._controller = OrderController(view, now)
            self._term = distributor.term
        for effect in self._controller.step(now, self._clock.wall_ms()):
            self._spawn(self._controller, effect)

    def _stop(self) -> None:
        """Discard the controller and cancel its pending effects."""
        self._controller = None
        for task in self._running:
            task.cancel()

    def _spawn(self, controller: OrderController, effect: Effect) -> None:
        task = asyncio.create_task(self._execute(controller, effect))
        self._running.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            # The outcome of the effect is unknown, so start over with a new controller,
            # which reads the engines' states again.
            _log.opt(exception=task.exception()).error(
                "An effect of the order controller failed; restarting the controller."
            )
            self._controller = None
        self._wake.set()

    async def _execute(self, controller: OrderController, effect: Effect) -> None:
        if isinstance(effect, ReadState):
            state = await self._sender.read_state(effect.address)
            controller.on_read(effect.engine, state, self._clock.now())
        elif isinstance(effect, SendOrder):
            await self._send(controller, effect)
        else:
            result = await self._commit(effect)
            order = controller.on_committed(effect, result, self._clock.now())
            if order is not None:
                await self._send(controller, order)

    async def _commit(self, commit: Commit) -> Any:
        try:
            _, result = await self._replicated_log.propose(encode(commit.command))
        except WigeonspanError as error:
            _log.warning("{}: cannot commit a command: {}.", commit.engine, error)
            return None
        return result

    async def _send(self, controller: OrderController, order: SendOrder) -> None:
        request = order.request
        description = describe_order(request)
        _log.info(
            "{}: sending order {}: {}.", order.engine, request.order_id, description
        )
        sent = await self._sender.send(order.address, request)
        if sent.result is not SendResult.ANSWERED:
            result = sent.result.value
            _log.warning("Order {}: {}: {}.", request.order_id, result, sent.message)
        controller.on_sent(order.engine, sent, self._clock.now())

    async def _wait_for_wake(self) -> None:
        try:
            await asyncio.wait_for(self._wake.wait(), MAX_STEP_INTERVAL_S)
        except TimeoutError:
            return
        finally:
            self._wake.clear()
