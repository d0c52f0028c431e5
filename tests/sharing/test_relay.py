"""Relays of datagrams, one in each failure domain."""

import asyncio

from wigeonspan.common import HostId
from wigeonspan.placing import PromptPart, Work, WorkKind
from wigeonspan.sharing import Packet, Relay, WorkBegun
from wigeonspan.sharing._wire import decode_datagram, encode_packet
from wigeonspan.targets import TargetId

ENTRIES = {"a": [f"127.0.1.{n}:1" for n in range(27)], "b": ["127.0.2.1:1"]}
RELAYS = {"a": "127.0.0.1:1", "b": "127.0.0.2:1"}


class Wires:
    """Transports of all relays; a datagram to a relay is handed to it."""

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


def send_all(packets):
    async def send():
        wires = Wires()
        first = wires.add("a")
        wires.add("b")
        for each in packets:
            first.datagram_received(encode_packet(each), ("127.0.1.1", 1))
        await asyncio.sleep(0.05)
        return wires.sent

    return asyncio.run(send())


def test_every_entry_of_every_domain_hears_each_packet_once():
    """An entry that hears nothing of another domain sends work to busy engines."""
    packets = [packet(n) for n in range(3)]
    heard = {}
    for address, data in send_all(packets):
        if address not in RELAYS.values():
            heard.setdefault(address, []).extend(decode_datagram(data))
    assert set(heard) == {*ENTRIES["a"], *ENTRIES["b"]}
    assert all(each == packets for each in heard.values())


def test_bytes_between_domains_do_not_grow_with_entries():
    """One relay sent every packet across domains once for each entry there."""
    across = [
        a for a, _ in send_all([packet(n) for n in range(9)]) if a in ENTRIES["a"]
    ]
    assert len(across) == len(ENTRIES["a"])
    between = [a for a, _ in send_all([packet(0)]) if a in RELAYS.values()]
    assert between == [RELAYS["b"]]


def test_datagram_of_a_usual_prompt_is_small():
    """Field names took two thirds of the bytes that each entry gets."""
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
