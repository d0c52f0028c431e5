"""Reading of the list of targets, which one entry reads and sends to the others."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from wigeonspan.common import Clock, HostId
from wigeonspan.placing import Placer
from wigeonspan.sharing import ListRead, PeerLink
from wigeonspan.targets import Listing, TargetTable
from wigeonspan.trail import EventLog

REFRESH_AGE_S = 0.6
"""Age of the list in seconds at which the entry of rank 0 reads it again."""

RANK_DELAY_S = 0.3
"""Seconds added to that age for each entry whose name sorts before this one's, so that
an entry reads the list only when the entries before it do not."""

MAX_AGE_S = 1.5
"""Age in seconds at which every entry reads the list itself. Together with the duration
of a read it leaves half of the time within which a leaving target must be noticed."""

CHECK_INTERVAL_S = 0.1
"""Average seconds between two checks of the age."""

RESEND_INTERVAL_S = 3.0
"""Seconds between datagrams with the complete list, for entries that missed one."""

RETRY_DELAY_S = 0.5
"""Seconds to wait after a failed read."""


class ListingTask:
    """Keep the list of targets up to date.

    Parameters
    ----------
    read : callable
        Reads the complete list; raises ``OSError`` on failure.
    """

    def __init__(
        self,
        host: HostId,
        clock: Clock,
        target_table: TargetTable,
        placer: Placer,
        link: PeerLink,
        event_log: EventLog,
        rng: random.Random,
        read: Callable[[], Awaitable[Listing]],
    ) -> None:
        self._host = host
        self._clock = clock
        self._target_table = target_table
        self._placer = placer
        self._link = link
        self._event_log = event_log
        self._rng = rng
        self._read = read
        self._rank = 0
        self._sent_at = float("-inf")
        self._reachable = True
        self._listing: Listing | None = None

    def set_entries(self, hosts: list[HostId]) -> None:
        """Set the live entries; the rank of this one is its position by name."""
        self._rank = sum(1 for host in hosts if host < self._host)

    def receive(self, message: ListRead) -> None:
        """Apply a list, or the digest of an unchanged one, that another entry read."""
        read_at = self._clock.now() - message.age_s
        if message.listing is not None:
            self._update(message.listing, read_at, "peer")
        else:
            self._target_table.confirm(message.digest, read_at)

    async def run(self) -> None:
        """Read the list whenever it is too old."""
        while True:
            if self._clock.now() - self._target_table.read_at >= self._refresh_age_s():
                await self._refresh()
            await asyncio.sleep(CHECK_INTERVAL_S * (0.5 + self._rng.random()))

    def _refresh_age_s(self) -> float:
        return min(REFRESH_AGE_S + RANK_DELAY_S * self._rank, MAX_AGE_S)

    async def _refresh(self) -> None:
        started_at = self._clock.now()
        try:
            listing = await self._read()
        except OSError as error:
            if self._reachable:
                self._reachable = False
                self._event_log.write("listing", "list_lost", why=str(error))
            await asyncio.sleep(RETRY_DELAY_S)
            return
        if not self._reachable:
            self._reachable = True
            self._event_log.write("listing", "list_back")
        changed = self._update(listing, started_at, "read")
        now = self._clock.now()
        include_listing = changed or now - self._sent_at >= RESEND_INTERVAL_S
        if include_listing:
            self._sent_at = now
        self._link.publish(
            ListRead(
                self._target_table.digest,
                now - started_at,
                listing if include_listing else None,
            )
        )

    def _update(self, listing: Listing, read_at: float, source: str) -> bool:
        before = {t.target: t for t in self._target_table.all()}
        changed = self._target_table.update(listing, read_at)
        if changed:
            self._process_changes(before, source)
        return changed

    def _process_changes(self, before: dict, source: str) -> None:
        """Log the changes and drop the state of targets that are gone or restarted."""
        after = {t.target: t for t in self._target_table.all()}
        self._placer.pace.update(list(after.values()), self._clock.now())
        for name in before.keys() - after.keys():
            self._placer.forget(name)
        for name, target in after.items():
            if name in before and before[name].born_ms != target.born_ms:
                self._placer.forget(name)
        self._event_log.write(
            "listing",
            "targets_changed",
            source=source,
            gone=sorted(before.keys() - after.keys()),
            new=sorted(after.keys() - before.keys()),
            leaving=sorted(n for n, t in after.items() if t.leaving),
            phases={n: t.phase.value for n, t in after.items()},
        )
