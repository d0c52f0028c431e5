"""Number of replicas of services in each failure domain, and the orders for it."""

from typing import TYPE_CHECKING

from wigeonspan.common import load_on_use
from wigeonspan.scaling._demand import PeakDemand, needed_engines
from wigeonspan.scaling._ledger import ScalingLedger
from wigeonspan.scaling._messages import (
    DomainFleet,
    FleetNeed,
    FleetPlan,
    OrderRecorded,
)
from wigeonspan.scaling._plan import next_step, plan_fleet

if TYPE_CHECKING:
    from wigeonspan.scaling._task import ScalingTask

# Imported on first use, because only control hosts need it.
__getattr__ = load_on_use(__name__, {"ScalingTask": "_task"})

__all__ = [
    "DomainFleet",
    "FleetNeed",
    "FleetPlan",
    "OrderRecorded",
    "PeakDemand",
    "ScalingLedger",
    "ScalingTask",
    "needed_engines",
    "next_step",
    "plan_fleet",
]
