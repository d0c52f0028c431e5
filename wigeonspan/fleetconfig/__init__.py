"""Configuration of the fleet: one versioned document with all routes and services."""

from wigeonspan.fleetconfig._machine import (
    ConfigStateMachine,
    StoredConfig,
    encode_store_command,
)
from wigeonspan.fleetconfig._messages import (
    ApiKey,
    CallerLimits,
    CallKind,
    EngineTraits,
    FleetConfig,
    Route,
    ScalingSpec,
    ServiceSpec,
    TenantSpec,
    WeightedService,
)
from wigeonspan.fleetconfig._table import RouteTable
from wigeonspan.fleetconfig._validation import check_config

__all__ = [
    "ApiKey",
    "CallKind",
    "CallerLimits",
    "ConfigStateMachine",
    "EngineTraits",
    "FleetConfig",
    "Route",
    "RouteTable",
    "ScalingSpec",
    "ServiceSpec",
    "StoredConfig",
    "TenantSpec",
    "WeightedService",
    "check_config",
    "encode_store_command",
]
