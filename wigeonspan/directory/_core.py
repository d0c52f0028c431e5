"""Responses of the directory and the timing of a drain."""

import random
from collections.abc import Collection

from msgspec import Struct

from wigeonspan.catalog import EntryHost, EntryState
from wigeonspan.common import DomainName, HostId

KEEP_S = 5.0
"""Seconds for which callers may cache a directory response."""


class DirectoryEntry(Struct, frozen=True):
    """Entry host that callers may connect to."""

    host: HostId
    address: str
    domain: DomainName


class DirectoryResponse(Struct, frozen=True):
    """Response of ``GET /v1/directory``, which callers may cache for ``keep_s``."""

    entries: list[DirectoryEntry]
    keep_s: float = KEEP_S


def list_entries(
    hosts: list[EntryHost],
    live: Collection[HostId],
    excluded: Collection[HostId],
    domain: DomainName | None,
    rng: random.Random,
) -> DirectoryResponse:
    """Return the entry hosts for one caller in the order in which to try them.

    Parameters
    ----------
    hosts : list of EntryHost
        Entry hosts of the configuration.
    live : collection of HostId
        Entries that hold a lease and are not draining, as last reported by the leader.
    excluded : collection of HostId
        Live entries that must not be listed, such as this one while it drains.
    domain : DomainName or None
        Failure domain of the caller, if known.
    rng : random.Random
        Source of the random order.

    Returns
    -------
    DirectoryResponse
        Entries of the caller's failure domain first, then one of each other domain in
        turn, so that a caller that tries them in order does not stay in a failed
        domain. The order within a domain is random, which spreads callers over hosts.
    """
    by_domain: dict[DomainName, list[DirectoryEntry]] = {}
    for host in hosts:
        usable = host.state is EntryState.ACTIVE and host.name in live
        if usable and host.name not in excluded:
            entry = DirectoryEntry(host.name, host.address, host.domain)
            by_domain.setdefault(host.domain, []).append(entry)
    for entries in by_domain.values():
        rng.shuffle(entries)
    ordered = by_domain.pop(domain, []) if domain is not None else []
    other_domains = list(by_domain.values())
    rng.shuffle(other_domains)
    while other_domains:
        ordered += [entries.pop() for entries in other_domains]
        other_domains = [entries for entries in other_domains if entries]
    return DirectoryResponse(ordered)


class Drain:
    """Timing of the graceful shutdown of one entry.

    The leader removes a draining entry from the live entries. Another entry learns
    of this with its next sync; if its lease ends first, it serves no directory
    requests. A response sent just before that may be cached for ``KEEP_S``.

    Parameters
    ----------
    now : float
        Monotonic time in seconds at which the drain began.
    lease_until : float
        Monotonic time in seconds at which this entry's routing lease ends.
    lease_s : float
        Duration of a routing lease in seconds.
    """

    def __init__(self, now: float, lease_until: float, lease_s: float) -> None:
        self._lease_s = lease_s
        # Without a sync, the leader stops listing this entry when its lease has ended.
        self._leader_notified_at = max(now, lease_until)
        self._skip_wait = False

    @property
    def stop_at(self) -> float:
        """Monotonic time from which no cached response can list this entry."""
        return self._leader_notified_at + self._lease_s + KEEP_S

    def record_leader_notified(self, now: float) -> None:
        """Record that the leader received a sync saying that this entry drains."""
        self._leader_notified_at = min(self._leader_notified_at, now)

    def skip_wait(self) -> None:
        """Do not wait for cached responses to expire, only for running requests."""
        self._skip_wait = True

    def may_refuse(self, now: float) -> bool:
        """Whether this entry may refuse new requests."""
        return now >= self.stop_at

    def may_exit(self, now: float, in_flight: int) -> bool:
        """Whether the process may exit.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        in_flight : int
            Number of requests that are running on this entry.
        """
        return in_flight == 0 and (self._skip_wait or now >= self.stop_at)
