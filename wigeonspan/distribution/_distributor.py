"""Configuration versions and routing leases of entries, tracked by the leader."""

from collections import deque
from typing import Protocol

from wigeonspan.catalog import CatalogObject, EntryHost, EntryState, ObjectUpdate
from wigeonspan.common import EngineId, HostId, Term, Version
from wigeonspan.distribution._messages import InFlight, SyncReply, SyncRequest
from wigeonspan.distribution._samples import SampleWindow
from wigeonspan.distribution._shares import TenantShares

ROUTING_LEASE_S = 4.0
"""Length of a routing lease in seconds; longer than an election of about 2.5 s."""

MAX_CLOCK_DRIFT = 0.01
"""Maximum relative difference between the rates of two hosts' clocks."""

PROCESS_RETENTION_S = 60.0
"""Time in seconds for which an entry process is kept after its lease ends."""

LEASE_RETENTION_S = 10.0
"""Time in seconds for which an expired lease is kept.

It allows ``Distributor.in_force`` to be called for a time in the recent past.
"""

LIVE_ENTRIES_CACHE_S = 0.25
"""Time in seconds for which the list of live entries in replies is cached.

Half a sync interval. Listing them again for each sync would cost time quadratic in
their number.
"""


class ConfigurationSource(Protocol):
    """Interface to the applied configuration of the replicated state machine."""

    @property
    def version(self) -> Version:
        """Version of the configuration."""
        ...

    def objects(self) -> list[CatalogObject]:
        """Return all objects."""
        ...

    def updates_after(self, version: Version) -> list[ObjectUpdate] | None:
        """Return the updates after a version in order; None when no longer kept."""
        ...


class _EntryProcess:
    """Last report and leases of one incarnation of an entry."""

    def __init__(self, request: SyncRequest) -> None:
        self.request = request
        self.confirmed_version = request.version
        self.leases: deque[tuple[Version, float]] = deque()

    @property
    def lease_end(self) -> float:
        """Time by which the last lease ends, allowing for drift; 0 without one."""
        return self.leases[-1][1] if self.leases else 0.0

    def add_lease(self, version: Version, end: float) -> None:
        """Record a lease that was granted together with a configuration version."""
        while self.leases and self.leases[-1][0] == version:
            self.leases.pop()
        self.leases.append((version, end))

    def prune_leases(self, now: float) -> None:
        """Drop leases that ended over ``LEASE_RETENTION_S`` ago, except the last."""
        while len(self.leases) > 1 and self.leases[0][1] + LEASE_RETENTION_S <= now:
            self.leases.popleft()

    def may_route_by_version_before(self, version: Version, now: float) -> bool:
        """Return whether the process may still route by a version before this one.

        An entry accepts a lease only together with the version in the same reply, so
        only leases granted with an earlier version count. This limits the wait for
        an entry whose requests arrive while the replies to it are lost.
        """
        if self.confirmed_version >= version:
            return False
        return any(
            granted_version < version and end > now
            for granted_version, end in self.leases
        )


class Distributor:
    """Track configuration versions, routing leases and samples of all entries.

    The leader has one instance for its term. It does not know the leases that earlier
    leaders granted, so until they have ended it reports no version as in force.

    Parameters
    ----------
    source : ConfigurationSource
        Applied configuration.
    term : Term
        Term in which this host leads.
    now : float
        Monotonic time in seconds at which this host became the leader.
    lease_s : float
        Length of a routing lease in seconds.
    """

    def __init__(
        self,
        source: ConfigurationSource,
        term: Term,
        now: float,
        lease_s: float = ROUTING_LEASE_S,
    ) -> None:
        self._source = source
        self._term = term
        self._lease_s = lease_s
        self._old_leases_end = now + lease_s * (1.0 + MAX_CLOCK_DRIFT)
        self._processes: dict[tuple[HostId, str], _EntryProcess] = {}
        self._current_incarnations: dict[HostId, str] = {}
        self._samples = SampleWindow(now)
        self._shares = TenantShares()
        self._cached_live: list[HostId] = []
        self._live_cache_expiry = now
        self._live_revision = 0

    @property
    def term(self) -> Term:
        """Term that this instance serves."""
        return self._term

    @property
    def old_leases_end(self) -> float:
        """Monotonic time in seconds by which leases of earlier leaders have ended."""
        return self._old_leases_end

    @property
    def samples(self) -> SampleWindow:
        """Demand and engine work of the last minute."""
        return self._samples

    def sync(self, request: SyncRequest, now: float) -> SyncReply:
        """Record an entry's report and grant it a lease with the configuration.

        Parameters
        ----------
        request : SyncRequest
            Report of the entry.
        now : float
            Monotonic time of arrival in seconds.

        Returns
        -------
        SyncReply
            Lease with the updates after the entry's version, or with a snapshot.
        """
        self._samples.add(request, now)
        process = self._record_report(request, now)
        version = self._source.version
        process.add_lease(version, now + self._lease_s * (1.0 + MAX_CLOCK_DRIFT))
        updates = self._updates_for(request.version)
        live = self._get_cached_live(now)
        stamp = f"{self._term}-{self._live_revision}"
        key = (request.entry, request.incarnation)
        return SyncReply(
            term=self._term,
            lease_s=self._lease_s,
            version=version,
            snapshot=self._source.objects() if updates is None else None,
            updates=updates or [],
            live_entries=None if request.live_stamp == stamp else live,
            tenant_shares=self._shares.compute_shares(key, len(live)),
            live_stamp=stamp,
        )

    def live_entries(self, now: float) -> list[HostId]:
        """Return the entries that hold a lease and do not drain, sorted.

        While leases of earlier leaders may still be valid, active entry hosts of the
        configuration that have not reported yet count as live.
        """
        live = {
            entry for entry in self._current_incarnations if self._is_live(entry, now)
        }
        if now < self._old_leases_end:
            live |= {
                name
                for name in self._active_entry_hosts()
                if name not in self._current_incarnations
            }
        return sorted(live)

    def in_force(self, version: Version, now: float) -> bool:
        """Return whether no entry can still route by a version before this one.

        Parameters
        ----------
        version : Version
            Version of a committed change.
        now : float
            Monotonic time in seconds by which older leases must have ended. It may lie
            up to 10 s in the past; confirmations count regardless of their time.
        """
        if now < self._old_leases_end or self._source.version < version:
            return False
        return not self.entries_pending(version, now)

    def entries_pending(self, version: Version, now: float) -> list[HostId]:
        """Return tracked entries that may still route by an earlier version, sorted."""
        pending = {
            entry
            for (entry, _), process in self._processes.items()
            if process.may_route_by_version_before(version, now)
        }
        return sorted(pending)

    def entries_confirmed(self, version: Version) -> list[HostId]:
        """Return entries whose current process has confirmed a version, sorted."""
        return sorted(
            entry
            for entry, incarnation in self._current_incarnations.items()
            if self._processes[entry, incarnation].confirmed_version >= version
        )

    def entries_lost(self, version: Version, now: float) -> list[HostId]:
        """Return entries whose leases ended before they confirmed, sorted."""
        confirmed_entries = set(self.entries_confirmed(version))
        return sorted(
            set(self._current_incarnations)
            - confirmed_entries
            - set(self.entries_pending(version, now))
        )

    def in_flight(self, engine: EngineId, now: float) -> InFlight:
        """Return the requests on an engine last reported by processes with a lease."""
        urgent = batch = 0
        for process in self._processes.values():
            if process.lease_end <= now:
                continue
            count = process.request.in_flight.get(engine)
            if count is not None:
                urgent += count.urgent
                batch += count.batch
        return InFlight(urgent, batch)

    def _get_cached_live(self, now: float) -> list[HostId]:
        if now >= self._live_cache_expiry:
            for key, process in self._processes.items():
                if process.lease_end <= now:
                    self._shares.remove(key)
            live = self.live_entries(now)
            self._live_revision += live != self._cached_live
            self._cached_live = live
            self._live_cache_expiry = now + LIVE_ENTRIES_CACHE_S
        return self._cached_live

    def _record_report(self, request: SyncRequest, now: float) -> _EntryProcess:
        key = (request.entry, request.incarnation)
        process = self._processes.get(key)
        if process is None:
            self._remove_expired(now)
            process = self._processes[key] = _EntryProcess(request)
            self._current_incarnations[request.entry] = request.incarnation
        without_lease = process.lease_end <= now
        if without_lease or request.draining is not process.request.draining:
            self._live_cache_expiry = now
        process.request = request
        self._shares.record_rates(key, request.tenant_rates)
        process.confirmed_version = max(process.confirmed_version, request.version)
        process.prune_leases(now)
        return process

    def _remove_expired(self, now: float) -> None:
        expired = [
            k
            for k, p in self._processes.items()
            if p.lease_end + PROCESS_RETENTION_S <= now
        ]
        for entry, incarnation in expired:
            del self._processes[entry, incarnation]
            self._shares.remove((entry, incarnation))
            if self._current_incarnations.get(entry) == incarnation:
                del self._current_incarnations[entry]

    def _updates_for(self, version: Version) -> list[ObjectUpdate] | None:
        """Return the updates for an entry, or None when it needs a snapshot."""
        if version == self._source.version:
            return []
        if version == 0 or version > self._source.version:
            return None
        return self._source.updates_after(version)

    def _is_live(self, entry: HostId, now: float) -> bool:
        process = self._processes[entry, self._current_incarnations[entry]]
        return process.lease_end > now and not process.request.draining

    def _active_entry_hosts(self) -> list[HostId]:
        return [
            value.name
            for value in self._source.objects()
            if isinstance(value, EntryHost) and value.state is EntryState.ACTIVE
        ]
