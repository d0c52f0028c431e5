"""At-most-once calls to plain services."""

from wigeonspan.calls._messages import (
    CallOutcome,
    CallState,
    CloseCall,
    CloseReply,
    ExpireCalls,
    OpenCall,
    OpenReply,
    OpenResult,
)

__all__ = [
    "CallOutcome",
    "CallState",
    "CloseCall",
    "CloseReply",
    "ExpireCalls",
    "OpenCall",
    "OpenReply",
    "OpenResult",
]
