"""Decoding of server-sent events and tracking of relayed token streams."""

from wigeonspan.streams._messages import (
    ResumePoint,
    StreamFault,
    StreamLimits,
    Token,
    TokenFrame,
    TrackerResult,
)
from wigeonspan.streams._sse import (
    MAX_EVENT_BYTES,
    SseComment,
    SseDecoder,
    SseError,
    SseEvent,
)
from wigeonspan.streams._tracker import StreamTracker

__all__ = [
    "MAX_EVENT_BYTES",
    "ResumePoint",
    "SseComment",
    "SseDecoder",
    "SseError",
    "SseEvent",
    "TrackerResult",
    "StreamFault",
    "StreamLimits",
    "StreamTracker",
    "Token",
    "TokenFrame",
]
