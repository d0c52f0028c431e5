"""Tests of the encoding of datagrams."""

import msgspec
import pytest

from wigeonspan.common import HostId, ServiceName, TenantName
from wigeonspan.placing import PromptPart, Work, WorkKind
from wigeonspan.sharing import (
    EntryStopping,
    ListRead,
    Packet,
    RetriesLent,
    RetriesWanted,
    TargetSuspended,
    WorkBegun,
    WorkEnded,
)
from wigeonspan.sharing._wire import (
    MAX_DATAGRAM_BYTES,
    InvalidDatagram,
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
        WorkBegun(WORK, (PromptPart("ab", 5),), 5, TenantName("t")),
        WorkBegun(WORK, (PromptPart("ab", 5),), 5, None, 12_040),
        WorkBegun(WORK, (PromptPart("ab", 5),), 5, TenantName("t"), 12_040),
        WorkEnded("e1/1", True),
        WorkEnded("e1/2", False, broken=True),
        TargetSuspended(TargetId("t")),
        ListRead("d", 0.2),
        RetriesWanted(ServiceName("s"), 2, 1234),
        RetriesLent(HostId("e2"), ServiceName("s"), 1, 1234),
        EntryStopping(3.2),
    ],
)


def test_packet_is_decoded_as_it_was_encoded():
    """Every kind of event must be decoded as it was encoded."""
    assert decode_datagram(encode_packet(PACKET)) == [PACKET]


def test_work_without_a_tenant_is_encoded_as_before():
    """Deployments without tenants would send more bytes, and entries of the release
    before would compare packets of another form."""
    event = WorkBegun(WORK, (PromptPart("ab", 5),), 5)
    packet = msgspec.msgpack.decode(encode_packet(Packet(HostId("e1"), [event]))[1:])
    work = ["e1/1", "e1", "t", "prefill", 30.0, 2]
    assert packet == ["e1", [["begun", work, [["ab", 5]], 5]]]


def test_end_that_is_no_break_is_encoded_as_before():
    """Small fleets would send more bytes, and every completed work in large ones."""
    events = [WorkEnded("e1/1", True), WorkEnded("e1/2", False)]
    packet = msgspec.msgpack.decode(encode_packet(Packet(HostId("e1"), events))[1:])
    assert packet == ["e1", [["ended", "e1/1", True], ["ended", "e1/2", False]]]


def test_break_is_only_a_further_field():
    """Entries of the release before would drop a packet with an unknown event."""
    event = WorkEnded("e1/1", False, broken=True)
    data = encode_packet(Packet(HostId("e1"), [event]))
    assert msgspec.msgpack.decode(data[1:]) == [
        "e1",
        [["ended", "e1/1", False, True]],
    ]


@pytest.mark.parametrize(("tenant", "fields"), [(None, []), (TenantName("t"), ["t"])])
def test_work_without_memory_is_encoded_as_before(tenant, fields):
    """Deployments that do not limit the memory of engines would send more bytes."""
    event = WorkBegun(WORK, (PromptPart("ab", 5),), 5, tenant)
    packet = msgspec.msgpack.decode(encode_packet(Packet(HostId("e1"), [event]))[1:])
    work = ["e1/1", "e1", "t", "prefill", 30.0, 2]
    assert packet == ["e1", [["begun", work, [["ab", 5]], 5, *fields]]]


class WorkBegunOfTheReleaseBefore(msgspec.Struct, tag="begun", array_like=True):
    work: Work
    parts: tuple[PromptPart, ...] = ()
    new_tokens: int = 0
    tenant: str | None = None


def test_memory_is_ignored_by_the_release_before():
    """Entries of two releases run together during an update and would lose the
    others' work."""
    event = WorkBegun(WORK, (PromptPart("ab", 5),), 5, None, 12_040)
    data = encode_packet(Packet(HostId("e1"), [event]))[1:]
    _, events = msgspec.msgpack.decode(data, type=tuple[str, list[msgspec.Raw]])
    read = msgspec.msgpack.decode(events[0], type=WorkBegunOfTheReleaseBefore)
    assert (read.work, read.new_tokens, read.tenant) == (WORK, 5, None)


def test_bundles_contain_every_datagram_and_can_be_sent():
    """A bundle above the maximum size of UDP could not be sent at all."""
    datagram = encode_packet(PACKET)
    bundles = encode_bundles([datagram] * 2000)
    assert all(len(bundle) < 65_000 for bundle in bundles)
    packets = [packet for bundle in bundles for packet in decode_datagram(bundle)]
    assert packets == [PACKET] * 2000
    assert len(bundles) >= 2000 * len(datagram) // (MAX_DATAGRAM_BYTES + 5000)


@pytest.mark.parametrize("data", [b"", b"x", b"P", b"Pxx", b"B\xff", b"B\x91\xc4\x01x"])
def test_foreign_datagram_is_refused(data):
    """Any data may arrive on a UDP port."""
    with pytest.raises(InvalidDatagram):
        decode_datagram(data)
