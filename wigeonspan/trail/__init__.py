"""Structured decision log and metrics of one process, for on-call engineers."""

from typing import TYPE_CHECKING

from wigeonspan.common import load_on_use
from wigeonspan.trail._errors import note_errors, watch_loop
from wigeonspan.trail._log import Trail, open_trail
from wigeonspan.trail._meters import Meters
from wigeonspan.trail._writer import LineWriter

if TYPE_CHECKING:
    from wigeonspan.trail._bridge import bridge_logs

__getattr__ = load_on_use(__name__, {"bridge_logs": "_bridge"})

__all__ = [
    "LineWriter",
    "Meters",
    "Trail",
    "bridge_logs",
    "note_errors",
    "open_trail",
    "watch_loop",
]
