"""Operators' API over the control daemon's state."""

import asyncio
from collections.abc import Callable
from typing import Protocol

import msgspec
from tornado.curl_httpclient import CurlAsyncHTTPClient

from wigeonspan.catalog import (
    AddLearner,
    ApplyChange,
    CatalogObject,
    ChangeOutcome,
    EntryHost,
    Member,
    OutcomeKind,
    PromoteLearner,
    RemoveMember,
)
from wigeonspan.common import (
    Clock,
    ErrorKind,
    HostId,
    Metrics,
    Version,
    WigeonspanError,
    encode,
    metric_name,
)
from wigeonspan.consensus import ReplicatedLog
from wigeonspan.controld._access import LeaderAccess
from wigeonspan.controld._state import ControlState
from wigeonspan.distribution import Distributor
from wigeonspan.operators import (
    ControlStatus,
    InForceReport,
    RecordEntryView,
    RecordQuery,
    Stranger,
)
from wigeonspan.record import RecordEntry, RecordError, RecordFilter
from wigeonspan.record.tasks import fetch_chunk

DEFAULT_QUERY_LIMIT = 100
"""Maximum number of record entries returned when a query sets no limit."""


class GroupLog(ReplicatedLog, Protocol):
    """Replicated log that also reports the disk identities of its group."""

    @property
    def disk_id(self) -> str:
        """Identity of this host's disk."""
        ...

    @property
    def unregistered_disks(self) -> dict[HostId, str]:
        """Disk identity by host, for hosts that lost their registered disk."""
        ...


class OperatorBackend:
    """Implementation of ``ControlBackend`` over the replicated log.

    Parameters
    ----------
    host : HostId
        This host.
    log : GroupLog
        Log to commit to.
    state : ControlState
        Applied state.
    distributor : callable
        Returns the distributor of the current term, or None.
    find_operators_address : callable
        Returns the operators' address of a member, or an empty string when unknown.
    clock : Clock
        Source of time.
    client : CurlAsyncHTTPClient
        HTTP client for requests to other members.
    metrics : Metrics
        Receives the latency and the outcome of each change.
    """

    def __init__(
        self,
        host: HostId,
        log: GroupLog,
        state: ControlState,
        distributor: Callable[[], Distributor | None],
        find_operators_address: Callable[[Member], str],
        clock: Clock,
        client: CurlAsyncHTTPClient,
        metrics: Metrics,
    ) -> None:
        self._host = host
        self._log = log
        self._catalog = state.catalog
        self._record = state.record
        self._distributor = distributor
        self._find_operators_address = find_operators_address
        self._clock = clock
        self._client = client
        self._metrics = metrics
        self._access = LeaderAccess(log, clock)
        self._member_change_lock = asyncio.Lock()

    def wall_ms(self) -> int:
        """Return the wall-clock time in milliseconds."""
        return self._clock.wall_ms()

    async def apply(self, command: ApplyChange) -> ChangeOutcome:
        """Commit a change and return its outcome."""
        self._access.check_leader()
        started = self._clock.now()
        if isinstance(command.change, AddLearner | PromoteLearner | RemoveMember):
            async with self._member_change_lock:
                outcome = await self._apply_member(command)
        else:
            _, outcome = await self._log.propose(encode(command))
        self._metrics.timing("change", self._clock.now() - started)
        self._metrics.count(metric_name("change", outcome.kind.value))
        return outcome

    async def objects(self, kind: str) -> tuple[list[CatalogObject], Version]:
        """Return the objects of a kind and the catalog version they were read at."""
        await self._access.confirm_read()
        return self._catalog.objects(kind), self._catalog.version

    async def get(self, kind: str, name: str) -> tuple[CatalogObject | None, Version]:
        """Return one object and the catalog version it was read at."""
        await self._access.confirm_read()
        return self._catalog.get(kind, name), self._catalog.version

    async def in_force(self, version: Version) -> InForceReport:
        """Report which entries confirmed a version; 0 means the newest version."""
        await self._access.confirm_read()
        distributor = self._distributor()
        if distributor is None:
            raise WigeonspanError(
                ErrorKind.LEASE_EXPIRED, "this leader has not begun to serve entries"
            )
        version = version or self._catalog.version
        if version > self._catalog.version:
            raise WigeonspanError(
                ErrorKind.BAD_REQUEST,
                f"version {version} is after the newest, {self._catalog.version}",
            )
        return self._report(distributor, version)

    async def query_record(
        self, query: RecordQuery
    ) -> tuple[list[RecordEntryView], bool]:
        """Return matching entries and whether the limit cut off older ones."""
        await self._access.confirm_read()
        record_filter = RecordFilter(
            since_ms=query.since_ms,
            until_ms=query.until_ms,
            subjects=query.subjects,
            actor=query.actor,
            kind=query.kind,
            limit=query.limit or DEFAULT_QUERY_LIMIT,
        )
        try:
            found = await asyncio.to_thread(self._record.find, record_filter)
        except RecordError as error:
            raise WigeonspanError(
                ErrorKind.INTERNAL, f"the record of {self._host} is damaged: {error}"
            ) from error
        entries, truncated = found
        return [_to_record_entry_view(entry) for entry in entries], truncated

    def status(self) -> ControlStatus:
        """Return the status of this host."""
        leader = self._log.leader
        return ControlStatus(
            host=self._host,
            is_leader=self._log.is_leader,
            lease_valid=self._access.lease_valid,
            leader=leader.name if leader is not None else "",
            leader_address=self._find_operators_address(leader)
            if leader is not None
            else "",
            term=self._log.term,
            version=self._catalog.version,
            members=[
                self._with_operators_address(member) for member in self._log.members
            ],
            record_seq=self._record.head.seq,
            record_hash=self._record.head.hash,
            disk_id=self._log.disk_id,
            strangers=[
                Stranger(*each) for each in sorted(self._log.unregistered_disks.items())
            ],
        )

    def _with_operators_address(self, member: Member) -> Member:
        return msgspec.structs.replace(
            member, operators_address=self._find_operators_address(member)
        )

    def _report(self, distributor: Distributor, version: Version) -> InForceReport:
        now = self._clock.now()
        confirmed = distributor.entries_confirmed(version)
        pending = distributor.entries_pending(version, now)
        lost = distributor.entries_lost(version, now)
        unseen = self._entry_hosts() - {*confirmed, *pending, *lost}
        # Until `old_leases_end`, an entry that has not contacted this leader may still
        # hold a lease from an earlier leader.
        may_hold_lease = unseen if now < distributor.old_leases_end else set()
        return InForceReport(
            in_force=distributor.in_force(version, now),
            version=version,
            confirmed=confirmed,
            pending=sorted({*pending, *may_hold_lease}),
            lease_ended=sorted({*lost, *unseen} - may_hold_lease),
        )

    def _entry_hosts(self) -> set[HostId]:
        hosts = self._catalog.objects("entry_host")
        return {host.name for host in hosts if isinstance(host, EntryHost)}

    async def _apply_member(self, command: ApplyChange) -> ChangeOutcome:
        """Change the group membership, unless the catalog would reject the change.

        The log changes its membership when it commits the entry, even if the catalog
        rejects the command. It is therefore validated against the catalog first. The
        caller holds the lock, so no other membership change can happen in between.
        """
        preview = self._catalog.preview(command)
        if preview is not None:
            return preview
        change = command.change
        member, present = self._resulting_member(change)
        if isinstance(change, PromoteLearner):
            obstacle = await self._promotion_obstacle(member)
            if obstacle is not None:
                message = f"member/{member.name} {obstacle}"
                version = self._catalog.version
                return ChangeOutcome(OutcomeKind.INVALID, version, message)
        _, outcome = await self._log.change_member(member, present, encode(command))
        return outcome

    async def _promotion_obstacle(self, member: Member) -> str | None:
        """Return why a learner can't be promoted to a voter yet, or None.

        Every voter counts as a replica of the record, so it must have the complete
        record first.
        """
        if not self._log.is_caught_up(member.name):
            return "has not caught up with the log yet"
        try:
            answer = await fetch_chunk(self._client, member.address, 1, 0)
        except WigeonspanError as error:
            return f"does not say what it holds of the record: {error.message}"
        if not answer.complete:
            return "does not hold the whole record yet"
        return None

    def _resulting_member(
        self, change: AddLearner | PromoteLearner | RemoveMember
    ) -> tuple[Member, bool]:
        if isinstance(change, AddLearner):
            member = Member(
                name=change.name,
                address=change.address,
                domain=change.domain,
                disk_id=change.disk_id,
                voter=False,
                operators_address=change.operators_address,
            )
            return member, True
        existing = self._catalog.get("member", change.name)
        assert isinstance(existing, Member)
        voter = isinstance(change, PromoteLearner)
        member = Member(
            name=existing.name,
            address=existing.address,
            domain=existing.domain,
            disk_id=existing.disk_id,
            voter=voter,
            operators_address=existing.operators_address,
        )
        return member, voter


def _to_record_entry_view(entry: RecordEntry) -> RecordEntryView:
    return RecordEntryView(
        seq=entry.seq,
        index=entry.index,
        wall_ms=entry.wall_ms,
        kind=entry.kind.value,
        actor=entry.actor,
        subjects=entry.subjects,
        summary=entry.summary,
        detail_json=encode(entry.detail).decode("utf-8"),
        previous=entry.previous,
        hash=entry.hash,
    )
