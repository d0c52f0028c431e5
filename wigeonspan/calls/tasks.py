"""Entry side of at-most-once calls; a separate module because it imports curl."""

from wigeonspan.calls._control import ControlLink
from wigeonspan.calls._runner import (
    CLOSE_PATH,
    OPEN_PATH,
    CallRunner,
    ControlPost,
    Intent,
    Send,
    SendResult,
    Sent,
    hash_call,
)

__all__ = [
    "CLOSE_PATH",
    "OPEN_PATH",
    "CallRunner",
    "ControlLink",
    "ControlPost",
    "Intent",
    "Send",
    "SendResult",
    "Sent",
    "hash_call",
]
