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
    encode_groups,
    forwarded_bundle,
    mark_forwarded,
)

SHORTEST_WAIT_S = 0.01
"""Shortest time in seconds that datagrams wait for others; short against the reading of
a prompt."""

WAIT_PER_ENTRY_S = 0.00025
"""Seconds of waiting for each entry of the fleet. What all entries handle grows with
the square of their number at a fixed rate of datagrams; this keeps the datagrams of the
whole fleet at some four thousand a second."""

LONGEST_WAIT_S = 0.06
"""Longest time in seconds that datagrams wait; about half of what a usual prompt takes
to be read, so that entries still see each other's work."""

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
        self._forwarded: list[bytes] = []
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
        """Queue an entry's datagram, or another relay's bundle."""
        bundle = forwarded_bundle(data)
        queue = self._waiting if bundle is None else self._forwarded
        if len(queue) < MOST_WAITING:
            queue.append(data if bundle is None else bundle)
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self._wait_s(), self._flush)

    def _wait_s(self) -> float:
        """Return how long datagrams wait, from a guess at the number of all entries."""
        fleet = len(self._entries()) * (1 + len(self._relays()))
        return min(max(SHORTEST_WAIT_S, WAIT_PER_ENTRY_S * fleet), LONGEST_WAIT_S)

    def _flush(self) -> None:
        self._timer = None
        waiting, self._waiting = self._waiting, []
        forwarded, self._forwarded = self._forwarded, []
        bundles = encode_bundles(waiting)
        entries, relays = self._entries(), self._relays()
        for bundle in bundles:
            self._send(mark_forwarded(bundle), relays)
        for group in encode_groups([*bundles, *forwarded]):
            self._send(group, entries)

    def _send(self, data: bytes, addresses: list[str]) -> None:
        if self._transport is None:
            return
        for address in addresses:
            host, _, port = address.rpartition(":")
            self._transport.sendto(data, (host, int(port)))
