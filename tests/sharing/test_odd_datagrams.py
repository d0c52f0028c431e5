"""Datagrams with single parts that cannot be decoded or used."""

import math
import time
import zlib

import msgspec
import pytest

from tests.sharing.test_wire import PACKET
from wigeonspan.common import HostId
from wigeonspan.sharing import (
    ListRead,
    Packet,
    TargetLimited,
)
from wigeonspan.sharing._wire import (
    InvalidDatagram,
    decode_datagram,
    encode_bundles,
    encode_groups,
    encode_packet,
)

GOOD = encode_packet(PACKET)
DEEP = b"\x91" * 5000 + b"\xc0"
ODD_DATAGRAMS = [
    b"",
    b"x",
    b"P",
    b"Pxx",
    b"P\x92\xa1h\x91" + DEEP,
    b"P\x92\xa1\xff\x90",
]

encode = msgspec.msgpack.encode


def read(data):
    reports = []
    return decode_datagram(data, reports.append), reports


@pytest.mark.parametrize("odd", ODD_DATAGRAMS)
def test_odd_datagram_does_not_cost_the_others_of_a_bundle(odd):
    """A relay bundles the datagrams of many entries, and all of them were lost."""
    (bundle,) = encode_bundles([GOOD, odd, GOOD])
    packets, reports = read(bundle)
    assert packets == [PACKET, PACKET]
    assert len(reports) == 1


@pytest.mark.parametrize("odd", [b"B\xff", b"x", b"B" + zlib.compress(DEEP)])
def test_odd_bundle_does_not_cost_the_others_of_a_group(odd):
    """The bundles of a group come from different relays."""
    (bundle,) = encode_bundles([GOOD])
    (group,) = encode_groups([bundle, odd, bundle])
    packets, reports = read(group)
    assert packets == [PACKET, PACKET]
    assert len(reports) == 1


ODD_EVENTS = [
    ["unknown", 1],
    ["ended", "e1/1"],
    ["ended", 5, True],
    ["list", "d", math.nan],
    ["list", "d", math.inf],
    ["list", "d", -1e9],
    ["limited", "t", 1, math.nan],
    ["limited", "t", 1, -1.0],
    ["wanted", "s", 0, 5],
    ["wanted", "s", 17, 5],
    ["wanted", "s", 1, -5],
    ["lent", "e2", "s", 10**9, 5],
    ["lent", "e2", "s", 1, 2**60],
    ["limited", "t", 2**63, 1.0],
    ["leaving", "t", -1],
    ["begun", ["w", "h", "t", "call", math.nan, 0]],
    ["begun", ["w", "h", "t", "call", -1.0, 0]],
    ["begun", ["w", "h", "t", "call", 1e300, 0]],
    ["begun", ["w", "h", "t", "call", 1.0, 0], [["p", -5]]],
    ["begun", ["w", "h", "t", "call", 1.0, 0], [["p", 2**63]]],
    ["begun", ["w", "h", "t", "call", 1.0, 0], [], -5],
    7,
    None,
]


@pytest.mark.parametrize("odd", ODD_EVENTS)
def test_odd_event_does_not_cost_the_others_of_a_packet(odd):
    """Events with numbers out of range were applied, others cost the whole packet."""
    good = [msgspec.to_builtins(event) for event in PACKET.events]
    packets, reports = read(b"P" + encode([PACKET.host, [*good[:2], odd, *good[2:]]]))
    assert packets == [PACKET]
    assert len(reports) == 1


def test_bundles_do_not_nest():
    """A few hundred bytes of nested bundles gave a million packets."""
    data = encode_packet(Packet(HostId("h"), []))
    for _ in range(2):
        data = b"B" + zlib.compress(encode([data] * 1000))
    started_at = time.perf_counter()
    with pytest.raises(InvalidDatagram):
        read(data)
    assert time.perf_counter() - started_at < 0.5
    for _ in range(3000):
        data = b"G" + encode([data])
    with pytest.raises(InvalidDatagram):
        read(data)


def test_datagram_that_cannot_be_read_at_all_is_refused():
    """The receiver reports it, and nothing of it is applied."""
    for data in ODD_DATAGRAMS:
        with pytest.raises(InvalidDatagram):
            decode_datagram(data)


def test_sound_numbers_are_read():
    """The limits must not refuse the numbers that entries send."""
    events = [
        ListRead("d", 0.0),
        TargetLimited("t", 0, 0.0),
        TargetLimited("t", 1, 1e6),
    ]
    packet = Packet(HostId("e1"), events)
    assert read(encode_packet(packet)) == ([packet], [])
