"""Replicated state machine of the control group."""

import errno
from pathlib import Path
from typing import Any

from wigeonspan.calls import CallTable
from wigeonspan.catalog import ApplyChange, Catalog, RemoveObject
from wigeonspan.common import ErrorKind, LogIndex, WigeonspanError, decode, encode
from wigeonspan.consensus import StorageFailed, StorageFull
from wigeonspan.controld._commands import (
    SNAPSHOT_FORMAT,
    CallCommand,
    CatalogCommand,
    Command,
    ControlSnapshot,
    OrderCommand,
)
from wigeonspan.controld._recording import make_draft
from wigeonspan.orders import OpenOrder, OrderOutcome, OrderTable
from wigeonspan.record import RecordStore

_DISK_FULL_ERRNOS = frozenset({errno.ENOSPC, errno.EDQUOT})


class ControlState:
    """State machine of the replicated log.

    When a command can't be applied, because it can't be decoded or contradicts the
    record on disk, the error is stored as :attr:`failure` and raised. The daemon must
    then exit: if it skipped the command, its state would diverge from the other hosts'.

    Parameters
    ----------
    record_folder : Path
        Folder of the record files.
    """

    def __init__(self, record_folder: Path) -> None:
        self._orders = OrderTable()
        self._catalog = Catalog(guard=self._check_removal)
        self._calls = CallTable()
        self._record = RecordStore(record_folder)
        self._failure: Exception | None = None

    @property
    def catalog(self) -> Catalog:
        """Configuration of the deployment."""
        return self._catalog

    @property
    def calls(self) -> CallTable:
        """At-most-once calls."""
        return self._calls

    @property
    def orders(self) -> OrderTable:
        """Open orders."""
        return self._orders

    @property
    def record(self) -> RecordStore:
        """Record of this host."""
        return self._record

    @property
    def failure(self) -> Exception | None:
        """Error that forces this daemon to exit, or None."""
        return self._failure or self._record.failure

    def apply(self, index: LogIndex, command: bytes) -> Any:
        """Apply a committed command, record it and return its result."""
        try:
            return self._apply_and_record(index, command)
        except Exception as error:
            self._failure = error
            raise

    def _apply_and_record(self, index: LogIndex, command: bytes) -> Any:
        message: Any = decode(command, Command)
        duplicate = isinstance(message, ApplyChange) and self._catalog.is_duplicate(
            message
        )
        result = self._dispatch(index, message)
        draft = None if duplicate else make_draft(message, result, self._catalog)
        if draft is not None:
            self._record.append(index, draft)
        return result

    def snapshot(self) -> bytes:
        """Return the complete state, encoded."""
        return encode(
            ControlSnapshot(
                format=SNAPSHOT_FORMAT,
                catalog=self._catalog.snapshot(),
                calls=self._calls.snapshot(),
                orders=self._orders.snapshot(),
                record=self._record.snapshot(),
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the state with that of a snapshot.

        Raises
        ------
        WigeonspanError
            ``BAD_REQUEST`` when the snapshot has another format version.
        """
        snapshot: ControlSnapshot = decode(data, ControlSnapshot)
        if snapshot.format != SNAPSHOT_FORMAT:
            raise WigeonspanError(
                ErrorKind.BAD_REQUEST,
                f"snapshot format {snapshot.format} is not {SNAPSHOT_FORMAT}",
            )
        self._catalog.restore(snapshot.catalog)
        self._calls.restore(snapshot.calls)
        self._orders.restore(snapshot.orders)
        self._record.restore(snapshot.record)

    def flush(self) -> None:
        """Write the record to disk and sync it.

        Raises
        ------
        StorageFull
            When the disk is full; the log then keeps its entries.
        StorageFailed
            On any other disk error; the daemon then exits.
        """
        try:
            self._record.flush()
        except OSError as error:
            kind = StorageFull if error.errno in _DISK_FULL_ERRNOS else StorageFailed
            raise kind(f"record: {error}") from error

    def _dispatch(self, index: LogIndex, message: Any) -> Any:
        if isinstance(message, CatalogCommand):
            return self._catalog.apply(index, message)
        if isinstance(message, CallCommand):
            return self._calls.apply(index, message)
        if isinstance(message, OrderCommand):
            return self._apply_order(index, message)
        return None

    def _apply_order(self, index: LogIndex, message: OrderCommand) -> OrderOutcome:
        if isinstance(message, OpenOrder):
            if self._catalog.engine(message.engine) is None:
                return OrderOutcome(False, None, f"no engine {message.engine}")
        return self._orders.apply(index, message)

    def _check_removal(self, command: ApplyChange) -> str | None:
        """Return why a removal is rejected, or None.

        An engine with an open order may still execute it, so it must stay.
        """
        change = command.change
        if isinstance(change, RemoveObject) and change.kind == "engine":
            if change.name in self._orders.opened:
                return "an order to it is open"
        return None
