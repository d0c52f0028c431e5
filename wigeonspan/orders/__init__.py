"""Orders to engines.

The task, the sender and the guard are in ``wigeonspan.orders.tasks``.
"""

from wigeonspan.orders._effects import (
    Commit,
    Effect,
    FleetView,
    ReadState,
    SendOrder,
    SendResult,
    Sent,
)
from wigeonspan.orders._keeper import OrderKeeper
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
    "OrderKeeper",
    "OrderOutcome",
    "OrderResult",
    "OrderTable",
    "OrderTableSnapshot",
    "ReadState",
    "SendOrder",
    "SendResult",
    "Sent",
    "StateView",
]
