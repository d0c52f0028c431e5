"""Encoding of datagrams: one packet, or a bundle of packets from a relay."""

import zlib

import msgspec

from wigeonspan.sharing._messages import Packet

LARGEST_BYTES = 60_000
"""Largest datagram in bytes that UDP carries, with some room for its headers."""

_PACKET = b"P"
_BUNDLE = b"B"
_GROUP = b"G"
_FORWARDED = b"F"

LARGEST_BUNDLE_BYTES = 4 * LARGEST_BYTES
"""Largest content of a bundle in bytes; a relay puts one datagram's worth in it."""

_encode = msgspec.msgpack.Encoder().encode
_decode_packet = msgspec.msgpack.Decoder(Packet).decode
_decode_bundle = msgspec.msgpack.Decoder(list[bytes]).decode


class BadDatagram(Exception):
    """A datagram that this program has not written."""


def encode_packet(packet: Packet) -> bytes:
    """Encode one packet."""
    return _PACKET + _encode(packet)


def encode_bundles(datagrams: list[bytes]) -> list[bytes]:
    """Put received datagrams into as few datagrams as their sizes allow.

    They are compressed together, since entries say much the same.
    """
    bundles: list[bytes] = []
    chosen: list[bytes] = []
    size = 0
    for datagram in datagrams:
        if chosen and size + len(datagram) > LARGEST_BYTES:
            bundles.append(_bundle(chosen))
            chosen, size = [], 0
        chosen.append(datagram)
        size += len(datagram)
    if chosen:
        bundles.append(_bundle(chosen))
    return bundles


def _bundle(datagrams: list[bytes]) -> bytes:
    return _BUNDLE + zlib.compress(_encode(datagrams))


def encode_groups(bundles: list[bytes]) -> list[bytes]:
    """Put bundles into as few datagrams as their sizes allow."""
    groups: list[list[bytes]] = []
    size = 0
    for bundle in bundles:
        if not groups or size + len(bundle) > LARGEST_BYTES:
            groups.append([])
            size = 0
        groups[-1].append(bundle)
        size += len(bundle)
    return [g[0] if len(g) == 1 else _GROUP + _encode(g) for g in groups]


def mark_forwarded(bundle: bytes) -> bytes:
    """Return a bundle as one relay sends it to another."""
    return _FORWARDED + bundle


def forwarded_bundle(data: bytes) -> bytes | None:
    """Return the bundle that another relay has sent; None for an entry's datagram."""
    return data[1:] if data[:1] == _FORWARDED else None


def decode_datagram(data: bytes) -> list[Packet]:
    """Return the packets of a datagram.

    Raises
    ------
    BadDatagram
        When it cannot be read.
    """
    try:
        if data[:1] == _PACKET:
            return [_decode_packet(data[1:])]
        if data[:1] == _BUNDLE:
            inner = _decode_bundle(_unzip(data[1:]))
            return [packet for part in inner for packet in decode_datagram(part)]
        if data[:1] == _GROUP:
            inner = _decode_bundle(data[1:])
            return [packet for part in inner for packet in decode_datagram(part)]
    except (zlib.error, msgspec.DecodeError, RecursionError) as error:
        raise BadDatagram(str(error)) from error
    raise BadDatagram(f"a datagram begins with {data[:1]!r}")


def _unzip(data: bytes) -> bytes:
    """Decompress a bundle.

    Raises
    ------
    BadDatagram
        When it holds more than a relay puts in one.
    """
    unzip = zlib.decompressobj()
    content = unzip.decompress(data, LARGEST_BUNDLE_BYTES)
    if not unzip.eof:
        raise BadDatagram("a bundle is cut off or holds too much")
    return content
