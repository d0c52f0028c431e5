"""Routing: the choice of an engine for each request, and the health of targets."""

from wigeonspan.routing._core import Router
from wigeonspan.routing._health import TargetHealth
from wigeonspan.routing._messages import (
    AttemptEnd,
    AttemptResult,
    EngineRoute,
    PromptPrefix,
    RouteRequest,
    RoutingSettings,
)

__all__ = [
    "AttemptEnd",
    "AttemptResult",
    "EngineRoute",
    "PromptPrefix",
    "RouteRequest",
    "Router",
    "RoutingSettings",
    "TargetHealth",
]
