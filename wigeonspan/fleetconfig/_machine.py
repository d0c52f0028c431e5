"""Replicated state machine that stores the configuration with the highest version."""

from collections.abc import Iterable

import msgspec
from msgspec import Struct

from wigeonspan.common import LogIndex


class StoredConfig(Struct, frozen=True):
    """Configuration document as sent by the operator, and its version.

    Version 0 with an empty document means that there is no configuration.
    """

    version: int = 0
    document: bytes = b""

    def __repr__(self) -> str:
        # The document may contain keys of tenants.
        return f"StoredConfig({self.version}, {len(self.document)} bytes)"

    def __rich_repr__(self) -> Iterable[object]:
        return (self.version, f"{len(self.document)} bytes")


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(StoredConfig).decode


def encode_store_command(config: StoredConfig) -> bytes:
    """Encode the command that stores a configuration."""
    return _encode(config)


class ConfigStateMachine:
    """State machine that stores the highest version and never a lower one.

    Of two documents with the same version, the first one in the log is stored, so
    that all members store the same one.
    """

    def __init__(self) -> None:
        self._stored = StoredConfig()

    @property
    def stored(self) -> StoredConfig:
        """Configuration that is in effect."""
        return self._stored

    def apply(self, index: LogIndex, command: bytes) -> StoredConfig:
        """Apply a committed command and return the configuration now in effect."""
        proposed = _decode(command)
        if proposed.version > self._stored.version:
            self._stored = proposed
        return self._stored

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        return _encode(self._stored)

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot."""
        self._stored = _decode(data)

    def flush(self) -> None:
        """Do nothing, because this state machine writes no files."""
