"""Tests of the compression of values in answers to heartbeats."""

import json
import zlib

import pytest

from wigeonspan.fleetconfig import StoredConfig
from wigeonspan.presence import InvalidValue, pack, pack_once, unpack
from wigeonspan.presence._packing import MAX_UNPACKED_BYTES


def test_large_configuration_becomes_small():
    """Guards against sending large configurations uncompressed to each entry."""
    routes = [{"name": f"r-{n:x}", "path_prefix": f"/p{n:x}/"} for n in range(1200)]
    stored = StoredConfig(7, json.dumps(routes).encode())
    packed = pack(stored)
    assert unpack(packed, StoredConfig) == stored
    assert len(packed) < len(stored.document) / 4


@pytest.mark.parametrize("data", [b"", b"nonsense", pack([1, 2])])
def test_malformed_bytes_are_rejected(data):
    """Answers from a control host of another version must not stop the heartbeats."""
    with pytest.raises(InvalidValue):
        unpack(data, StoredConfig)


def test_value_is_packed_once():
    """Packing a value for each of 80 entries would take a second."""
    packed = pack_once()
    first = packed(1, StoredConfig(1, b"x"))
    assert packed(1, StoredConfig(1, b"not packed again")) is first
    assert unpack(packed(2, StoredConfig(2, b"y")), StoredConfig).document == b"y"


@pytest.mark.parametrize(
    "content",
    [
        b"\x81\xa1z" + b"\x91" * 50_000 + b"\xc0",
        b"\x91" * 50_000 + b"\xc0",
        b"\x81\xa7version\xcb\x7f\xf0" + b"\0" * 6,
        b"\x81\xa8document\xc6\xff\xff\xff\xff",
        b"\xdd\xff\xff\xff\xff",
        b"\0" * (MAX_UNPACKED_BYTES + 1),
    ],
)
def test_odd_content_is_rejected(content):
    """Nested content raised ``RecursionError``, which the heartbeats don't expect.

    Compressed data may also expand to a thousand times its size.
    """
    with pytest.raises(InvalidValue):
        unpack(zlib.compress(content), StoredConfig)


def test_truncated_value_is_rejected():
    """A part of a value must not look like a shorter one."""
    with pytest.raises(InvalidValue):
        unpack(pack(StoredConfig(7, b"{}"))[:-1], StoredConfig)
