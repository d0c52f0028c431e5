"""Phases of engines: how many read prompts, and the orders that change it."""

from wigeonspan.staging._messages import (
    Demand,
    EngineReport,
    OrderOutcome,
    OrderPort,
    PhaseOrder,
)
from wigeonspan.staging._meter import DemandMeter
from wigeonspan.staging._plan import next_changes, wanted_decode
from wigeonspan.staging._task import Authority, StagingTask

__all__ = [
    "Authority",
    "Demand",
    "DemandMeter",
    "EngineReport",
    "OrderOutcome",
    "OrderPort",
    "PhaseOrder",
    "StagingTask",
    "next_changes",
    "wanted_decode",
]
