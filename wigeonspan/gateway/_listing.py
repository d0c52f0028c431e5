"""Reading of the list of targets: one entry reads, the others hear of it."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from wigeonspan.common import Clock, HostId
from wigeonspan.placing import Placer
from wigeonspan.sharing import ListSeen, PeerLink
from wigeonspan.targets import Listing, TargetBoard
from wigeonspan.trail import Trail

READ_AGE_S = 0.6
"""Age of the list in seconds at which the first entry reads it again."""

RANK_S = 0.3
"""Further age for each entry before this one in the order of names; the others read
only when the entries before them do not."""

MOST_AGE_S = 1.5
"""Age at which every entry reads the list by itself; with the time of a read it leaves
half of the time in which a leaving target must be noticed."""

CHECK_S = 0.1
"""Seconds between two looks at the age."""

RESEND_S = 3.0
"""Seconds between datagrams with the whole list, for entries that missed a change."""

BACK_OFF_S = 0.5
"""Seconds without a read after one that failed."""


class ListingTask:
    """Keeps the board of targets fresh.

    Parameters
    ----------
    read : callable
        Reads the whole list; raises ``OSError`` when it cannot.
    """

    def __init__(
        self,
        host: HostId,
        clock: Clock,
        board: TargetBoard,
        placer: Placer,
        link: PeerLink,
        trail: Trail,
        rng: random.Random,
        read: Callable[[], Awaitable[Listing]],
    ) -> None:
        self._host = host
        self._clock = clock
        self._board = board
        self._placer = placer
        self._link = link
        self._trail = trail
        self._rng = rng
        self._read = read
        self._rank = 0
        self._sent_at = float("-inf")
        self._reachable = True
        self._listing: Listing | None = None

    def set_entries(self, hosts: list[HostId]) -> None:
        """Note the live entries, from which the order of reading follows."""
        self._rank = sum(1 for host in hosts if host < self._host)

    def take(self, seen: ListSeen) -> None:
        """Take what another entry read."""
        read_at = self._clock.now() - seen.age_s
        if seen.listing is not None:
            self._update(seen.listing, read_at, "peer")
        else:
            self._board.confirm(seen.digest, read_at)

    async def run(self) -> None:
        """Read the list whenever it is too old."""
        while True:
            if self._clock.now() - self._board.read_at >= self._due_age_s():
                await self._refresh()
            await asyncio.sleep(CHECK_S * (0.5 + self._rng.random()))

    def _due_age_s(self) -> float:
        return min(READ_AGE_S + RANK_S * self._rank, MOST_AGE_S)

    async def _refresh(self) -> None:
        began = self._clock.now()
        try:
            listing = await self._read()
        except OSError as error:
            if self._reachable:
                self._reachable = False
                self._trail.note("listing", "list_lost", why=str(error))
            await asyncio.sleep(BACK_OFF_S)
            return
        if not self._reachable:
            self._reachable = True
            self._trail.note("listing", "list_back")
        changed = self._update(listing, began, "read")
        now = self._clock.now()
        whole = changed or now - self._sent_at >= RESEND_S
        if whole:
            self._sent_at = now
        self._link.tell(
            ListSeen(self._board.digest, now - began, listing if whole else None)
        )

    def _update(self, listing: Listing, read_at: float, source: str) -> bool:
        before = {t.target: t for t in self._board.all()}
        changed = self._board.update(listing, read_at)
        if changed:
            self._note_changes(before, source)
        return changed

    def _note_changes(self, before: dict, source: str) -> None:
        after = {t.target: t for t in self._board.all()}
        for name in before.keys() - after.keys():
            self._placer.forget(name)
        for name, target in after.items():
            if name in before and before[name].born_ms != target.born_ms:
                self._placer.forget(name)
        self._trail.note(
            "listing",
            "targets_changed",
            source=source,
            gone=sorted(before.keys() - after.keys()),
            new=sorted(after.keys() - before.keys()),
            leaving=sorted(n for n, t in after.items() if t.leaving),
            phases={n: t.phase.value for n, t in after.items()},
        )
