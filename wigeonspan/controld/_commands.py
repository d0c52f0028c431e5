"""Every command of the replicated log."""

from msgspec import Struct

from wigeonspan.calls import CallTableSnapshot, CloseCall, ExpireCalls, OpenCall
from wigeonspan.catalog import (
    ApplyChange,
    CatalogSnapshot,
    SetEngineState,
    SetMembers,
)
from wigeonspan.orders import CloseOrder, OpenOrder, OrderTableSnapshot
from wigeonspan.record import NoteAuthority, NoteDecision, RecordHead

CatalogCommand = ApplyChange | SetEngineState | SetMembers
"""Commands of the catalogue."""

CallCommand = OpenCall | CloseCall | ExpireCalls
"""Commands of the call book."""

OrderCommand = OpenOrder | CloseOrder
"""Commands of the order table."""

NoteCommand = NoteDecision | NoteAuthority
"""Commands that only write to the record."""

Command = CatalogCommand | CallCommand | OrderCommand | NoteCommand
"""Any command; the field ``type`` names its kind."""

SNAPSHOT_FORMAT = 1
"""Format of the snapshot; raised when a field changes meaning."""


class ControlSnapshot(Struct, frozen=True):
    """Whole replicated state."""

    format: int
    catalog: CatalogSnapshot
    calls: CallTableSnapshot
    orders: OrderTableSnapshot
    record: RecordHead
