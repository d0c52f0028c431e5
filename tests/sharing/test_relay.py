"""Tests of relays of datagrams, one in each failure domain."""

import asyncio
import zlib

import pytest

from wigeonspan.common import HostId
from wigeonspan.placing import PromptPart, Work, WorkKind
from wigeonspan.sharing import Packet, Relay, WorkBegun
from wigeonspan.sharing._wire import (
    InvalidDatagram,
    decode_datagram,
    encode_bundles,
    encode_groups,
    encode_packet,
    mark_forwarded,
)
from wigeonspan.targets import TargetId

ENTRIES = {"a": [f"127.0.1.{n}:1" for n in range(27)], "b": ["127.0.2.1:1"]}
RELAYS = {"a": "127.0.0.1:1", "b": "127.0.0.2:1"}


class FakeNetwork:
    """Transport of all relays; delivers datagrams that are addressed to a relay."""

    def __init__(self):
        self.sent = []
        self.relays = {}

    def add(self, domain):
        others = [address for name, address in RELAYS.items() if name != domain]
        relay = Relay(lambda: ENTRIES[domain], lambda: others)
        relay.connection_made(self)
        self.relays[RELAYS[domain]] = relay
        return relay

    def sendto(self, data, address):
        name = f"{address[0]}:{address[1]}"
        self.sent.append((name, data))
        if name in self.relays:
            self.relays[name].datagram_received(data, ("127.0.0.1", 1))


def packet(number):
    work = Work(f"e/{number}", HostId("e"), TargetId("t"), WorkKind.PREFILL, 9.0, 0)
    return Packet(HostId("e"), [WorkBegun(work, (PromptPart("aa", 5),), 5)])


def relay_packets(packets):
    async def send():
        network = FakeNetwork()
        first = network.add("a")
        network.add("b")
        for each in packets:
            first.datagram_received(encode_packet(each), ("127.0.1.1", 1))
        await asyncio.sleep(0.1)
        return network.sent

    return asyncio.run(send())


def test_every_entry_of_every_domain_receives_each_packet_once():
    """Without the packets of other domains, an entry sends work to busy engines."""
    packets = [packet(n) for n in range(3)]
    received = {}
    for address, data in relay_packets(packets):
        if address not in RELAYS.values():
            received.setdefault(address, []).extend(decode_datagram(data))
    assert set(received) == {*ENTRIES["a"], *ENTRIES["b"]}
    assert all(each == packets for each in received.values())


def test_bytes_between_domains_do_not_grow_with_entries():
    """Guards against sending each packet to another domain once per entry there."""
    to_entries = [
        a for a, _ in relay_packets([packet(n) for n in range(9)]) if a in ENTRIES["a"]
    ]
    assert len(to_entries) == len(ENTRIES["a"])
    to_relays = [a for a, _ in relay_packets([packet(0)]) if a in RELAYS.values()]
    assert to_relays == [RELAYS["b"]]


def test_datagram_of_a_typical_prompt_is_small():
    """Guards against encoding field names, which took two thirds of the bytes."""
    parts = tuple(PromptPart(f"{n:016x}", 5000) for n in range(3))
    work = Work(
        "edge-szeged-12/123456",
        HostId("edge-szeged-12"),
        TargetId("i-0123456789"),
        WorkKind.PREFILL,
        123.456,
        2,
    )
    event = WorkBegun(work, parts, 6610)
    assert len(encode_packet(Packet(HostId("edge-szeged-12"), [event]))) < 190


@pytest.mark.parametrize("domains", [1, 5])
def test_datagrams_of_the_fleet_do_not_grow_with_the_square_of_entries(domains):
    """Guards against a fixed bundling interval: 200 entries received 100 datagrams a
    second from each of five relays, which took up their processors."""

    async def run(entries):
        sent = []

        class CountingTransport:
            def sendto(self, data, address):
                sent.append(data)

        relay = Relay(
            lambda: [f"127.0.1.1:{n + 1}" for n in range(entries)],
            lambda: [f"127.0.0.{n + 2}:1" for n in range(domains - 1)],
        )
        relay.connection_made(CountingTransport())
        began = asyncio.get_running_loop().time()
        while (took_s := asyncio.get_running_loop().time() - began) < 0.5:
            for n in range(4):
                relay.datagram_received(encode_packet(packet(n)), ("127.0.1.1", 1))
                forwarded = mark_forwarded(
                    encode_bundles([encode_packet(packet(n))])[0]
                )
                relay.datagram_received(forwarded, ("127.0.0.2", 1))
            await asyncio.sleep(0.002)
        return len(sent) / took_s * domains

    # Every relay of the fleet sends the same number.
    assert asyncio.run(run(200 // domains)) < 5000


def test_packets_of_a_group_are_decoded_completely():
    """Forwarded bundles share a datagram with those of the relay's own entries."""
    first, second = (encode_bundles([encode_packet(packet(n))])[0] for n in (1, 2))
    (group,) = encode_groups([first, second])
    assert decode_datagram(group) == [packet(1), packet(2)]
    assert encode_groups([first]) == [first]
    assert len(encode_groups([b"x" * 40_000] * 3)) == 3


def test_bundle_that_grows_without_bound_is_refused():
    """Guards against decompression bombs: a small datagram could exhaust the memory."""
    with pytest.raises(InvalidDatagram):
        decode_datagram(b"B" + zlib.compress(b"\x00" * 50_000_000))
