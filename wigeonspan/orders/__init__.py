"""Orders to engines: load a model or adapter, change the role, or withdraw.

The task, the sender and the lease guard are in ``wigeonspan.orders.tasks``.
"""

from wigeonspan.orders._controller import OrderController
from wigeonspan.orders._effects import (
    Commit,
    Effect,
    FleetView,
    ReadState,
    SendOrder,
    SendOutcome,
    SendResult,
)
from wigeonspan.orders._messages import (
    CloseOrder,
    OpenedOrder,
    OpenOrder,
    OrderOutcome,
    OrderResult,
    OrderTableSnapshot,
)
from wigeonspan.orders._table import OrderTable
from wigeonspan.orders._view import CatalogReader, StateView

__all__ = [
    "CatalogReader",
    "CloseOrder",
    "Commit",
    "Effect",
    "FleetView",
    "OpenOrder",
    "OpenedOrder",
    "OrderController",
    "OrderOutcome",
    "OrderResult",
    "OrderTable",
    "OrderTableSnapshot",
    "ReadState",
    "SendOrder",
    "SendResult",
    "SendOutcome",
    "StateView",
]
