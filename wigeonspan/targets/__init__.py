"""Targets that requests may be sent to, from the fleet's list, which lags behind."""

from wigeonspan.targets._messages import Listing, Phase, Target, TargetId
from wigeonspan.targets._table import TargetTable

__all__ = ["Listing", "Phase", "Target", "TargetTable", "TargetId"]
