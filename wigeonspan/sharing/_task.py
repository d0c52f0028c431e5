"""Socket that sends and receives the datagrams between entries."""

import asyncio
from collections.abc import Callable
from typing import cast

from wigeonspan.common import HostId, TrafficCounter
from wigeonspan.sharing._addresses import parse_addresses
from wigeonspan.sharing._messages import Event, Packet
from wigeonspan.sharing._wire import (
    MAX_DATAGRAM_BYTES,
    InvalidDatagram,
    decode_datagram,
    encode_packet,
)

BATCH_DELAY_S = 0.001
"""Seconds that events wait to be batched. It is short because requests arrive in
bursts, and an entry that is informed late sends its own requests to the same engine."""

MAX_PACKET_EVENTS = 24
"""Maximum number of events in a datagram; with three prompt parts each, they fit into
one or two Ethernet frames."""

MAX_DIRECT_PEERS = 16
"""Maximum number of other entries that are sent a datagram each. With more, one copy
goes to the relay, because copies for all would saturate a slow link."""


class PeerLink(asyncio.DatagramProtocol):
    """Send events to the other entries and receive theirs.

    Parameters
    ----------
    host : HostId
        This entry.
    receive : callable
        Called with the sender and the event for each received event.
    report_error : callable
        Called with the reason when a datagram cannot be read or sent.

    Attributes
    ----------
    traffic : TrafficCounter
        Bytes of the datagrams.
    """

    def __init__(
        self,
        host: HostId,
        receive: Callable[[HostId, Event], None],
        report_error: Callable[[str], None],
    ) -> None:
        self._host = host
        self._receive = receive
        self._report_error = report_error
        self.traffic = TrafficCounter()
        self._peers: list[tuple[str, int]] = []
        self._relay: tuple[str, int] | None = None
        self._events: list[Event] = []
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def listen(self, address: str) -> None:
        """Bind the socket to an address of this host."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, (host, int(port)))

    def set_peers(self, addresses: list[str]) -> None:
        """Set the addresses of the other entries; skip those that cannot be used."""
        self._peers = parse_addresses(addresses)

    def set_relay(self, address: str) -> None:
        """Set the address of the relay; empty when there is none."""
        self._relay = next(iter(parse_addresses([address])), None)

    def publish(self, event: Event) -> None:
        """Queue an event for all other entries; drop it when there are none."""
        if not self._peers:
            return
        self._events.append(event)
        if len(self._events) >= MAX_PACKET_EVENTS:
            self._flush()
        elif self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(BATCH_DELAY_S, self._flush)

    def publish_alone(self, event: Event) -> None:
        """Send an event to all other entries at once, in a datagram of its own.

        Entries of a release that does not know the event may drop the complete packet,
        which then contains no other events.
        """
        if not self._peers or self._transport is None:
            return
        self._flush()
        self._send([event])

    def close(self) -> None:
        """Send the queued events and close the socket."""
        self._flush()
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # asyncio's own datagram transport is not a subclass of DatagramTransport.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass each event of a datagram on, except those of this entry itself."""
        self.traffic.received += len(data)
        try:
            packets = decode_datagram(data, self._report_error)
        except InvalidDatagram as error:
            self._report_error(str(error))
            return
        for packet in packets:
            if packet.host == self._host:
                continue
            for event in packet.events:
                self._receive(packet.host, event)

    def error_received(self, exc: Exception) -> None:
        """Report a datagram that could not be sent.

        The next heartbeat updates the addresses of the peers.
        """
        self._report_error(str(exc))

    def _flush(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self._events or self._transport is None:
            return
        events, self._events = self._events, []
        self._send(events)

    def _send(self, events: list[Event]) -> None:
        """Send events in one datagram, or in several when they are large."""
        assert self._transport is not None
        data = encode_packet(Packet(self._host, events))
        if len(data) > MAX_DATAGRAM_BYTES:
            if len(events) == 1:
                self._report_error(f"event of {len(data)} bytes is over the size limit")
                return
            self._send(events[: len(events) // 2])
            self._send(events[len(events) // 2 :])
            return
        if len(self._peers) <= MAX_DIRECT_PEERS:
            for peer in self._peers:
                self.traffic.sent += len(data)
                self._transport.sendto(data, peer)
        elif self._relay is not None:
            self.traffic.sent += len(data)
            self._transport.sendto(data, self._relay)
