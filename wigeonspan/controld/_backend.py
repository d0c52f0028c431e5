"""Operators' calls on the control daemon's state."""

import asyncio
from collections.abc import Callable, Mapping

from wigeonspan.catalog import (
    AddLearner,
    ApplyChange,
    Catalog,
    CatalogObject,
    ChangeOutcome,
    EntryHost,
    Member,
    OutcomeKind,
    PromoteLearner,
    RemoveMember,
)
from wigeonspan.common import Clock, ErrorKind, HostId, Version, WigeonspanError, encode
from wigeonspan.consensus import ReplicatedLog
from wigeonspan.controld._access import LeaderAccess
from wigeonspan.distribution import Distributor
from wigeonspan.operators import (
    ControlStatus,
    InForceReport,
    RecordLine,
    RecordQuery,
)


class Backend:
    """Implementation of ``ControlBackend`` over the replicated log.

    Parameters
    ----------
    host : HostId
        This host.
    log : ReplicatedLog
        Log to commit to.
    catalog : Catalog
        Applied configuration.
    distributor : callable
        Returns the distributor of the current term, or None.
    operators : mapping of HostId to str
        Operators' addresses of the first voters, from the settings.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        host: HostId,
        log: ReplicatedLog,
        catalog: Catalog,
        distributor: Callable[[], Distributor | None],
        operators: Mapping[HostId, str],
        clock: Clock,
    ) -> None:
        self._host = host
        self._log = log
        self._catalog = catalog
        self._distributor = distributor
        self._operators = operators
        self._clock = clock
        self._access = LeaderAccess(log, clock)
        self._member_change = asyncio.Lock()

    def wall_ms(self) -> int:
        """Return the wall-clock time in milliseconds."""
        return self._clock.wall_ms()

    async def apply(self, command: ApplyChange) -> ChangeOutcome:
        """Commit a change and return its outcome."""
        self._access.check_leader()
        if isinstance(command.change, AddLearner | PromoteLearner | RemoveMember):
            async with self._member_change:
                return await self._apply_member(command)
        _, outcome = await self._log.propose(encode(command))
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
        return [], False

    def status(self) -> ControlStatus:
        """Describe this host."""
        leader = self._log.leader
        return ControlStatus(
            host=self._host,
            is_leader=self._log.is_leader,
            lease_valid=self._access.lease_valid,
            leader=leader.name if leader is not None else "",
            leader_address=self._operators_address(leader),
            term=self._log.term,
            version=self._catalog.version,
            members=list(self._log.members),
            record_seq=0,
            record_hash="",
            disk_id=str(getattr(self._log, "disk_id", "")),
        )

    def _operators_address(self, member: Member | None) -> str:
        if member is None:
            return ""
        known = self._catalog.get("member", member.name)
        if isinstance(known, Member) and known.operators_address:
            return known.operators_address
        return member.operators_address or self._operators.get(member.name, "")

    def _report(self, distributor: Distributor, version: Version) -> InForceReport:
        now = self._clock.now()
        live = set(distributor.live_entries(now))
        pending = set(distributor.entries_pending(version, now))
        if now < distributor.known_from:
            # Entries may still hold leases of an earlier leader.
            pending |= live
        hosts = {v.name for v in self._catalog.objects() if isinstance(v, EntryHost)}
        return InForceReport(
            in_force=distributor.in_force(version, now),
            version=version,
            confirmed=sorted(live - pending),
            pending=sorted(pending),
            lease_ended=sorted(hosts - live - pending),
        )

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
        if isinstance(change, PromoteLearner) and not self._log.is_caught_up(
            change.name
        ):
            return ChangeOutcome(
                OutcomeKind.INVALID,
                self._catalog.version,
                f"member/{change.name} has not caught up yet",
            )
        _, outcome = await self._log.change_member(member, present, encode(command))
        return outcome

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
