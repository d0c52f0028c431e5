"""Replicated table of open orders."""

from collections.abc import Mapping
from types import MappingProxyType

from msgspec import structs

from wigeonspan.common import EngineId, LogIndex
from wigeonspan.orders._messages import (
    CloseOrder,
    OpenedOrder,
    OpenOrder,
    OrderOutcome,
    OrderTableSnapshot,
)


class OrderTable:
    """Open orders, at most one per engine, as a state machine.

    Fencing token and identifier of an order come from the log index of the command
    that opened it, so they only grow, whichever leader opens the next one.
    """

    def __init__(self) -> None:
        self._opened: dict[EngineId, OpenedOrder] = {}

    @property
    def opened(self) -> Mapping[EngineId, OpenedOrder]:
        """Open orders by engine."""
        return MappingProxyType(self._opened)

    def apply(self, index: LogIndex, command: OpenOrder | CloseOrder) -> OrderOutcome:
        """Apply a committed command.

        Parameters
        ----------
        index : LogIndex
            Log index of the command.
        command : OpenOrder or CloseOrder
            What to open or close.

        Returns
        -------
        OrderOutcome
            Not accepted when another order is open, or when the order to close is
            not the open one.
        """
        if isinstance(command, OpenOrder):
            return self._open(index, command)
        return self._close(command)

    def snapshot(self) -> OrderTableSnapshot:
        """Return the whole state."""
        return OrderTableSnapshot([self._opened[name] for name in sorted(self._opened)])

    def restore(self, snapshot: OrderTableSnapshot) -> None:
        """Replace the state with a snapshot."""
        self._opened = {order.engine: order for order in snapshot.opened}

    def _open(self, index: LogIndex, command: OpenOrder) -> OrderOutcome:
        present = self._opened.get(command.engine)
        if present is not None:
            order_id = present.request.order_id
            return OrderOutcome(False, present, f"order {order_id} is open")
        request = structs.replace(
            command.request, order_id=f"{command.engine}-{index}", fence=int(index)
        )
        order = OpenedOrder(command.engine, request, command.reason, command.wall_ms)
        self._opened[command.engine] = order
        return OrderOutcome(True, order)

    def _close(self, command: CloseOrder) -> OrderOutcome:
        present = self._opened.get(command.engine)
        if present is None or present.request.order_id != command.order_id:
            return OrderOutcome(False, present, f"order {command.order_id} is not open")
        del self._opened[command.engine]
        return OrderOutcome(True, present)
