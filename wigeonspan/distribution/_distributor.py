"""Leader side of the configuration: what each entry has, and its routing lease."""

from collections import deque
from typing import Protocol

from wigeonspan.catalog import CatalogObject, EntryHost, EntryState, ObjectUpdate
from wigeonspan.common import EngineId, HostId, Term, Version
from wigeonspan.distribution._messages import InFlight, SyncReply, SyncRequest
from wigeonspan.distribution._samples import SampleWindow
from wigeonspan.distribution._shares import TenantShares

ROUTING_LEASE_S = 4.0
"""Length of a routing lease; it outlives an election of about 2.5 s."""

DRIFT = 0.01
"""Largest relative difference between the rates of two hosts' clocks."""

FORGET_S = 60.0
"""Time after the end of its lease at which an entry process is forgotten."""

KEPT_GRANT_S = 10.0
"""Time for which an ended lease is remembered, for askers with a margin."""

REFRESH_S = 0.25
"""Time for which the list of live entries in replies is kept.

Half a sync interval; finding the live entries anew for each sync costs the square of
their number.
"""


class ConfigurationSource(Protocol):
    """Applied configuration of the replicated state machine."""

    @property
    def version(self) -> Version:
        """Version of the configuration."""
        ...

    def objects(self) -> list[CatalogObject]:
        """Return all objects."""
        ...

    def updates_after(self, version: Version) -> list[ObjectUpdate] | None:
        """Return the updates after a version in order, or None when not kept."""
        ...


class _EntryProcess:
    """What the leader knows of one incarnation of an entry."""

    def __init__(self, request: SyncRequest) -> None:
        self.request = request
        self.confirmed = request.version
        self.grants: deque[tuple[Version, float]] = deque()

    @property
    def lease_end(self) -> float:
        """Time at which the last lease has certainly ended; 0 without a lease."""
        return self.grants[-1][1] if self.grants else 0.0

    def grant(self, version: Version, end: float) -> None:
        """Note a lease that was granted together with a configuration version."""
        while self.grants and self.grants[-1][0] == version:
            self.grants.pop()
        self.grants.append((version, end))

    def drop_ended(self, now: float) -> None:
        """Forget leases that ended long ago, but for the last one."""
        while len(self.grants) > 1 and self.grants[0][1] + KEPT_GRANT_S <= now:
            self.grants.popleft()

    def may_use_older(self, version: Version, now: float) -> bool:
        """Whether the process may still route by a version before this one.

        An entry takes a lease only together with the version that came with it, so
        only leases that were granted with an earlier version count. This bounds the
        wait for an entry whose requests arrive while the replies to it are lost.
        """
        if self.confirmed >= version:
            return False
        return any(given < version and end > now for given, end in self.grants)


class Distributor:
    """Versions, routing leases and samples of all entries, on the leader.

    One instance serves one term. It cannot know the leases that earlier leaders
    granted, so until they have ended it reports nothing as in force.

    Parameters
    ----------
    source : ConfigurationSource
        Applied configuration.
    term : Term
        Term in which this host leads.
    now : float
        Monotonic time in seconds at which it began to lead.
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
        self._known_from = now + lease_s * (1.0 + DRIFT)
        self._processes: dict[tuple[HostId, str], _EntryProcess] = {}
        self._newest: dict[HostId, str] = {}
        self._samples = SampleWindow(now)
        self._shares = TenantShares()
        self._live: list[HostId] = []
        self._live_until = now
        self._live_changes = 0

    @property
    def term(self) -> Term:
        """Term that this instance serves."""
        return self._term

    @property
    def known_from(self) -> float:
        """Time from which no lease of an earlier leader is left."""
        return self._known_from

    @property
    def samples(self) -> SampleWindow:
        """Demand and engine work of the last minute."""
        return self._samples

    def sync(self, request: SyncRequest, now: float) -> SyncReply:
        """Take an entry's report and grant it a lease with the configuration.

        Parameters
        ----------
        request : SyncRequest
            Report of the entry.
        now : float
            Monotonic time of its arrival in seconds.

        Returns
        -------
        SyncReply
            Updates after the entry's version, or a snapshot.
        """
        self._samples.add(request, now)
        process = self._take_report(request, now)
        version = self._source.version
        process.grant(version, now + self._lease_s * (1.0 + DRIFT))
        updates = self._updates(request.version)
        live = self._recent_live(now)
        stamp = f"{self._term}-{self._live_changes}"
        key = (request.entry, request.incarnation)
        return SyncReply(
            term=self._term,
            lease_s=self._lease_s,
            version=version,
            snapshot=self._source.objects() if updates is None else None,
            updates=updates or [],
            live_entries=None if request.live_stamp == stamp else live,
            tenant_shares=self._shares.split(key, len(live)),
            live_stamp=stamp,
        )

    def live_entries(self, now: float) -> list[HostId]:
        """Return the entries that hold a lease and do not drain, sorted.

        While leases of earlier leaders may be left, active entry hosts of the
        configuration that have not reported yet count as live.
        """
        live = {entry for entry in self._newest if self._is_live(entry, now)}
        if now < self._known_from:
            live |= {name for name in self._active_hosts() if name not in self._newest}
        return sorted(live)

    def in_force(self, version: Version, now: float) -> bool:
        """Whether no entry can route by a configuration before this version.

        Parameters
        ----------
        version : Version
            Version of a committed change.
        now : float
            Monotonic time in seconds. An earlier time (at most 10 s) asks that
            leases ended by then; confirmations count whenever they came.
        """
        if now < self._known_from or self._source.version < version:
            return False
        return not self.entries_pending(version, now)

    def entries_pending(self, version: Version, now: float) -> list[HostId]:
        """Return known entries that may still route by an earlier version, sorted."""
        pending = {
            entry
            for (entry, _), process in self._processes.items()
            if process.may_use_older(version, now)
        }
        return sorted(pending)

    def entries_confirmed(self, version: Version) -> list[HostId]:
        """Return entries whose newest process has confirmed a version, sorted."""
        return sorted(
            entry
            for entry, incarnation in self._newest.items()
            if self._processes[entry, incarnation].confirmed >= version
        )

    def entries_lost(self, version: Version, now: float) -> list[HostId]:
        """Return entries that lost their leases before they confirmed, sorted."""
        known = set(self.entries_confirmed(version))
        return sorted(
            set(self._newest) - known - set(self.entries_pending(version, now))
        )

    def in_flight(self, engine: EngineId, now: float) -> InFlight:
        """Return the requests on an engine that the entries last reported."""
        urgent = batch = 0
        for process in self._processes.values():
            if process.lease_end <= now:
                continue
            count = process.request.in_flight.get(engine)
            if count is not None:
                urgent += count.urgent
                batch += count.batch
        return InFlight(urgent, batch)

    def _recent_live(self, now: float) -> list[HostId]:
        if now >= self._live_until:
            for key, process in self._processes.items():
                if process.lease_end <= now:
                    self._shares.drop(key)
            live = self.live_entries(now)
            self._live_changes += live != self._live
            self._live = live
            self._live_until = now + REFRESH_S
        return self._live

    def _take_report(self, request: SyncRequest, now: float) -> _EntryProcess:
        key = (request.entry, request.incarnation)
        process = self._processes.get(key)
        if process is None:
            self._forget_old(now)
            process = self._processes[key] = _EntryProcess(request)
            self._newest[request.entry] = request.incarnation
        returns = process.lease_end <= now
        if returns or request.draining is not process.request.draining:
            self._live_until = now
        process.request = request
        self._shares.note(key, request.tenant_rates)
        process.confirmed = max(process.confirmed, request.version)
        process.drop_ended(now)
        return process

    def _forget_old(self, now: float) -> None:
        old = [k for k, p in self._processes.items() if p.lease_end + FORGET_S <= now]
        for entry, incarnation in old:
            del self._processes[entry, incarnation]
            self._shares.drop((entry, incarnation))
            if self._newest.get(entry) == incarnation:
                del self._newest[entry]

    def _updates(self, version: Version) -> list[ObjectUpdate] | None:
        """Return the updates for an entry, or None when it needs a snapshot."""
        if version == self._source.version:
            return []
        if version == 0 or version > self._source.version:
            return None
        return self._source.updates_after(version)

    def _is_live(self, entry: HostId, now: float) -> bool:
        process = self._processes[entry, self._newest[entry]]
        return process.lease_end > now and not process.request.draining

    def _active_hosts(self) -> list[HostId]:
        return [
            value.name
            for value in self._source.objects()
            if isinstance(value, EntryHost) and value.state is EntryState.ACTIVE
        ]
