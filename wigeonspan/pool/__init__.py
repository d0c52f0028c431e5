"""HTTP client that never retries a request on its own."""

from wigeonspan.pool._bounds import BufferBudget, ResponseLimit
from wigeonspan.pool._exchange import Exchange, ExchangeError, FailureKind
from wigeonspan.pool._head import Head, encode_message, encode_request
from wigeonspan.pool._pool import ConnectionPool

__all__ = [
    "ResponseLimit",
    "BufferBudget",
    "ConnectionPool",
    "Exchange",
    "ExchangeError",
    "FailureKind",
    "Head",
    "encode_message",
    "encode_request",
]
