"""Entry side of at-most-once calls; a separate module because it imports curl."""

from wigeonspan.calls._control import LeaderClient
from wigeonspan.calls._runner import (
    CLOSE_PATH,
    OPEN_PATH,
    CallRunner,
    ExecutionResult,
    KeyedCall,
    PostToLeader,
    Send,
    SendResult,
    hash_call,
)

__all__ = [
    "CLOSE_PATH",
    "OPEN_PATH",
    "CallRunner",
    "LeaderClient",
    "PostToLeader",
    "KeyedCall",
    "Send",
    "SendResult",
    "ExecutionResult",
    "hash_call",
]
