"""Role planning: decides which engines prefill, decode or do both."""

from wigeonspan.planning._core import Planner
from wigeonspan.planning._goodput import (
    Demand,
    EngineRates,
    Load,
    RoleCounts,
    assignments,
    expected_goodput,
)
from wigeonspan.planning._messages import (
    Plan,
    PlanInputs,
    PlanningSettings,
    RoleChange,
    ServiceDecision,
)
from wigeonspan.planning._task import DemandSource, PlannerTask

__all__ = [
    "RoleCounts",
    "Demand",
    "DemandSource",
    "Load",
    "Plan",
    "PlanInputs",
    "Planner",
    "PlannerTask",
    "PlanningSettings",
    "EngineRates",
    "RoleChange",
    "ServiceDecision",
    "assignments",
    "expected_goodput",
]
