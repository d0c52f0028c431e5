"""HTTP server for complete requests, built on tornado's connections."""

from wigeonspan.serving._accepting import LAST_REQUESTS_S, accept_pending
from wigeonspan.serving._response import DELIVERY_BUFFER_BYTES, ResponseWriter
from wigeonspan.serving._server import (
    DELIVERY_S,
    FINAL_RESPONSE_TIMEOUT_S,
    CheckHead,
    RequestServer,
    ServeRequest,
)

__all__ = [
    "DELIVERY_BUFFER_BYTES",
    "DELIVERY_S",
    "FINAL_RESPONSE_TIMEOUT_S",
    "LAST_REQUESTS_S",
    "CheckHead",
    "RequestServer",
    "ResponseWriter",
    "ServeRequest",
    "accept_pending",
]
