"""Decision log and metrics of one process, for the engineer on call."""

from wigeonspan.trail._bridge import bridge_logs
from wigeonspan.trail._log import Trail, open_trail
from wigeonspan.trail._meters import Meters
from wigeonspan.trail._writer import LineWriter

__all__ = ["LineWriter", "Meters", "Trail", "bridge_logs", "open_trail"]
