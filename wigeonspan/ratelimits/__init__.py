"""Limits that a target sets on the requests of all entries together."""

from wigeonspan.ratelimits._returns import ReturnSchedule
from wigeonspan.ratelimits._turns import SharedRateLimits

__all__ = ["ReturnSchedule", "SharedRateLimits"]
