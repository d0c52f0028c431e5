"""HTTP client that never retries a request on its own."""

from wigeonspan.pool._bounds import Bound, BufferBudget
from wigeonspan.pool._exchange import Exchange, ExchangeFailed, FailureKind
from wigeonspan.pool._head import Head, encode_message, encode_request
from wigeonspan.pool._pool import ConnectionPool

__all__ = [
    "Bound",
    "BufferBudget",
    "ConnectionPool",
    "Exchange",
    "ExchangeFailed",
    "FailureKind",
    "Head",
    "encode_message",
    "encode_request",
]
