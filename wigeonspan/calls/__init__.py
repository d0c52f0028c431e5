"""At-most-once execution of non-idempotent calls to plain services."""

from wigeonspan.calls._book import (
    MAX_STORED_BODY_BYTES,
    OVERDUE_MARGIN_MS,
    RETENTION_MS,
    CallBook,
    drop_large_body,
)
from wigeonspan.calls._messages import (
    CallBookSnapshot,
    CallCommand,
    CallOutcome,
    CallState,
    CloseCall,
    CloseReply,
    ExpireCalls,
    OpenCall,
    OpenReply,
    OpenResult,
    StoredCall,
)

__all__ = [
    "MAX_STORED_BODY_BYTES",
    "OVERDUE_MARGIN_MS",
    "RETENTION_MS",
    "CallBook",
    "CallBookSnapshot",
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
