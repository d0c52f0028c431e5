"""Compression of values in answers to heartbeats.

A configuration of a thousand routes is a third of a megabyte and is sent to every
entry, and an entry of a large fleet may have a link of only a few megabits per second.
"""

import zlib
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from wigeonspan.common import DECODE_ERRORS

T = TypeVar("T")

COMPRESSION_LEVEL = 6
"""Compression level of zlib; each value is packed once and sent to all entries."""

MAX_UNPACKED_BYTES = 64 * 1024 * 1024
"""Largest size of an unpacked value in bytes, four times the largest request body of an
operator. Compressed data may expand to a thousand times its size."""

_encode = msgspec.msgpack.Encoder().encode


class InvalidValue(Exception):
    """Packed data that is malformed or of another type than expected."""


def pack(value: Any) -> bytes:
    """Encode a value as compressed MessagePack."""
    return zlib.compress(_encode(value), COMPRESSION_LEVEL)


def unpack(data: bytes, kind: type[T] | Any) -> T:
    """Decode a value from compressed MessagePack.

    Raises
    ------
    InvalidValue
        When the bytes are not a packed value of this type.
    """
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(data, MAX_UNPACKED_BYTES)
        if not decompressor.eof:
            raise InvalidValue("the value is truncated or too large")
        return msgspec.msgpack.decode(content, type=kind)
    except (zlib.error, *DECODE_ERRORS) as error:
        raise InvalidValue(str(error)) from error


def pack_once() -> Callable[[object, Any], bytes]:
    """Return a function that packs a value and caches the result for the last key.

    The function takes a key, for instance the version of the value, and the value. The
    value is packed again only if the key differs from that of the previous call.
    """
    last: tuple[object, bytes] = (None, b"")

    def pack_if_changed(key: object, value: Any) -> bytes:
        nonlocal last
        if last[0] != key:
            last = (key, pack(value))
        return last[1]

    return pack_if_changed
