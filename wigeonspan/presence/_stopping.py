"""Entries that have announced their stop before the list of entries shows it.

Callers ask an entry's directory once a second, and control hosts bring a stop to the
other entries with the reply to their next heartbeat, up to 0.6 s later.
"""

from collections.abc import Collection

from wigeonspan.common import HostId
from wigeonspan.presence._messages import EntryInfo, EntryState


class StoppingEntries:
    """Entries that new directory responses leave out until a list shows their stop."""

    def __init__(self) -> None:
        self._until: dict[HostId, float] = {}

    def record(
        self, host: HostId, drain_s: float, entries: list[EntryInfo], now: float
    ) -> bool:
        """Record that an entry has announced its stop.

        Parameters
        ----------
        drain_s : float
            Seconds for which its process still runs at least.
        entries : list of EntryInfo
            Latest list of entries.

        Returns
        -------
        bool
            Whether it is left out from now on. It is not when the list shows that it is
            not ready or does not contain it.
        """
        if not any(e.host == host and e.state is EntryState.READY for e in entries):
            return False
        self._until[host] = now + drain_s
        return True

    def update(self, entries: list[EntryInfo]) -> None:
        """Process a new list, which shows whether an entry is still ready.

        Once it has shown an announced stop, a later list in which the entry is ready
        shows that it has restarted.
        """
        ready = {e.host for e in entries if e.state is EntryState.READY}
        self._until = {h: until for h, until in self._until.items() if h in ready}

    def hosts(self, now: float) -> Collection[HostId]:
        """Return the entries to leave out.

        An entry that no list has shown as stopping may have restarted when its drain
        time is over.
        """
        return {host for host, until in self._until.items() if now < until}
