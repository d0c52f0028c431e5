"""Adapters of the orders, apart from the cores because they load tornado."""

from wigeonspan.orders._guard import Guard, LeaseLost
from wigeonspan.orders._sender import OrderSender
from wigeonspan.orders._task import OrdersTask

__all__ = ["Guard", "LeaseLost", "OrderSender", "OrdersTask"]
