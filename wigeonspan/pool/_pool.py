"""Idle connections by address."""

import asyncio
from collections import deque
from collections.abc import Callable

from wigeonspan.common import Clock
from wigeonspan.pool._bounds import MOST_BODY_BYTES, BufferBudget
from wigeonspan.pool._connection import Connection
from wigeonspan.pool._exchange import Exchange, ExchangeFailed, FailureKind
from wigeonspan.pool._head import Head

CONNECT_S = 0.4
"""Seconds in which a connection must be made; far over a round trip, and under the
second after which a lost first packet is sent again."""

IDLE_S = 2.0
"""Seconds after which an idle connection is not used again when the target states no
longer time; targets close idle connections at times of their own."""

IDLE_SHARE = 0.5
"""Share of the idle time stated by a target within which a connection is used again;
the rest covers the way of both ends' clocks and packets."""


class ConnectionPool:
    """Connections to targets and to other processes.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._buffers = BufferBudget()
        self._idle: dict[str, deque[Connection]] = {}
        self._opened = 0

    @property
    def opened(self) -> int:
        """Number of connections that were opened."""
        return self._opened

    @property
    def buffered_bytes(self) -> int:
        """Bytes of answers that are kept now."""
        return self._buffers.total

    async def send(
        self,
        address: str,
        request: bytes,
        *,
        accepts: Callable[[Head], bool] = lambda head: True,
        fresh: bool = False,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Exchange:
        """Send a request once.

        Parameters
        ----------
        address : str
            IP address and port.
        request : bytes
            Whole request.
        accepts : callable
            Tells from a head whether it answers this request.
        fresh : bool
            Whether to open a connection, which a target cannot have closed for being
            idle while the request is on its way.
        may_send : callable
            Asked when the connection is there, right before the request is written.

        Raises
        ------
        ExchangeFailed
            With ``sent`` false when no connection could be made, or when the request
            must not be sent any more.
        """
        connection = None if fresh else self._take_idle(address)
        if connection is None:
            connection = await self._connect(address)
        if not may_send():
            connection.close()
            raise ExchangeFailed(FailureKind.WITHHELD, sent=False)
        return connection.start(request, accepts)

    def release(self, address: str, exchange: Exchange) -> None:
        """Take a connection back after its exchange; it is closed if not usable."""
        connection = exchange.connection
        exchange.drop()
        if exchange.done and connection.usable:
            self._idle.setdefault(address, deque()).append(connection)
        else:
            exchange.abort()
            connection.close()

    def forget(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.close()

    def drop_idle(self) -> None:
        """Close connections that have been idle for too long."""
        for address in list(self._idle):
            kept = deque(c for c in self._idle[address] if self._is_fit(c))
            for connection in set(self._idle[address]) - set(kept):
                connection.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.forget(address)

    async def fetch(
        self,
        address: str,
        request: bytes,
        timeout_s: float,
        *,
        fresh: bool = False,
        may_send: Callable[[], bool] = lambda: True,
        most_bytes: int = MOST_BODY_BYTES,
    ) -> tuple[Head, bytes]:
        """Send a request and return its whole answer.

        Parameters
        ----------
        fresh : bool
            Whether to use a connection for this request only. Answers without an id
            cannot be told from a late copy of an earlier answer.
        may_send : callable
            Asked right before the request is written.
        most_bytes : int
            Largest body.

        Raises
        ------
        ExchangeFailed
            When there is no whole answer in time.
        """
        exchange = None
        try:
            async with asyncio.timeout(timeout_s):
                exchange = await self.send(
                    address, request, fresh=fresh, may_send=may_send
                )
                head = await exchange.head()
                body = await exchange.read_all(most_bytes)
        except TimeoutError as error:
            raise ExchangeFailed(FailureKind.TIMEOUT, sent=True) from error
        finally:
            if exchange is not None and fresh:
                exchange.drop()
                exchange.connection.close()
            elif exchange is not None:
                self.release(address, exchange)
        return head, body

    def _take_idle(self, address: str) -> Connection | None:
        connections = self._idle.get(address)
        while connections:
            connection = connections.pop()
            if self._is_fit(connection):
                return connection
            connection.close()
        return None

    def _is_fit(self, connection: Connection) -> bool:
        stated = connection.idle_limit_s
        limit = IDLE_S if stated is None else stated * IDLE_SHARE
        return connection.usable and self._clock.now() - connection.idle_since < limit

    async def _connect(self, address: str) -> Connection:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_S):
                _, connection = await loop.create_connection(
                    lambda: Connection(self._clock, self._buffers), host, int(port)
                )
        except TimeoutError as error:
            raise ExchangeFailed(FailureKind.TIMEOUT, sent=False) from error
        except (OSError, ValueError) as error:
            raise ExchangeFailed(FailureKind.CONNECT, sent=False) from error
        self._opened += 1
        return connection
