"""Duties of the leader: started when a term is won and ended when it is lost."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress

from wigeonspan.calls import CallTable, ExpireCalls
from wigeonspan.catalog import Catalog, Member, SetMembers
from wigeonspan.common import (
    Clock,
    HostId,
    Metrics,
    Term,
    WigeonspanError,
    encode,
    part_logger,
)
from wigeonspan.consensus import ReplicatedLog
from wigeonspan.distribution import Distributor
from wigeonspan.record import NoteAuthority

WATCH_INTERVAL_S = 0.05
"""Time between two looks at the leadership; small against the lease of 1 s."""

EXPIRY_INTERVAL_S = 5.0
"""Time between two looks for overdue calls; their margin is 10 s."""

RETRY_S = 0.5
"""Pause before a failed step of a duty is tried again."""

Duty = Callable[[], Awaitable[None]]
"""Work that runs while this host leads and is cancelled when it does not."""

_log = part_logger("control")


class LeaderDuties:
    """Runs duties for as long as this host leads in one term.

    Parameters
    ----------
    log : ReplicatedLog
        Log whose leadership counts.
    catalog : Catalog
        Applied configuration.
    clock : Clock
        Source of time.
    duties : callable
        Returns the duties of a new term, given its distributor.
    metrics : Metrics
        Sink of the gauge that shows whether this host leads.
    """

    def __init__(
        self,
        log: ReplicatedLog,
        catalog: Catalog,
        clock: Clock,
        duties: Callable[[Distributor], dict[str, Duty]],
        metrics: Metrics,
    ) -> None:
        self._log = log
        self._catalog = catalog
        self._clock = clock
        self._duties = duties
        self._metrics = metrics
        self._distributor: Distributor | None = None
        self._running: list[asyncio.Task[None]] = []

    @property
    def distributor(self) -> Distributor | None:
        """Distributor of the current term; None when this host does not lead."""
        distributor = self._distributor
        if distributor is None or not self._log.is_leader:
            return None
        return distributor if distributor.term == self._log.term else None

    async def run(self) -> None:
        """Watch the leadership until cancelled."""
        try:
            while True:
                await self._follow_leadership()
                await asyncio.sleep(WATCH_INTERVAL_S)
        finally:
            await self._end_term()

    async def _follow_leadership(self) -> None:
        served = self._distributor.term if self._distributor is not None else None
        term = self._log.term if self._log.is_leader else None
        if term == served:
            return
        await self._end_term()
        if term is not None:
            self._begin_term(term)

    def _begin_term(self, term: Term) -> None:
        _log.info("Leading in term {}.", term)
        self._metrics.gauge("leads", 1)
        self._distributor = Distributor(self._catalog, term, self._clock.now())
        duties = self._duties(self._distributor)
        self._running = [
            asyncio.create_task(_guarded(name, duty)) for name, duty in duties.items()
        ]

    async def _end_term(self) -> None:
        if self._distributor is None:
            return
        _log.info("No longer leading in term {}.", self._distributor.term)
        self._metrics.gauge("leads", 0)
        self._distributor = None
        running, self._running = self._running, []
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)


def register_members(
    log: ReplicatedLog,
    catalog: Catalog,
    operators: Callable[[Member], str],
    clock: Clock,
) -> Duty:
    """Return the duty that keeps the member objects equal to the log's members."""

    async def run() -> None:
        while True:
            command = _members_command(log, catalog, operators, clock)
            if command is not None:
                with suppress(WigeonspanError):
                    await log.propose(encode(command))
            await asyncio.sleep(RETRY_S)

    return run


def note_authority(log: ReplicatedLog, host: HostId, clock: Clock) -> Duty:
    """Return the duty that records that this host has begun to lead."""

    async def run() -> None:
        while True:
            term = log.term
            summary = f"{host} leads in term {term}"
            note = NoteAuthority(host, term, summary, clock.wall_ms())
            try:
                await log.propose(encode(note))
                return
            except WigeonspanError as error:
                # An unknown outcome may record the same fact twice, which misleads no
                # one; leaving it out would.
                _log.info("Authority is not recorded yet: {}.", error)
            await asyncio.sleep(RETRY_S)

    return run


def expire_calls(log: ReplicatedLog, calls: CallTable, clock: Clock) -> Duty:
    """Return the duty that ends overdue calls and drops old keys."""

    async def run() -> None:
        while True:
            wall_ms = clock.wall_ms()
            if calls.needs_expiry(wall_ms):
                with suppress(WigeonspanError):
                    await log.propose(encode(ExpireCalls(wall_ms)))
            await asyncio.sleep(EXPIRY_INTERVAL_S)

    return run


def _members_command(
    log: ReplicatedLog,
    catalog: Catalog,
    operators: Callable[[Member], str],
    clock: Clock,
) -> SetMembers | None:
    """Return the command that is needed now, or None."""
    wanted = tuple(
        Member(
            name=member.name,
            address=member.address,
            domain=member.domain,
            disk_id=member.disk_id,
            voter=member.voter,
            operators_address=operators(member),
        )
        for member in sorted(log.members, key=lambda member: member.name)
    )
    if catalog.has_members(wanted):
        return None
    return SetMembers(wanted, clock.wall_ms())


async def _guarded(name: str, duty: Duty) -> None:
    """Run a duty again after a fault of its own, for as long as the term lasts."""
    while True:
        try:
            await duty()
            return
        except asyncio.CancelledError:
            raise
        except Exception:
            _log.exception("Duty {} failed; it starts again.", name)
            await asyncio.sleep(RETRY_S)
