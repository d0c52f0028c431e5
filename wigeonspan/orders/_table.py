"""State machine of the open orders."""

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
    """Replicated table of open orders, at most one per engine.

    The fencing token and identifier of an order come from the log index of the command
    that opened it. They increase with each order, whichever leader opens it.
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
            Command that opens or closes an order.

        Returns
        -------
        OrderOutcome
            Rejected when another order of the engine is already open, or when the
            order to close is not open.
        """
        if isinstance(command, OpenOrder):
            return self._open(index, command)
        return self._close(command)

    def snapshot(self) -> OrderTableSnapshot:
        """Return the complete state."""
        return OrderTableSnapshot([self._opened[name] for name in sorted(self._opened)])

    def restore(self, snapshot: OrderTableSnapshot) -> None:
        """Replace the state with that of a snapshot."""
        self._opened = {order.engine: order for order in snapshot.opened}

    def _open(self, index: LogIndex, command: OpenOrder) -> OrderOutcome:
        current = self._opened.get(command.engine)
        if current is not None:
            order_id = current.request.order_id
            return OrderOutcome(False, current, f"order {order_id} is open")
        request = structs.replace(
            command.request, order_id=f"{command.engine}-{index}", fence=int(index)
        )
        order = OpenedOrder(command.engine, request, command.reason, command.wall_ms)
        self._opened[command.engine] = order
        return OrderOutcome(True, order)

    def _close(self, command: CloseOrder) -> OrderOutcome:
        current = self._opened.get(command.engine)
        if current is None or current.request.order_id != command.order_id:
            return OrderOutcome(False, current, f"order {command.order_id} is not open")
        del self._opened[command.engine]
        return OrderOutcome(True, current)
