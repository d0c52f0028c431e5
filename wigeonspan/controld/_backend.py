"""Operators' calls on the control daemon's state."""

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
    RecordLine,
    RecordQuery,
    Stranger,
)
from wigeonspan.record import RecordEntry, RecordFault, RecordFilter
from wigeonspan.record.tasks import fetch_chunk

DEFAULT_LIMIT = 100
"""Entries of the record that a search returns when it names no limit."""


class GroupLog(ReplicatedLog, Protocol):
    """Replicated log that also knows the disks of its group."""

    @property
    def disk_id(self) -> str:
        """Identity of this host's disk."""
        ...

    @property
    def strangers(self) -> dict[HostId, str]:
        """Disk identities of hosts that lost their registered disk, by host."""
        ...


class Backend:
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
    operators : callable
        Returns the operators' address of a member; empty when it is not known.
    clock : Clock
        Source of time.
    client : CurlAsyncHTTPClient
        Client for questions to other members.
    metrics : Metrics
        Sink of the latency and the outcomes of changes.
    """

    def __init__(
        self,
        host: HostId,
        log: GroupLog,
        state: ControlState,
        distributor: Callable[[], Distributor | None],
        operators: Callable[[Member], str],
        clock: Clock,
        client: CurlAsyncHTTPClient,
        metrics: Metrics,
    ) -> None:
        self._host = host
        self._log = log
        self._catalog = state.catalog
        self._record = state.record
        self._distributor = distributor
        self._operators = operators
        self._clock = clock
        self._client = client
        self._metrics = metrics
        self._access = LeaderAccess(log, clock)
        self._member_change = asyncio.Lock()

    def wall_ms(self) -> int:
        """Return the wall-clock time in milliseconds."""
        return self._clock.wall_ms()

    async def apply(self, command: ApplyChange) -> ChangeOutcome:
        """Commit a change and return its outcome."""
        self._access.check_leader()
        begun = self._clock.now()
        if isinstance(command.change, AddLearner | PromoteLearner | RemoveMember):
            async with self._member_change:
                outcome = await self._apply_member(command)
        else:
            _, outcome = await self._log.propose(encode(command))
        self._metrics.timing("change", self._clock.now() - begun)
        self._metrics.count(metric_name("change", outcome.kind.value))
        return outcome

    async def objects(self, kind: str) -> tuple[list[CatalogObject], Version]:
        """Return the objects of a kind and the version that was read."""
        await self._access.confirm_read()
        return self._catalog.objects(kind), self._catalog.version

    async def get(self, kind: str, name: str) -> tuple[CatalogObject | None, Version]:
        """Return one object and the version that was read."""
        await self._access.confirm_read()
        return self._catalog.get(kind, name), self._catalog.version

    async def in_force(self, version: Version) -> InForceReport:
        """Say on which entries a version is in force; 0 asks for the newest."""
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

    async def query_record(self, query: RecordQuery) -> tuple[list[RecordLine], bool]:
        """Return matching entries, and whether older ones were left out."""
        await self._access.confirm_read()
        wanted = RecordFilter(
            since_ms=query.since_ms,
            until_ms=query.until_ms,
            subjects=query.subjects,
            actor=query.actor,
            kind=query.kind,
            limit=query.limit or DEFAULT_LIMIT,
        )
        try:
            found = await asyncio.to_thread(self._record.find, wanted)
        except RecordFault as fault:
            raise WigeonspanError(
                ErrorKind.INTERNAL, f"the record of {self._host} is damaged: {fault}"
            ) from fault
        entries, truncated = found
        return [_line(entry) for entry in entries], truncated

    def status(self) -> ControlStatus:
        """Describe this host."""
        leader = self._log.leader
        return ControlStatus(
            host=self._host,
            is_leader=self._log.is_leader,
            lease_valid=self._access.lease_valid,
            leader=leader.name if leader is not None else "",
            leader_address=self._operators(leader) if leader is not None else "",
            term=self._log.term,
            version=self._catalog.version,
            members=[self._described(member) for member in self._log.members],
            record_seq=self._record.head.seq,
            record_hash=self._record.head.hash,
            disk_id=self._log.disk_id,
            strangers=[Stranger(*each) for each in sorted(self._log.strangers.items())],
        )

    def _described(self, member: Member) -> Member:
        return msgspec.structs.replace(
            member, operators_address=self._operators(member)
        )

    def _report(self, distributor: Distributor, version: Version) -> InForceReport:
        now = self._clock.now()
        confirmed = distributor.entries_confirmed(version)
        pending = distributor.entries_pending(version, now)
        lost = distributor.entries_lost(version, now)
        silent = self._entry_hosts() - {*confirmed, *pending, *lost}
        # A new leader does not know which of the silent entries still hold a lease of
        # an earlier one.
        maybe = silent if now < distributor.known_from else set()
        return InForceReport(
            in_force=distributor.in_force(version, now),
            version=version,
            confirmed=confirmed,
            pending=sorted({*pending, *maybe}),
            lease_ended=sorted({*lost, *silent} - maybe),
        )

    def _entry_hosts(self) -> set[HostId]:
        hosts = self._catalog.objects("entry_host")
        return {host.name for host in hosts if isinstance(host, EntryHost)}

    async def _apply_member(self, command: ApplyChange) -> ChangeOutcome:
        """Change the group, unless the catalogue would refuse the change.

        The log changes its members with the entry whatever the catalogue says, so a
        refusal must be known before. No other member change can come in between.
        """
        preview = self._catalog.preview(command)
        if preview is not None:
            return preview
        change = command.change
        member, present = self._changed_member(change)
        if isinstance(change, PromoteLearner):
            fault = await self._learner_fault(member)
            if fault is not None:
                message = f"member/{member.name} {fault}"
                version = self._catalog.version
                return ChangeOutcome(OutcomeKind.INVALID, version, message)
        _, outcome = await self._log.change_member(member, present, encode(command))
        return outcome

    async def _learner_fault(self, member: Member) -> str | None:
        """Return why a learner may not vote yet, or None.

        A voter without the whole record would be counted as a copy of it.
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

    def _changed_member(
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
        known = self._catalog.get("member", change.name)
        assert isinstance(known, Member)
        voter = isinstance(change, PromoteLearner)
        member = Member(
            name=known.name,
            address=known.address,
            domain=known.domain,
            disk_id=known.disk_id,
            voter=voter,
            operators_address=known.operators_address,
        )
        return member, voter


def _line(entry: RecordEntry) -> RecordLine:
    return RecordLine(
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
