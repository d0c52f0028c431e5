"""Gateway process: serves callers, places their requests and relays the responses."""

from wigeonspan.gateway._daemon import Gateway
from wigeonspan.gateway._messages import (
    CallerRequest,
    HiddenHeaders,
    PromptHandle,
    SendOptions,
    TargetNotice,
    TargetOutcome,
    TargetProtocol,
)
from wigeonspan.gateway._run import run_gateway
from wigeonspan.gateway._settings import STOP_TIMEOUT_S, GatewaySettings

__all__ = [
    "STOP_TIMEOUT_S",
    "CallerRequest",
    "Gateway",
    "GatewaySettings",
    "HiddenHeaders",
    "PromptHandle",
    "SendOptions",
    "TargetNotice",
    "TargetOutcome",
    "TargetProtocol",
    "run_gateway",
]
