"""Cache of the committed configuration for entries while there is no known leader.

After a restart a member has its log but does not know how much of it is committed. The
cached configuration was committed when it was written, so an entry that has just
started can serve with it before the election ends. Operators never get the cached
configuration, since a newer one may exist.
"""

import msgspec

from wigeonspan.common import DECODE_ERRORS
from wigeonspan.consensus import (
    Disk,
    encode_frame,
    read_frame,
    write_atomically,
)
from wigeonspan.fleetconfig import StoredConfig

CACHE_FILE = "committed"
"""Name of the cache file, whose content is framed with a checksum."""

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(StoredConfig).decode


class CommittedCache:
    """Copy of the committed configuration on disk.

    Parameters
    ----------
    disk : Disk
        Folder that only the cache uses.
    """

    def __init__(self, disk: Disk) -> None:
        self._disk = disk

    def close(self) -> None:
        """Close the folder."""
        self._disk.close()

    def read(self) -> StoredConfig:
        """Return the copy, or an empty configuration if it is missing or damaged."""
        if CACHE_FILE not in self._disk.names():
            return StoredConfig()
        # A damaged copy loses no data, because the log has the original.
        try:
            payload = read_frame(self._disk.read(CACHE_FILE), 0)
            return StoredConfig() if payload is None else _decode(payload)
        except (OSError, *DECODE_ERRORS):
            return StoredConfig()

    def write(self, config: StoredConfig) -> None:
        """Replace the copy.

        Raises
        ------
        StorageError
            If the copy cannot be written, for example because the disk is full.
        """
        write_atomically(self._disk, CACHE_FILE, encode_frame(_encode(config)))
