"""Relay of datagrams between entries, run at a control host.

In a large fleet, sending a copy to every other entry would saturate an entry's link.
Instead, it sends one copy to the relay of its failure domain, which bundles all
datagrams that it receives within a few milliseconds. Each other relay gets one copy of
a bundle, so the traffic between failure domains does not grow with the number of
entries that receive it.
"""

import asyncio
from collections.abc import Callable
from typing import cast

from wigeonspan.sharing._addresses import parse_addresses
from wigeonspan.sharing._wire import (
    encode_bundles,
    encode_groups,
    mark_forwarded,
    unwrap_forwarded,
)

MIN_WAIT_S = 0.01
"""Minimum time in seconds that datagrams wait to be bundled; short compared with the
prefill of a prompt."""

WAIT_PER_ENTRY_S = 0.00025
"""Waiting time in seconds per entry of the fleet. At a fixed interval, the number of
datagrams received by all entries grows with the square of the number of entries; this
limits it to about 4000 per second for the complete fleet."""

MAX_WAIT_S = 0.06
"""Maximum time in seconds that datagrams wait; about half of a typical prefill, so that
entries are still informed of each other's work in time."""

MAX_WAITING = 4096
"""Maximum number of waiting datagrams; further ones are dropped. Only a fault causes so
many."""


class Relay(asyncio.DatagramProtocol):
    """Forward the datagrams of each entry to all entries.

    Parameters
    ----------
    entries : callable
        Returns the datagram addresses of the live entries that use this relay.
    relays : callable
        Returns the datagram addresses of the other relays in use.
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
        """Bind the socket to an address of this host."""
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
        """Store the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Queue an entry's datagram, or another relay's bundle."""
        bundle = unwrap_forwarded(data)
        queue = self._waiting if bundle is None else self._forwarded
        if len(queue) < MAX_WAITING:
            queue.append(data if bundle is None else bundle)
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self._wait_s(), self._flush)

    def _wait_s(self) -> float:
        """Return the waiting time in seconds.

        The size of the fleet is estimated from the number of relays and the entries of
        this one.
        """
        fleet_entries = len(self._entries()) * (1 + len(self._relays()))
        return min(max(MIN_WAIT_S, WAIT_PER_ENTRY_S * fleet_entries), MAX_WAIT_S)

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
        for address in parse_addresses(addresses):
            self._transport.sendto(data, address)
