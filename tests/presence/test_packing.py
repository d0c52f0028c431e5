"""Compressed values in answers to heartbeats."""

import json

import pytest

from wigeonspan.fleetconfig import StoredConfig
from wigeonspan.presence import BadValue, pack, pack_once, unpack


def test_large_configuration_becomes_small():
    """A thousand routes went to each entry as they were."""
    routes = [{"name": f"r-{n:x}", "path_prefix": f"/p{n:x}/"} for n in range(1200)]
    stored = StoredConfig(7, json.dumps(routes).encode())
    packed = pack(stored)
    assert unpack(packed, StoredConfig) == stored
    assert len(packed) < len(stored.document) / 4


@pytest.mark.parametrize("data", [b"", b"nonsense", pack([1, 2])])
def test_wrong_bytes_are_told(data):
    """A control host of another version must not stop the heartbeats."""
    with pytest.raises(BadValue):
        unpack(data, StoredConfig)


def test_value_is_packed_once():
    """Packing for each of eighty entries would take a second."""
    packed = pack_once()
    first = packed(1, StoredConfig(1, b"x"))
    assert packed(1, StoredConfig(1, b"not packed again")) is first
    assert unpack(packed(2, StoredConfig(2, b"y")), StoredConfig).document == b"y"
