"""Parts of the package that do I/O; a separate module because they import tornado."""

from wigeonspan.orders._guard import LeaseGuard, LeaseLost
from wigeonspan.orders._sender import OrderSender
from wigeonspan.orders._task import OrdersTask

__all__ = ["LeaseGuard", "LeaseLost", "OrderSender", "OrdersTask"]
