"""HTTP server for complete requests, built on tornado's connections."""

from wigeonspan.serving._accepting import LAST_REQUESTS_S, accept_pending
from wigeonspan.serving._body import BodyBuffer, announced_bytes
from wigeonspan.serving._bounds import (
    BASE_MEMORY_MB,
    DEFAULT_MAX_FDS,
    DEFAULT_MEMORY_MB,
    MIN_CALLER_MB,
    CallerRules,
    ProcessLimits,
    process_limits,
)
from wigeonspan.serving._guard import CallerGuard, CallerStream
from wigeonspan.serving._records import make_limit_recorder, show_limits
from wigeonspan.serving._response import DELIVERY_BUFFER_BYTES, ResponseWriter
from wigeonspan.serving._server import (
    DELIVERY_S,
    FINAL_RESPONSE_TIMEOUT_S,
    CheckHead,
    RequestServer,
    ServeRequest,
)
from wigeonspan.serving._shedding import CloseReason, Holding

__all__ = [
    "BASE_MEMORY_MB",
    "DELIVERY_BUFFER_BYTES",
    "DELIVERY_S",
    "FINAL_RESPONSE_TIMEOUT_S",
    "LAST_REQUESTS_S",
    "MIN_CALLER_MB",
    "DEFAULT_MAX_FDS",
    "DEFAULT_MEMORY_MB",
    "BodyBuffer",
    "CallerGuard",
    "CallerRules",
    "CallerStream",
    "CheckHead",
    "CloseReason",
    "Holding",
    "ProcessLimits",
    "RequestServer",
    "ResponseWriter",
    "ServeRequest",
    "accept_pending",
    "announced_bytes",
    "make_limit_recorder",
    "process_limits",
    "show_limits",
]
