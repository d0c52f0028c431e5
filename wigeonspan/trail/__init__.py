"""Structured decision log and metrics of one process, for on-call engineers."""

from typing import TYPE_CHECKING

from wigeonspan.common import load_on_use
from wigeonspan.trail._errors import make_error_reporter, report_loop_errors
from wigeonspan.trail._log import EventLog, open_event_log
from wigeonspan.trail._meters import ProcessMetrics
from wigeonspan.trail._writer import LineWriter

if TYPE_CHECKING:
    from wigeonspan.trail._bridge import bridge_logs

__getattr__ = load_on_use(__name__, {"bridge_logs": "_bridge"})

__all__ = [
    "LineWriter",
    "ProcessMetrics",
    "EventLog",
    "bridge_logs",
    "make_error_reporter",
    "open_event_log",
    "report_loop_errors",
]
