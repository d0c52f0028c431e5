"""At-most-once execution of non-idempotent calls to plain services."""

from wigeonspan.calls._messages import (
    CallCommand,
    CallOutcome,
    CallState,
    CallTableSnapshot,
    CloseCall,
    CloseReply,
    ExpireCalls,
    OpenCall,
    OpenReply,
    OpenResult,
    StoredCall,
)
from wigeonspan.calls._table import (
    MAX_STORED_BODY_BYTES,
    OVERDUE_MARGIN_MS,
    RETENTION_MS,
    CallTable,
    drop_large_body,
)

__all__ = [
    "MAX_STORED_BODY_BYTES",
    "OVERDUE_MARGIN_MS",
    "RETENTION_MS",
    "CallTable",
    "CallTableSnapshot",
    "CallCommand",
    "CallOutcome",
    "CallState",
    "CloseCall",
    "CloseReply",
    "ExpireCalls",
    "StoredCall",
    "OpenCall",
    "OpenReply",
    "OpenResult",
    "drop_large_body",
]
