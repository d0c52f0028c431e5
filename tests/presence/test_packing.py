"""Tests of the compression of values in answers to heartbeats."""

import json

import pytest

from wigeonspan.fleetconfig import StoredConfig
from wigeonspan.presence import InvalidValue, pack, pack_once, unpack


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
