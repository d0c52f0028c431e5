"""Replicated state: the configuration document with the highest version."""

import msgspec
from msgspec import Struct

from wigeonspan.common import LogIndex


class StoredConfig(Struct, frozen=True):
    """Document as the operator sent it, and its version.

    An empty document with version 0 stands for no configuration.
    """

    version: int = 0
    document: bytes = b""


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(StoredConfig).decode


def encode_store(config: StoredConfig) -> bytes:
    """Encode the command that stores a configuration."""
    return _encode(config)


class ConfigMachine:
    """State machine that keeps the highest version and never goes back.

    Of two documents with one version the first in the log stays, so that every member
    keeps the same one.
    """

    def __init__(self) -> None:
        self._stored = StoredConfig()

    @property
    def stored(self) -> StoredConfig:
        """Configuration in force."""
        return self._stored

    def apply(self, index: LogIndex, command: bytes) -> StoredConfig:
        """Apply a committed command and return what is in force after it."""
        offered = _decode(command)
        if offered.version > self._stored.version:
            self._stored = offered
        return self._stored

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return _encode(self._stored)

    def restore(self, data: bytes) -> None:
        """Replace the state with a snapshot."""
        self._stored = _decode(data)

    def flush(self) -> None:
        """Do nothing: the state has no files of its own."""
