"""At-most-once calls to plain services."""

from wigeonspan.calls._book import (
    MAX_STORED_BODY_BYTES,
    OVERDUE_MARGIN_MS,
    RETENTION_MS,
    CallBook,
    limit_outcome,
)
from wigeonspan.calls._messages import (
    CallBookSnapshot,
    CallCommand,
    CallOutcome,
    CallState,
    CloseCall,
    CloseReply,
    ExpireCalls,
    KeptCall,
    OpenCall,
    OpenReply,
    OpenResult,
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
    "KeptCall",
    "OpenCall",
    "OpenReply",
    "OpenResult",
    "limit_outcome",
]
