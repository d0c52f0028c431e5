"""Metered use: requests of each tenant that began to run, in windows of true time."""

from typing import TYPE_CHECKING

from wigeonspan.common import load_on_use
from wigeonspan.usage._clock import TrueTime
from wigeonspan.usage._collector import UsageCollector
from wigeonspan.usage._counter import UsageCounter
from wigeonspan.usage._ledger import UsageLedger
from wigeonspan.usage._messages import DecideWindow, UsageShare, WindowReported
from wigeonspan.usage._meter import UsageMeter
from wigeonspan.usage._rules import UsageTimes, next_decision

if TYPE_CHECKING:
    from wigeonspan.usage._task import UsageTask

# Imported on first use, because only control hosts need it.
__getattr__ = load_on_use(__name__, {"UsageTask": "_task"})

__all__ = [
    "DecideWindow",
    "TrueTime",
    "UsageCollector",
    "UsageCounter",
    "UsageLedger",
    "UsageMeter",
    "UsageShare",
    "UsageTask",
    "UsageTimes",
    "WindowReported",
    "next_decision",
]
