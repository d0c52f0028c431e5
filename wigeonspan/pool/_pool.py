"""Pool of idle connections by address."""

import asyncio
from collections import deque
from collections.abc import Callable

from wigeonspan.common import Clock, TrafficCounter, split_address
from wigeonspan.pool._bounds import MAX_BODY_BYTES, BufferBudget
from wigeonspan.pool._connection import Connection
from wigeonspan.pool._exchange import Exchange, ExchangeError, FailureKind
from wigeonspan.pool._head import Head

CONNECT_TIMEOUT_S = 0.4
"""Seconds in which a connection must be established; far more than a round trip, and
less than the second after which TCP retransmits a lost SYN."""

DEFAULT_IDLE_LIMIT_S = 2.0
"""Seconds after which an idle connection is not reused when the target advertises no
idle timeout; targets close idle connections after a time of their own."""

IDLE_LIMIT_FRACTION = 0.5
"""Fraction of the idle timeout advertised by a target during which a connection is
reused; the rest allows for clock differences and packets in transit."""


class ConnectionPool:
    """Reuses connections to targets and to other processes.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    traffic : TrafficCounter
        Bytes that the connections have carried.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._buffers = BufferBudget()
        self.traffic = TrafficCounter()
        self._idle: dict[str, deque[Connection]] = {}
        self._opened = 0

    @property
    def opened_connections(self) -> int:
        """Number of connections opened since the pool was created."""
        return self._opened

    @property
    def buffered_bytes(self) -> int:
        """Number of response bytes that are buffered now."""
        return self._buffers.total

    async def send(
        self,
        address: str,
        request: bytes,
        *,
        request_id: str = "",
        accepts: Callable[[Head], bool] = lambda head: True,
        keeps_connection: Callable[[Head], bool] = lambda head: True,
        new_connection: bool = False,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Exchange:
        """Send a request once, without retries.

        Parameters
        ----------
        address : str
            IP address and port.
        request : bytes
            Complete request.
        request_id : str
            Id that responses to this request bear; empty for none. A connection on
            which a request with the same id was sent is not used, because a late copy
            of the earlier response cannot be told from the response to this one.
        accepts : callable
            Returns whether a response head belongs to this request.
        keeps_connection : callable
            Returns whether the connection may carry another request after a response.
        new_connection : bool
            Whether to open a new connection. A target may close an idle one while
            the request is on its way.
        may_send : callable
            Called once a connection is available, right before the request is
            written; the request is not sent when it returns false.

        Raises
        ------
        ExchangeError
            With ``sent`` false when no connection could be established, or with
            ``WITHHELD`` when ``may_send`` returned false.
        """
        connection = None if new_connection else self._take_idle(address, request_id)
        if connection is None:
            connection = await self._connect(address)
        if not may_send():
            connection.close()
            raise ExchangeError(FailureKind.WITHHELD, sent=False)
        return connection.start(request, request_id, accepts, keeps_connection)

    def release(self, address: str, exchange: Exchange) -> None:
        """Return a connection to the pool after its exchange, or close it.

        The connection is closed when the exchange is not done or no further request
        may be sent on it.
        """
        connection = exchange.connection
        exchange.discard_body()
        if exchange.done and connection.usable:
            self._idle.setdefault(address, deque()).append(connection)
        else:
            exchange.abort()
            connection.close()

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.close()

    def close_expired(self) -> None:
        """Close idle connections that may not be reused any more."""
        for address in list(self._idle):
            reusable = deque(c for c in self._idle[address] if self._is_reusable(c))
            for connection in set(self._idle[address]) - set(reusable):
                connection.close()
            if reusable:
                self._idle[address] = reusable
            else:
                del self._idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.close_idle(address)

    async def fetch(
        self,
        address: str,
        request: bytes,
        timeout_s: float,
        *,
        new_connection: bool = False,
        may_send: Callable[[], bool] = lambda: True,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> tuple[Head, bytes]:
        """Send a request and return its complete response.

        Parameters
        ----------
        timeout_s : float
            Longest time for the complete exchange in seconds.
        new_connection : bool
            Whether to use a connection for this request only. A response without an
            id cannot be distinguished from a late copy of an earlier response.
        may_send : callable
            Called right before the request is written; see :meth:`send`.
        max_body_bytes : int
            Largest number of bytes that the body may occupy.

        Raises
        ------
        ExchangeError
            When there is no complete response in time.
        """
        exchange = None
        try:
            async with asyncio.timeout(timeout_s):
                exchange = await self.send(
                    address, request, new_connection=new_connection, may_send=may_send
                )
                head = await exchange.head()
                body = await exchange.read_all(max_body_bytes)
        except TimeoutError as error:
            raise ExchangeError(FailureKind.TIMEOUT, sent=True) from error
        finally:
            if exchange is not None and new_connection:
                exchange.discard_body()
                exchange.connection.close()
            elif exchange is not None:
                self.release(address, exchange)
        return head, body

    def _take_idle(self, address: str, request_id: str) -> Connection | None:
        connections = self._idle.get(address, deque())
        passed_over: list[Connection] = []
        try:
            while connections:
                connection = connections.pop()
                if not self._is_reusable(connection):
                    connection.close()
                elif connection.has_sent(request_id):
                    passed_over.append(connection)
                else:
                    return connection
            return None
        finally:
            connections.extend(reversed(passed_over))

    def _is_reusable(self, connection: Connection) -> bool:
        advertised_s = connection.idle_limit_s
        limit = (
            DEFAULT_IDLE_LIMIT_S
            if advertised_s is None
            else advertised_s * IDLE_LIMIT_FRACTION
        )
        return connection.usable and self._clock.now() - connection.idle_since < limit

    async def _connect(self, address: str) -> Connection:
        loop = asyncio.get_running_loop()
        try:
            host, port = split_address(address)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: Connection(self._clock, self._buffers, self.traffic),
                    host,
                    port,
                )
        except TimeoutError as error:
            raise ExchangeError(FailureKind.TIMEOUT, sent=False) from error
        except (OSError, ValueError) as error:
            raise ExchangeError(FailureKind.CONNECT, sent=False) from error
        self._opened += 1
        return connection
