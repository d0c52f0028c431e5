"""Counts of all entries, as one control host knows them."""

from collections import Counter

from msgspec import Struct

from wigeonspan.common import HostId, TenantName
from wigeonspan.usage._clock import TrueTime
from wigeonspan.usage._messages import UsageShare

FORGET_AFTER_S = 60.0
"""Seconds after which the counts of an entry that is gone are forgotten; reports are
due within seconds."""


MAX_WINDOWS = 64
"""Maximum number of windows that are kept of an entry; it sends three, and windows of a
minute are kept. Those of a clock that was far ahead are left out."""


class _EntryUse(Struct):
    incarnation: str
    sequence: int
    wall_ms: int
    received_at: float
    # Counts by incarnation and window: a restarted entry does not repeat the counts of
    # its earlier start.
    windows: dict[tuple[str, int], dict[TenantName, int]]


class UsageCollector:
    """Collect the counts of entries until their windows are decided.

    Parameters
    ----------
    window_ms : int
        Length of a window in milliseconds.
    true_time : TrueTime
        Clock that the entries' estimates of the true time are recorded in.
    """

    def __init__(self, window_ms: int, true_time: TrueTime) -> None:
        self._window_ms = window_ms
        self._true_time = true_time
        self._entries: dict[HostId, _EntryUse] = {}

    def record(self, host: HostId, share: UsageShare, now: float) -> None:
        """Record the counts of an entry; a message that is overtaken is ignored."""
        entry = self._entries.get(host)
        if entry is None:
            entry = self._entries[host] = _EntryUse("", 0, 0, now, {})
        is_old = share.sequence <= entry.sequence
        if share.incarnation == entry.incarnation and is_old:
            return
        entry.incarnation, entry.sequence = share.incarnation, share.sequence
        entry.wall_ms, entry.received_at = share.wall_ms, now
        for window, counts in share.windows.items():
            entry.windows[share.incarnation, window] = counts
        for key in sorted(entry.windows, key=lambda key: key[1])[MAX_WINDOWS:]:
            del entry.windows[key]
        self._true_time.record(host, share.wall_ms, now)

    def forget_before(self, window: int, now: float) -> None:
        """Forget older windows, and entries that have long been silent."""
        for host, entry in list(self._entries.items()):
            entry.windows = {k: c for k, c in entry.windows.items() if k[1] >= window}
            if now - entry.received_at > FORGET_AFTER_S:
                del self._entries[host]

    def counts(self, window: int) -> tuple[tuple[TenantName, int], ...]:
        """Return the counts of a window over all entries, sorted by tenant."""
        total: Counter[TenantName] = Counter()
        for entry in self._entries.values():
            for (_, counted), counts in entry.windows.items():
                if counted == window:
                    total.update(counts)
        return tuple(sorted((t, n) for t, n in total.items() if n > 0))

    def is_complete(self, window: int, now: float, recent_s: float) -> bool:
        """Return whether all entries have reported since the end of a window.

        Without any entry, this host does not know what was counted.

        Parameters
        ----------
        recent_s : float
            Seconds for which an entry that is silent is still expected to report.
        """
        end_ms = (window + 1) * self._window_ms
        return bool(self._entries) and all(
            entry.wall_ms >= end_ms or now - entry.received_at > recent_s
            for entry in self._entries.values()
        )
