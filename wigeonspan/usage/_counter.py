"""Counts of one entry: requests of each tenant that began to run, by window."""

from collections import Counter

from wigeonspan.common import TenantName
from wigeonspan.usage._messages import UsageShare


class UsageCounter:
    """Count requests by tenant in windows of true time.

    The counts of recent windows are sent again in each message, so that a message that
    is lost, or a control host that takes over, loses nothing.

    Parameters
    ----------
    incarnation : str
        Random id of this start of the process.
    window_ms : int
        Length of a window in milliseconds.
    kept_ms : int
        Time after its end for which a window is kept, in milliseconds.
    """

    def __init__(self, incarnation: str, window_ms: int, kept_ms: int) -> None:
        self._incarnation = incarnation
        self._window_ms = window_ms
        self._kept_ms = kept_ms
        self._sequence = 0
        self._windows: dict[int, Counter[TenantName]] = {}

    def add(self, tenant: TenantName, wall_ms: int, number: int = 1) -> None:
        """Count a request that began to run; -1 withdraws one that did not.

        Parameters
        ----------
        wall_ms : int
            True time at which it began, in milliseconds since 1970.
        """
        window = wall_ms // self._window_ms
        self._windows.setdefault(window, Counter())[tenant] += number

    def share(self, wall_ms: int) -> UsageShare:
        """Return the next message for control hosts and forget old windows.

        Parameters
        ----------
        wall_ms : int
            True time in milliseconds since 1970.
        """
        oldest = (wall_ms - self._kept_ms) // self._window_ms - 1
        self._windows = {w: c for w, c in self._windows.items() if w >= oldest}
        self._sequence += 1
        windows = {w: dict(+counts) for w, counts in self._windows.items()}
        return UsageShare(self._incarnation, self._sequence, wall_ms, windows)
