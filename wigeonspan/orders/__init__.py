"""Orders to engines."""

from wigeonspan.orders._messages import (
    CloseOrder,
    OpenedOrder,
    OpenOrder,
    OrderResult,
)

__all__ = [
    "CloseOrder",
    "OpenOrder",
    "OpenedOrder",
    "OrderResult",
]
