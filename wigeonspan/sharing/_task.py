"""Sending and receiving of datagrams between entries."""

import asyncio
from collections.abc import Callable
from typing import cast

from wigeonspan.common import HostId
from wigeonspan.sharing._messages import Event, Packet
from wigeonspan.sharing._wire import (
    LARGEST_BYTES,
    BadDatagram,
    decode_datagram,
    encode_packet,
)

BATCH_S = 0.001
"""Seconds that events wait for others; requests arrive in clumps, and an entry that
hears late sends its own to the same engine."""

PACKET_EVENTS = 24
"""Most events in a datagram; with three parts each they fit a usual frame or two."""

MOST_DIRECT = 16
"""Largest number of other entries that get a datagram each; with more of them one copy
goes to the relay, since a small link would spend its time on copies."""


class PeerLink(asyncio.DatagramProtocol):
    """Datagrams to and from the other entries.

    Parameters
    ----------
    host : HostId
        This entry.
    receive : callable
        Takes the sender and each event.
    note_bad : callable
        Takes the reason why a datagram could not be read.
    """

    def __init__(
        self,
        host: HostId,
        receive: Callable[[HostId, Event], None],
        note_bad: Callable[[str], None],
    ) -> None:
        self._host = host
        self._receive = receive
        self._note_bad = note_bad
        self._peers: list[tuple[str, int]] = []
        self._relay: tuple[str, int] | None = None
        self._events: list[Event] = []
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def listen(self, address: str) -> None:
        """Bind to an address of this host."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, (host, int(port)))

    def set_peers(self, addresses: list[str]) -> None:
        """Note the addresses of the other entries."""
        split = (address.rpartition(":") for address in addresses)
        self._peers = [(host, int(port)) for host, _, port in split]

    def set_relay(self, address: str) -> None:
        """Note the address of the relay; empty when there is none."""
        host, _, port = address.rpartition(":")
        self._relay = (host, int(port)) if address else None

    def tell(self, event: Event) -> None:
        """Queue an event for all other entries."""
        if not self._peers:
            return
        self._events.append(event)
        if len(self._events) >= PACKET_EVENTS:
            self._flush()
        elif self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(BATCH_S, self._flush)

    def close(self) -> None:
        """Send what waits and close the socket."""
        self._flush()
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the socket."""
        # asyncio's own datagram transport is not a subclass of DatagramTransport.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hand each event of a datagram over."""
        try:
            packets = decode_datagram(data)
        except BadDatagram as error:
            self._note_bad(str(error))
            return
        for packet in packets:
            if packet.host == self._host:
                continue
            for event in packet.events:
                self._receive(packet.host, event)

    def error_received(self, exc: Exception) -> None:
        """Report a datagram that could not be sent; the next beat corrects peers."""
        self._note_bad(str(exc))

    def _flush(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self._events or self._transport is None:
            return
        packet, self._events = Packet(self._host, self._events), []
        data = encode_packet(packet)
        if len(data) > LARGEST_BYTES:
            self._note_bad(f"a datagram of {len(data)} bytes is too large")
            return
        if len(self._peers) <= MOST_DIRECT:
            for peer in self._peers:
                self._transport.sendto(data, peer)
        elif self._relay is not None:
            self._transport.sendto(data, self._relay)
