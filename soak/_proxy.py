"""Loopback proxies before hosts and targets, and what can go wrong on them."""

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import cast

from msgspec import Struct

MOST_DELAY_S = 0.4
"""Longest delay in seconds that a link adds in each direction."""

ORDER_S = 1e-6
"""Seconds between two steps of one side; the event loop may swap steps that are due at
the same time."""

RESET = struct.pack("ii", 1, 0)
"""Value of SO_LINGER that makes a close send a reset."""


class LinkState(Struct):
    """What is wrong with a link now.

    Parameters
    ----------
    cut_in, cut_out : bool
        Whether bytes towards the host, or from it, are swallowed.
    resets : bool
        Whether new connections are reset.
    """

    delay_s: float = 0.0
    cut_in: bool = False
    cut_out: bool = False
    resets: bool = False


class Link:
    """Proxies of one host; all of them share what is wrong.

    Parameters
    ----------
    name : str
        Name in the report.
    outside, inside : str
        Address that others use, and the one on which the process listens.
    """

    def __init__(self, name: str, outside: str, inside: str) -> None:
        self.name = name
        self.state = LinkState()
        self._outside = outside
        self._inside = inside
        self._servers: list[asyncio.Server] = []
        self._datagrams: list[asyncio.BaseTransport] = []
        self._pairs: set[_Pair] = set()

    async def forward(self, port: int) -> None:
        """Forward connections to a port."""
        loop = asyncio.get_running_loop()

        def accept() -> asyncio.Protocol:
            return _Pair(self, (self._inside, port)).outer

        self._servers.append(await loop.create_server(accept, self._outside, port))

    async def forward_datagrams(self, port: int) -> None:
        """Forward datagrams to a port."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _Datagrams(self.state, (self._inside, port)),
            (self._outside, port),
        )
        self._datagrams.append(transport)

    def reset(self) -> None:
        """Reset all open connections."""
        for pair in list(self._pairs):
            pair.reset()

    def silence(self) -> None:
        """Let all open connections go silent for good, without a close."""
        for pair in list(self._pairs):
            pair.silent = True

    def close(self) -> None:
        """Stop forwarding."""
        for server in self._servers:
            server.close()
        for transport in self._datagrams:
            transport.close()
        self.reset()

    def note_open(self, pair: "_Pair") -> None:
        """Note a connection."""
        self._pairs.add(pair)

    def note_closed(self, pair: "_Pair") -> None:
        """Forget a connection."""
        self._pairs.discard(pair)


class _Pair:
    """One connection through a proxy: the side of the caller and that of the host."""

    def __init__(self, link: Link, inside: tuple[str, int]) -> None:
        self.silent = False
        self._lost_in = False
        self._lost_out = False
        self._link = link
        self._inside = inside
        self.outer = _Side(self._outer_made, self._to_host, self.end)
        self.inner = _Side(lambda: None, self._from_host, self.end)

    def _outer_made(self) -> None:
        self._link.note_open(self)
        if self._link.state.resets:
            self.reset()
            return
        self._connecting = asyncio.ensure_future(self._connect())

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: self.inner, *self._inside)
        except OSError:
            # Nobody listens there: the caller gets what it would get without a proxy.
            self.reset()
            return
        for data in self.outer.waiting:
            self.inner.write(data)
        self.outer.waiting.clear()

    def _to_host(self, data: bytes) -> None:
        # TCP hands nothing over after bytes that were lost.
        self._lost_in = self._lost_in or self.silent or self._link.state.cut_in
        if not self._lost_in:
            self._later(self.inner, self._write_inner, data)

    def _write_inner(self, data: bytes) -> None:
        if self.inner.transport is None:
            self.outer.waiting.append(data)
        else:
            self.inner.write(data)

    def _from_host(self, data: bytes) -> None:
        self._lost_out = self._lost_out or self.silent or self._link.state.cut_out
        if not self._lost_out:
            self._later(self.outer, self.outer.write, data)

    def _later(
        self, side: "_Side", step: Callable[..., None], *arguments: bytes
    ) -> None:
        """Do a step after the link's delay, but not before earlier steps of a side."""
        loop = asyncio.get_running_loop()
        at = max(loop.time() + self._link.state.delay_s, side.busy_until)
        if at > loop.time():
            side.busy_until = at + ORDER_S
            loop.call_at(at, step, *arguments)
        else:
            step(*arguments)

    def end(self) -> None:
        """Pass the end of one side on to the other."""
        state = self._link.state
        cut = self.silent or state.cut_in or state.cut_out
        if cut or self._lost_in or self._lost_out:
            # A cut link passes no end on, either.
            return
        side = max(self.outer, self.inner, key=lambda each: each.busy_until)
        self._later(side, self._close)

    def _close(self) -> None:
        self._link.note_closed(self)
        for side in (self.outer, self.inner):
            if side.transport is not None:
                side.transport.close()

    def reset(self) -> None:
        """Reset both sides."""
        self._link.note_closed(self)
        for side in (self.outer, self.inner):
            side.reset()


class _Side(asyncio.Protocol):
    """One side of a connection."""

    def __init__(
        self,
        made: Callable[[], None],
        receive: Callable[[bytes], None],
        end: Callable[[], None],
    ) -> None:
        self.transport: asyncio.Transport | None = None
        self.waiting: list[bytes] = []
        self.busy_until = 0.0
        self._made = made
        self._receive = receive
        self._end = end

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self._made()

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
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.transport.abort()


class _Datagrams(asyncio.DatagramProtocol):
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
