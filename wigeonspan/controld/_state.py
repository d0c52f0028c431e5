"""Replicated state of the control group, composed of the parts of all slices."""

from typing import Any

from wigeonspan.calls import CallBook
from wigeonspan.catalog import Catalog
from wigeonspan.common import (
    ErrorKind,
    LogIndex,
    WigeonspanError,
    decode,
    encode,
)
from wigeonspan.controld._commands import (
    SNAPSHOT_FORMAT,
    CallCommand,
    CatalogCommand,
    Command,
    ControlSnapshot,
)


class ControlState:
    """State machine of the replicated log.

    Applying raises on a command that cannot be decoded: a host that skipped it would
    differ from the others from then on.
    """

    def __init__(self) -> None:
        self._catalog = Catalog()
        self._calls = CallBook()

    @property
    def catalog(self) -> Catalog:
        """Configuration."""
        return self._catalog

    @property
    def calls(self) -> CallBook:
        """At-most-once calls."""
        return self._calls

    def apply(self, index: LogIndex, command: bytes) -> Any:
        """Apply a committed command and return its result."""
        message: Any = decode(command, Command)
        if isinstance(message, CatalogCommand):
            return self._catalog.apply(index, message)
        if isinstance(message, CallCommand):
            return self._calls.apply(index, message)
        return None

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return encode(
            ControlSnapshot(
                format=SNAPSHOT_FORMAT,
                catalog=self._catalog.snapshot(),
                calls=self._calls.snapshot(),
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the state with a snapshot.

        Raises
        ------
        WigeonspanError
            ``BAD_REQUEST`` when the snapshot is of another format.
        """
        snapshot: ControlSnapshot = decode(data, ControlSnapshot)
        if snapshot.format != SNAPSHOT_FORMAT:
            raise WigeonspanError(
                ErrorKind.BAD_REQUEST,
                f"snapshot format {snapshot.format} is not {SNAPSHOT_FORMAT}",
            )
        self._catalog.restore(snapshot.catalog)
        self._calls.restore(snapshot.calls)

    def flush(self) -> None:
        """Sync files that were written while commands applied."""
