"""Datagrams between entries."""

import pytest

from wigeonspan.common import HostId
from wigeonspan.placing import PromptPart, Work, WorkKind
from wigeonspan.sharing import (
    ListSeen,
    Packet,
    TargetSuspended,
    WorkBegun,
    WorkEnded,
)
from wigeonspan.sharing._wire import (
    LARGEST_BYTES,
    BadDatagram,
    decode_datagram,
    encode_bundles,
    encode_packet,
)
from wigeonspan.targets import TargetId

WORK = Work("e1/1", HostId("e1"), TargetId("t"), WorkKind.PREFILL, 30.0, 2)
PACKET = Packet(
    HostId("e1"),
    [
        WorkBegun(WORK, (PromptPart("ab", 5),), 5),
        WorkEnded("e1/1", True),
        TargetSuspended(TargetId("t")),
        ListSeen("d", 0.2),
    ],
)


def test_packet_comes_back_as_it_was_sent():
    """Every kind of event must survive the way."""
    assert decode_datagram(encode_packet(PACKET)) == [PACKET]


def test_bundles_hold_every_datagram_and_stay_sendable():
    """A bundle over the largest size of UDP would be lost whole."""
    datagram = encode_packet(PACKET)
    bundles = encode_bundles([datagram] * 2000)
    assert all(len(bundle) < 65_000 for bundle in bundles)
    packets = [packet for bundle in bundles for packet in decode_datagram(bundle)]
    assert packets == [PACKET] * 2000
    assert len(bundles) >= 2000 * len(datagram) // (LARGEST_BYTES + 5000)


@pytest.mark.parametrize("data", [b"", b"x", b"P", b"Pxx", b"B\xff", b"B\x91\xc4\x01x"])
def test_foreign_datagram_is_refused(data):
    """Anything may arrive on a UDP port."""
    with pytest.raises(BadDatagram):
        decode_datagram(data)
