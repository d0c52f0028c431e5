"""Calls to the platform that are the duty of one host at a time."""

from wigeonspan.duties._messages import (
    DutyOutcome,
    DutyPort,
    DutySettings,
    ReplicaOrder,
    UsageReport,
)

__all__ = [
    "DutyOutcome",
    "DutyPort",
    "DutySettings",
    "ReplicaOrder",
    "UsageReport",
]
