"""Commands of the replicated log and the format of its snapshot."""

from msgspec import Struct

from wigeonspan.calls import CallTableSnapshot, CloseCall, ExpireCalls, OpenCall
from wigeonspan.catalog import (
    ApplyChange,
    CatalogSnapshot,
    SetEngineState,
    SetMembers,
)
from wigeonspan.orders import CloseOrder, OpenOrder, OrderTableSnapshot
from wigeonspan.record import RecordAuthority, RecordDecision, RecordHead

CatalogCommand = ApplyChange | SetEngineState | SetMembers
"""Commands of the catalog."""

CallCommand = OpenCall | CloseCall | ExpireCalls
"""Commands of the call table."""

OrderCommand = OpenOrder | CloseOrder
"""Commands of the order table."""

RecordOnlyCommand = RecordDecision | RecordAuthority
"""Commands that only add an entry to the record."""

Command = CatalogCommand | CallCommand | OrderCommand | RecordOnlyCommand
"""Any command; the encoded field ``type`` identifies it."""

SNAPSHOT_FORMAT = 1
"""Version of the snapshot format; increment it when a field changes meaning."""


class ControlSnapshot(Struct, frozen=True):
    """Snapshot of the complete replicated state."""

    format: int
    catalog: CatalogSnapshot
    calls: CallTableSnapshot
    orders: OrderTableSnapshot
    record: RecordHead
