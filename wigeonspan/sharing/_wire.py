"""Encoding of datagrams.

The first byte is the type: a packet of an entry, a bundle of packets, a group of
bundles, or a bundle that one relay forwards to another.
"""

import zlib

import msgspec

from wigeonspan.sharing._messages import Packet

MAX_DATAGRAM_BYTES = 60_000
"""Maximum size of a datagram in bytes: the limit of UDP with a margin for headers."""

_PACKET = b"P"
_BUNDLE = b"B"
_GROUP = b"G"
_FORWARDED = b"F"

MAX_BUNDLE_BYTES = 4 * MAX_DATAGRAM_BYTES
"""Maximum decompressed size of a bundle in bytes. A relay fills it up to
``MAX_DATAGRAM_BYTES``; the limit guards against decompression bombs."""

_encode = msgspec.msgpack.Encoder().encode
_decode_packet = msgspec.msgpack.Decoder(Packet).decode
_decode_bundle = msgspec.msgpack.Decoder(list[bytes]).decode


class InvalidDatagram(Exception):
    """A datagram that is not in the format of this module."""


def encode_packet(packet: Packet) -> bytes:
    """Encode one packet."""
    return _PACKET + _encode(packet)


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


def decode_datagram(data: bytes) -> list[Packet]:
    """Return the packets of a datagram.

    Raises
    ------
    InvalidDatagram
        When it cannot be decoded.
    """
    try:
        if data[:1] == _PACKET:
            return [_decode_packet(data[1:])]
        if data[:1] == _BUNDLE:
            inner = _decode_bundle(_decompress(data[1:]))
            return [packet for part in inner for packet in decode_datagram(part)]
        if data[:1] == _GROUP:
            inner = _decode_bundle(data[1:])
            return [packet for part in inner for packet in decode_datagram(part)]
    except (zlib.error, msgspec.DecodeError, RecursionError) as error:
        raise InvalidDatagram(str(error)) from error
    raise InvalidDatagram(f"unknown datagram type {data[:1]!r}")


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
