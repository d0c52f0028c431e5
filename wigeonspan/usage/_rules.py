"""Decision when the counts of a window are fixed.

It answers entries and control hosts that are killed, paused or cut off around the end
of a window: waiting longer makes counts more complete, and reports later.
"""

from msgspec import Struct

from wigeonspan.usage._collector import UsageCollector
from wigeonspan.usage._ledger import UsageLedger
from wigeonspan.usage._messages import DecideWindow

WAITED_SHARE = 0.5
"""Share of the time until a report is due for which missing entries are waited for; the
rest is for the report itself, to a platform that may be down for seconds."""

ABANDON_AFTER_S = 60.0
"""Seconds after the end of a window at which it is given up; nobody has its counts any
more."""


class UsageTimes(Struct, frozen=True):
    """Times of the duty.

    Parameters
    ----------
    window_ms : int
        Length of a window in milliseconds.
    due_ms : int
        Time after the end of a window at which its report is due, in milliseconds.
    """

    window_ms: int
    due_ms: int


def oldest_window(times: UsageTimes, wall_ms: int) -> int:
    """Return the oldest window that is not given up."""
    return (wall_ms - round(ABANDON_AFTER_S * 1000)) // times.window_ms


def next_decision(
    ledger: UsageLedger,
    collector: UsageCollector,
    times: UsageTimes,
    first_window: int,
    wall_ms: int,
    now: float,
) -> DecideWindow | None:
    """Return the decision on the next window, or None when it is not due.

    Windows are decided in their order and without a gap, except for those that are
    given up.

    Parameters
    ----------
    first_window : int
        First window to decide when none was decided yet.
    wall_ms : int
        Estimated true time in milliseconds since 1970.
    now : float
        Monotonic time in seconds.
    """
    newest = ledger.newest
    window = first_window if newest is None else newest + 1
    window = max(window, oldest_window(times, wall_ms))
    ended_ms = wall_ms - (window + 1) * times.window_ms
    if ended_ms < 0:
        return None
    waited_out = ended_ms >= times.due_ms * WAITED_SHARE
    if not waited_out and not collector.is_complete(window, now, times.due_ms / 1000.0):
        return None
    return DecideWindow(window, collector.counts(window))
