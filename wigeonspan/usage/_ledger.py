"""Replicated state of metered use: what was decided, and what was reported."""

from msgspec import Struct

from wigeonspan.common import TenantName
from wigeonspan.usage._messages import DecideWindow, WindowReported

KEPT_WINDOWS = 24
"""Reported windows that are kept, so that a command that is repeated much later finds
its window decided."""


MAX_UNREPORTED = 1440
"""Maximum number of windows that wait for an acknowledgement, two hours of them;
reports are due within seconds, and each control host keeps the counts in memory."""


class DecidedWindow(Struct):
    """Counts of a window, and whether their report was acknowledged."""

    window: int
    counts: tuple[tuple[TenantName, int], ...]
    reported: bool = False


class UsageLedger:
    """Windows that were decided; the first decision of a window stands."""

    def __init__(self) -> None:
        self._windows: dict[int, DecidedWindow] = {}

    @property
    def newest(self) -> int | None:
        """Newest window that was decided; None before the first."""
        return max(self._windows, default=None)

    @property
    def unreported(self) -> list[DecidedWindow]:
        """Windows whose report was not acknowledged, oldest first."""
        waiting = (w for w in self._windows.values() if not w.reported)
        return sorted(waiting, key=lambda w: w.window)

    @property
    def is_empty(self) -> bool:
        """Whether no window was ever decided."""
        return not self._windows

    def apply(self, command: DecideWindow | WindowReported) -> DecidedWindow | None:
        """Apply a committed command and return the window as it is then.

        None is returned for a window that is older than all that are kept.
        """
        match command:
            case DecideWindow():
                newest = self.newest
                if newest is None or command.window > newest:
                    decided = DecidedWindow(command.window, command.counts)
                    self._windows[command.window] = decided
                    self._forget_old()
            case WindowReported():
                if command.window in self._windows:
                    self._windows[command.window].reported = True
        return self._windows.get(command.window)

    def save(self) -> list[DecidedWindow]:
        """Return the state for a snapshot."""
        return [self._windows[w] for w in sorted(self._windows)]

    def restore(self, windows: list[DecidedWindow]) -> None:
        """Replace the state by that of a snapshot."""
        self._windows = {w.window: w for w in windows}

    def _forget_old(self) -> None:
        reported = sorted(w.window for w in self._windows.values() if w.reported)
        waiting = [w.window for w in self.unreported]
        for window in (*reported[:-KEPT_WINDOWS], *waiting[:-MAX_UNREPORTED]):
            del self._windows[window]
