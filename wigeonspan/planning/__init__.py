"""Role planning: which engines prefill, decode or do both."""

from wigeonspan.planning._core import Planner
from wigeonspan.planning._messages import (
    Plan,
    PlanInputs,
    PlanningSettings,
    RoleChange,
    ServiceDecision,
)
from wigeonspan.planning._task import DemandSource, PlannerTask

__all__ = [
    "DemandSource",
    "Plan",
    "PlanInputs",
    "Planner",
    "PlannerTask",
    "PlanningSettings",
    "RoleChange",
    "ServiceDecision",
]
