"""Adapters of at-most-once calls, apart from the core because they load curl."""

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
