"""Answers of the directory and the timing of a drain."""

import random
from collections.abc import Collection

from msgspec import Struct

from wigeonspan.catalog import EntryHost, EntryState
from wigeonspan.common import DomainName, HostId

KEEP_S = 5.0
"""Seconds for which callers keep an answer."""


class DirectoryEntry(Struct, frozen=True):
    """An entry that callers may connect to."""

    host: HostId
    address: str
    domain: DomainName


class DirectoryAnswer(Struct, frozen=True):
    """Answer of ``GET /v1/directory``; ``keep_s`` is how long it may be kept."""

    entries: list[DirectoryEntry]
    keep_s: float = KEEP_S


def list_entries(
    hosts: list[EntryHost],
    live: Collection[HostId],
    excluded: Collection[HostId],
    domain: DomainName | None,
    rng: random.Random,
) -> DirectoryAnswer:
    """Return the entries for one caller.

    Parameters
    ----------
    hosts : list of EntryHost
        Entry hosts of the configuration.
    live : collection of HostId
        Entries that hold a lease and do not drain, as the leader last said.
    excluded : collection of HostId
        Entries that must not be named although they are live, such as this one when
        it drains.
    domain : DomainName or None
        Failure domain of the caller, if it told.
    rng : random.Random
        Source of the order.

    Returns
    -------
    DirectoryAnswer
        Entries of the caller's domain first, then one of each other domain in turn,
        so that a caller that tries them in order leaves a failed domain at once. The
        order within a domain is random, which spreads callers over hosts.
    """
    by_domain: dict[DomainName, list[DirectoryEntry]] = {}
    for host in hosts:
        usable = host.state is EntryState.ACTIVE and host.name in live
        if usable and host.name not in excluded:
            entry = DirectoryEntry(host.name, host.address, host.domain)
            by_domain.setdefault(host.domain, []).append(entry)
    for entries in by_domain.values():
        rng.shuffle(entries)
    answer = by_domain.pop(domain, []) if domain is not None else []
    others = list(by_domain.values())
    rng.shuffle(others)
    while others:
        answer += [entries.pop() for entries in others]
        others = [entries for entries in others if entries]
    return DirectoryAnswer(answer)


class Drain:
    """Timing of one entry's graceful stop.

    The leader leaves a draining entry out of the live entries. Another entry hears of
    it with its next sync, or its lease ends first and it answers no directory
    request. An answer given just before that is kept for ``KEEP_S``.

    Parameters
    ----------
    now : float
        Monotonic time in seconds at which the drain began.
    lease_until : float
        End of this entry's routing lease.
    lease_s : float
        Length of a routing lease.
    """

    def __init__(self, now: float, lease_until: float, lease_s: float) -> None:
        self._lease_s = lease_s
        # Without a sync the leader stops naming this entry when its lease has ended.
        self._noticed_at = max(now, lease_until)
        self._hurried = False

    @property
    def stop_at(self) -> float:
        """Monotonic time at which no kept answer can name this entry."""
        return self._noticed_at + self._lease_s + KEEP_S

    def noticed(self, now: float) -> None:
        """Note that the leader took a sync that said this entry drains."""
        self._noticed_at = min(self._noticed_at, now)

    def hurry(self) -> None:
        """Skip the wait for kept answers; running requests are still waited for."""
        self._hurried = True

    def may_refuse(self, now: float) -> bool:
        """Whether new requests may be refused."""
        return now >= self.stop_at

    def may_end(self, now: float, in_flight: int) -> bool:
        """Whether the process may end.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        in_flight : int
            Requests that run here.
        """
        return in_flight == 0 and (self._hurried or now >= self.stop_at)
