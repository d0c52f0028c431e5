"""Orders to engines."""

from wigeonspan.orders._messages import (
    CloseOrder,
    OpenedOrder,
    OpenOrder,
    OrderOutcome,
    OrderResult,
    OrderTableSnapshot,
)
from wigeonspan.orders._table import OrderTable

__all__ = [
    "CloseOrder",
    "OpenOrder",
    "OpenedOrder",
    "OrderOutcome",
    "OrderResult",
    "OrderTable",
    "OrderTableSnapshot",
]
