"""Assignment of engines to prefill and decode, and the orders that change it."""

from wigeonspan.staging._messages import (
    EngineDemand,
    EngineReport,
    OrderOutcome,
    OrderPort,
    PhaseOrder,
)
from wigeonspan.staging._meter import DemandMeter
from wigeonspan.staging._plan import (
    allowed_changes,
    desired_decode_engines,
    next_changes,
)
from wigeonspan.staging._task import Authority, PhaseChangeTask

__all__ = [
    "Authority",
    "DemandMeter",
    "EngineDemand",
    "EngineReport",
    "OrderOutcome",
    "OrderPort",
    "PhaseOrder",
    "PhaseChangeTask",
    "allowed_changes",
    "desired_decode_engines",
    "next_changes",
]
