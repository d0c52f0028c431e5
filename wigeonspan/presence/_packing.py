"""Compressed values in answers to heartbeats.

A configuration of a thousand routes is a third of a megabyte and goes to every entry;
an entry of a large fleet has a link of a few megabits a second.
"""

import zlib
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

T = TypeVar("T")

LEVEL = 6
"""Level of compression; each value is packed once and sent to all entries."""

_encode = msgspec.msgpack.Encoder().encode


class BadValue(Exception):
    """A packed value that this program has not written."""


def pack(value: Any) -> bytes:
    """Return a value as compressed bytes."""
    return zlib.compress(_encode(value), LEVEL)


def unpack(data: bytes, kind: type[T] | Any) -> T:
    """Return a value from compressed bytes.

    Raises
    ------
    BadValue
        When the bytes are not a packed value of this type.
    """
    try:
        return msgspec.msgpack.decode(zlib.decompress(data), type=kind)
    except (zlib.error, msgspec.DecodeError) as error:
        raise BadValue(str(error)) from error


def pack_once() -> Callable[[object, Any], bytes]:
    """Return a function of a name and a value that packs only values of a new name.

    The name is what a value is known by, for instance its version.
    """
    last: tuple[object, bytes] = (None, b"")

    def pack_named(name: object, value: Any) -> bytes:
        nonlocal last
        if last[0] != name:
            last = (name, pack(value))
        return last[1]

    return pack_named
