"""Loopback proxies in front of hosts and targets, which can impair their traffic."""

import asyncio
import socket
import struct
import time
from collections.abc import Callable
from typing import cast

from msgspec import Struct

MAX_DELAY_S = 0.4
"""Largest delay in seconds that a link adds in each direction."""

ORDERING_GAP_S = 1e-6
"""Seconds between two delayed calls for one side; the event loop may swap calls that
are due at the same time."""

RESET_LINGER = struct.pack("ii", 1, 0)
"""Value of SO_LINGER that makes a close send a TCP reset."""


class LinkState(Struct):
    """Current impairment of a link.

    Parameters
    ----------
    delay_s : float
        Seconds by which bytes are delayed in each direction.
    cut_in, cut_out : bool
        Whether bytes towards the host, or from it, are dropped.
    resets : bool
        Whether new connections are reset.
    cut_request : bytes
        Beginning of the requests whose connections are cut towards the host; empty for
        none.
    """

    delay_s: float = 0.0
    cut_in: bool = False
    cut_out: bool = False
    resets: bool = False
    cut_request: bytes = b""


class Link:
    """Proxies of all ports of one host, which share an impairment.

    Parameters
    ----------
    name : str
        Name in the report.
    outside, inside : str
        Address that others connect to, and the one on which the process listens.

    Attributes
    ----------
    refused : dict
        Times at which connections found no process listening, by the address and port
        of the caller.
    """

    def __init__(self, name: str, outside: str, inside: str) -> None:
        self.name = name
        self.refused: dict[str, float] = {}
        self.state = LinkState()
        self._outside = outside
        self._inside = inside
        self._servers: list[asyncio.Server] = []
        self._datagrams: list[asyncio.BaseTransport] = []
        self._connections: set[_ProxiedConnection] = set()

    async def forward(self, port: int) -> None:
        """Forward TCP connections to a port."""
        loop = asyncio.get_running_loop()

        def accept() -> asyncio.Protocol:
            return _ProxiedConnection(self, (self._inside, port)).outer

        self._servers.append(await loop.create_server(accept, self._outside, port))

    async def forward_datagrams(self, port: int) -> None:
        """Forward datagrams to a port."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramForwarder(self.state, (self._inside, port)),
            (self._outside, port),
        )
        self._datagrams.append(transport)

    def reset(self) -> None:
        """Reset all open connections."""
        for connection in list(self._connections):
            connection.reset()

    def silence(self) -> None:
        """Drop all further bytes of open connections without closing them."""
        for connection in list(self._connections):
            connection.silent = True

    def close(self) -> None:
        """Stop forwarding."""
        for server in self._servers:
            server.close()
        for transport in self._datagrams:
            transport.close()
        self.reset()

    def add_connection(self, connection: "_ProxiedConnection") -> None:
        """Add an open connection."""
        self._connections.add(connection)

    def remove_connection(self, connection: "_ProxiedConnection") -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)


class _ProxiedConnection:
    """Connection through a proxy, with a side to the caller and a side to the host."""

    def __init__(self, link: Link, inside: tuple[str, int]) -> None:
        self.silent = False
        self._lost_in = False
        self._lost_out = False
        self._link = link
        self._inside = inside
        self.outer = _Side(self._on_outer_connected, self._to_host, self.end)
        self.inner = _Side(lambda: None, self._from_host, self.end)

    def _on_outer_connected(self) -> None:
        self._link.add_connection(self)
        if self._link.state.resets:
            self.reset()
            return
        self._connecting = asyncio.ensure_future(self._connect())

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: self.inner, *self._inside)
        except OSError:
            # No process listens there; without a proxy the caller would be reset, too.
            self._record_refusal()
            self.reset()
            return
        for data in self.outer.unsent:
            self.inner.write(data)
        self.outer.unsent.clear()

    def _record_refusal(self) -> None:
        assert self.outer.transport is not None
        caller = self.outer.transport.get_extra_info("peername")
        if caller is not None:
            self._link.refused["{}:{}".format(*caller)] = time.monotonic()

    def _to_host(self, data: bytes) -> None:
        # TCP delivers no bytes after bytes that were lost.
        state = self._link.state
        cut_request = bool(state.cut_request) and data.startswith(state.cut_request)
        self._lost_in = self._lost_in or self.silent or state.cut_in or cut_request
        if not self._lost_in:
            self._run_delayed(self.inner, self._write_inner, data)

    def _write_inner(self, data: bytes) -> None:
        if self.inner.transport is None:
            self.outer.unsent.append(data)
        else:
            self.inner.write(data)

    def _from_host(self, data: bytes) -> None:
        self._lost_out = self._lost_out or self.silent or self._link.state.cut_out
        if not self._lost_out:
            self._run_delayed(self.outer, self.outer.write, data)

    def _run_delayed(
        self, side: "_Side", function: Callable[..., None], *arguments: bytes
    ) -> None:
        """Call a function after the link's delay, in the order of calls for a side."""
        loop = asyncio.get_running_loop()
        at = max(loop.time() + self._link.state.delay_s, side.busy_until)
        if at > loop.time():
            side.busy_until = at + ORDERING_GAP_S
            loop.call_at(at, function, *arguments)
        else:
            function(*arguments)

    def end(self) -> None:
        """Close the other side after one side was closed, unless bytes were lost."""
        state = self._link.state
        cut = self.silent or state.cut_in or state.cut_out
        if cut or self._lost_in or self._lost_out:
            # A cut link does not forward the end of a connection either.
            return
        side = max(self.outer, self.inner, key=lambda each: each.busy_until)
        self._run_delayed(side, self._close)

    def _close(self) -> None:
        self._link.remove_connection(self)
        for side in (self.outer, self.inner):
            if side.transport is not None:
                side.transport.close()

    def reset(self) -> None:
        """Reset both sides of the connection."""
        self._link.remove_connection(self)
        for side in (self.outer, self.inner):
            side.reset()


class _Side(asyncio.Protocol):
    """One side of a proxied connection.

    Parameters
    ----------
    on_connected, receive, end : callable
        Called when the side is connected, receives bytes, or is closed.
    """

    def __init__(
        self,
        on_connected: Callable[[], None],
        receive: Callable[[bytes], None],
        end: Callable[[], None],
    ) -> None:
        self.transport: asyncio.Transport | None = None
        self.unsent: list[bytes] = []
        self.busy_until = 0.0
        self._on_connected = on_connected
        self._receive = receive
        self._end = end

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self._on_connected()

    def data_received(self, data: bytes) -> None:
        self._receive(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self._end()

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def reset(self) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        stream = self.transport.get_extra_info("socket")
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
        self.transport.abort()


class _DatagramForwarder(asyncio.DatagramProtocol):
    """Forwards datagrams towards a host."""

    def __init__(self, state: LinkState, inside: tuple[str, int]) -> None:
        self._state = state
        self._inside = inside

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # asyncio's own datagram transport is not a subclass of DatagramTransport.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        if not self._state.cut_in:
            loop = asyncio.get_running_loop()
            loop.call_later(
                self._state.delay_s, self._transport.sendto, data, self._inside
            )
