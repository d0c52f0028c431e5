"""Relay of datagrams between many entries, at a control host.

An entry of a large fleet would fill its own link with copies for all others. It sends
one copy to a relay of its failure domain, which bundles what its entries sent within a
few milliseconds. One copy of a bundle goes to each other relay, so that the bytes
between failure domains do not grow with the number of entries.
"""

import asyncio
from collections.abc import Callable
from typing import cast

from wigeonspan.sharing._wire import (
    encode_bundles,
    forwarded_bundle,
    mark_forwarded,
)

RELAY_S = 0.01
"""Seconds that datagrams wait for others; short against the reading of a prompt, and
long enough that entries get a hundred datagrams a second and not thousands."""

MOST_WAITING = 4096
"""Largest number of datagrams that wait; more come only from a fault."""


class Relay(asyncio.DatagramProtocol):
    """Sends what each entry says to all entries.

    Parameters
    ----------
    entries : callable
        Returns the datagram addresses of the live entries that use this relay.
    relays : callable
        Returns the addresses of the other relays in use.
    """

    def __init__(
        self, entries: Callable[[], list[str]], relays: Callable[[], list[str]]
    ) -> None:
        self._entries = entries
        self._relays = relays
        self._waiting: list[bytes] = []
        self._timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.DatagramTransport | None = None

    async def listen(self, address: str) -> None:
        """Bind to an address of this host."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, (host, int(port)))

    def close(self) -> None:
        """Close the socket."""
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the socket."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Queue an entry's datagram; pass another relay's bundle on at once."""
        bundle = forwarded_bundle(data)
        if bundle is not None:
            self._send(bundle, self._entries())
            return
        if len(self._waiting) < MOST_WAITING:
            self._waiting.append(data)
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(RELAY_S, self._flush)

    def _flush(self) -> None:
        self._timer = None
        waiting, self._waiting = self._waiting, []
        entries, relays = self._entries(), self._relays()
        for bundle in encode_bundles(waiting):
            self._send(bundle, entries)
            self._send(mark_forwarded(bundle), relays)

    def _send(self, data: bytes, addresses: list[str]) -> None:
        if self._transport is None:
            return
        for address in addresses:
            host, _, port = address.rpartition(":")
            self._transport.sendto(data, (host, int(port)))
