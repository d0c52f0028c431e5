"""Copy of the committed configuration that entries may use while no leader is known.

After a restart a member holds its log but does not know how much of it is committed.
The copy was committed when it was written, so an entry that has just started can serve
with it before the election is over. It answers no operator: a newer one may exist.
"""

import msgspec

from wigeonspan.consensus import (
    Disk,
    frame,
    payload_at,
    write_whole,
)
from wigeonspan.fleetconfig import StoredConfig

FILE = "committed"
"""Name of the file; its content is framed with a checksum."""

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(StoredConfig).decode


class CommittedCache:
    """Copy of the committed configuration on disk.

    Parameters
    ----------
    disk : Disk
        Folder of its own.
    """

    def __init__(self, disk: Disk) -> None:
        self._disk = disk

    def close(self) -> None:
        """Give the folder back."""
        self._disk.close()

    def read(self) -> StoredConfig:
        """Return the copy; no configuration when there is none or it is damaged."""
        if FILE not in self._disk.names():
            return StoredConfig()
        payload = payload_at(self._disk.read(FILE), 0)
        # Damage to a copy loses nothing: the log has the original.
        return StoredConfig() if payload is None else _decode(payload)

    def write(self, config: StoredConfig) -> None:
        """Write a copy.

        Raises
        ------
        StorageError
            When it cannot be written, for instance because the disk is full.
        """
        write_whole(self._disk, FILE, frame(_encode(config)))
