"""Encoding of datagrams.

The first byte is the type: a packet of an entry, a bundle of packets, a group of
bundles, or a bundle that one relay forwards to another.
"""

import zlib
from collections.abc import Callable

import msgspec

from wigeonspan.common import DECODE_ERRORS, HostId
from wigeonspan.placing import PromptPart, Work
from wigeonspan.sharing._messages import Event, Packet, WorkBegun, WorkEnded

MAX_DATAGRAM_BYTES = 60_000
"""Maximum size of a datagram in bytes: the limit of UDP with a margin for headers."""

_PACKET = b"P"
_BUNDLE = b"B"
_GROUP = b"G"
_FORWARDED = b"F"

MAX_BUNDLE_BYTES = 4 * MAX_DATAGRAM_BYTES
"""Maximum decompressed size of a bundle in bytes. A relay fills it up to
``MAX_DATAGRAM_BYTES``; the limit guards against decompression bombs."""


class _SplitPacket(msgspec.Struct, array_like=True):
    """Packet whose events are still encoded."""

    host: HostId
    events: list[msgspec.Raw]


class _WorkBegunWithoutTenant(msgspec.Struct, tag="begun", array_like=True):
    """Encoded form of :class:`WorkBegun` without the tenant and the memory."""

    work: Work
    parts: tuple[PromptPart, ...]
    new_tokens: int


class _WorkEndedWithoutBreak(msgspec.Struct, tag="ended", array_like=True):
    """Encoded form of :class:`WorkEnded` without a break."""

    work: str
    completed: bool


class _WorkBegunWithoutMemory(msgspec.Struct, tag="begun", array_like=True):
    """Encoded form of :class:`WorkBegun` without the memory."""

    work: Work
    parts: tuple[PromptPart, ...]
    new_tokens: int
    tenant: str | None


class _WorkBegunWithoutPrompt(msgspec.Struct, tag="begun", array_like=True):
    """Encoded form of :class:`WorkBegun` without its last field."""

    work: Work
    parts: tuple[PromptPart, ...]
    new_tokens: int
    tenant: str | None
    memory_tokens: int


_EncodedEvent = (
    Event
    | _WorkBegunWithoutTenant
    | _WorkBegunWithoutMemory
    | _WorkBegunWithoutPrompt
    | _WorkEndedWithoutBreak
)


class _EncodedPacket(msgspec.Struct, array_like=True):
    """Encoded form of :class:`Packet`."""

    host: HostId
    events: list[_EncodedEvent]


_encode = msgspec.msgpack.Encoder().encode
_decode_packet = msgspec.msgpack.Decoder(Packet).decode
_decode_split_packet = msgspec.msgpack.Decoder(_SplitPacket).decode
_decode_event = msgspec.msgpack.Decoder(Event).decode
_decode_bundle = msgspec.msgpack.Decoder(list[bytes]).decode


class InvalidDatagram(Exception):
    """A datagram that is not in the format of this module."""


def encode_packet(packet: Packet) -> bytes:
    """Encode one packet.

    Work without a tenant or memory, and an end that is no break, are encoded as in
    releases that do not know these.
    """
    events = [_without_empty_fields(event) for event in packet.events]
    return _PACKET + _encode(_EncodedPacket(packet.host, events))


def _without_empty_fields(event: Event) -> _EncodedEvent:
    if isinstance(event, WorkEnded) and not event.broken:
        return _WorkEndedWithoutBreak(event.work, event.completed)
    if not isinstance(event, WorkBegun) or event.prompt_work:
        return event
    fields = (event.work, event.parts, event.new_tokens)
    if event.memory_tokens:
        return _WorkBegunWithoutPrompt(*fields, event.tenant, event.memory_tokens)
    if event.tenant is None:
        return _WorkBegunWithoutTenant(*fields)
    return _WorkBegunWithoutMemory(*fields, event.tenant)


def encode_bundles(datagrams: list[bytes]) -> list[bytes]:
    """Combine received datagrams into bundles of limited size, keeping their order.

    The datagrams of a bundle are compressed together because they are similar.
    """
    bundles: list[bytes] = []
    batch: list[bytes] = []
    size = 0
    for datagram in datagrams:
        if batch and size + len(datagram) > MAX_DATAGRAM_BYTES:
            bundles.append(_bundle(batch))
            batch, size = [], 0
        batch.append(datagram)
        size += len(datagram)
    if batch:
        bundles.append(_bundle(batch))
    return bundles


def _bundle(datagrams: list[bytes]) -> bytes:
    return _BUNDLE + zlib.compress(_encode(datagrams))


def encode_groups(bundles: list[bytes]) -> list[bytes]:
    """Combine bundles into datagrams of limited size, keeping their order."""
    groups: list[list[bytes]] = []
    size = 0
    for bundle in bundles:
        if not groups or size + len(bundle) > MAX_DATAGRAM_BYTES:
            groups.append([])
            size = 0
        groups[-1].append(bundle)
        size += len(bundle)
    return [g[0] if len(g) == 1 else _GROUP + _encode(g) for g in groups]


def mark_forwarded(bundle: bytes) -> bytes:
    """Return the datagram by which a relay forwards a bundle to another relay."""
    return _FORWARDED + bundle


def unwrap_forwarded(data: bytes) -> bytes | None:
    """Return the bundle that another relay has forwarded; None for other datagrams."""
    return data[1:] if data[:1] == _FORWARDED else None


def decode_datagram(
    data: bytes, report_error: Callable[[str], None] = lambda why: None
) -> list[Packet]:
    """Return the packets of a datagram.

    Its parts come from many entries, so a part or an event that cannot be decoded is
    left out.

    Parameters
    ----------
    report_error : callable
        Called once with the reason when something was left out.

    Raises
    ------
    InvalidDatagram
        When nothing of it can be decoded.
    """
    packets: list[Packet] = []
    errors: list[str] = []
    _collect_packets(data, _PACKET + _BUNDLE + _GROUP, packets, errors)
    if errors and not packets:
        raise InvalidDatagram(errors[0])
    if errors:
        report_error(f"{len(errors)} parts cannot be read, the first one: {errors[0]}")
    return packets


def _collect_packets(
    data: bytes, allowed_types: bytes, packets: list[Packet], errors: list[str]
) -> None:
    """Decode a datagram or a part of one.

    A group contains bundles, and a bundle contains packets. Other nesting could expand
    a small datagram without limit.
    """
    kind = data[:1]
    try:
        if kind == _PACKET and kind in allowed_types:
            packets.append(_decode_events(data[1:], errors))
            return
        if not kind or kind not in allowed_types:
            raise InvalidDatagram(f"unknown datagram type {kind!r}")
        content = _decompress(data[1:]) if kind == _BUNDLE else data[1:]
        inner_types = _PACKET if kind == _BUNDLE else _BUNDLE
        for part in _decode_bundle(content):
            _collect_packets(part, inner_types, packets, errors)
    except (zlib.error, InvalidDatagram, *DECODE_ERRORS) as error:
        errors.append(str(error))


def _decode_events(data: bytes, errors: list[str]) -> Packet:
    try:
        return _decode_packet(data)
    except DECODE_ERRORS:
        split = _decode_split_packet(data)
    events: list[Event] = []
    for encoded in split.events:
        try:
            events.append(_decode_event(encoded))
        except DECODE_ERRORS as error:
            errors.append(str(error))
    if not events:
        raise InvalidDatagram("a packet has no event that can be read")
    return Packet(split.host, events)


def _decompress(data: bytes) -> bytes:
    """Decompress a bundle.

    Raises
    ------
    InvalidDatagram
        When it is truncated or larger than ``MAX_BUNDLE_BYTES``.
    """
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(data, MAX_BUNDLE_BYTES)
    if not decompressor.eof:
        raise InvalidDatagram("bundle is truncated or too large when decompressed")
    return content
