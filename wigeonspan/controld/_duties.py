"""Leader's duties: background tasks that run while this host is the leader."""

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
from wigeonspan.record import RecordAuthority

LEADERSHIP_POLL_INTERVAL_S = 0.05
"""Interval between leadership checks; short compared with the 1 s lease."""

CALL_EXPIRY_INTERVAL_S = 5.0
"""Interval between checks for overdue calls, whose margin is 10 s."""

RETRY_DELAY_S = 0.5
"""Pause before a duty is repeated or restarted."""

Duty = Callable[[], Awaitable[None]]
"""Coroutine function that runs on the leader and is cancelled at the term's end."""

_log = part_logger("control")


class LeaderDuties:
    """Starts the duties when this host wins a term and cancels them afterwards.

    Parameters
    ----------
    log : ReplicatedLog
        Replicated log that decides who leads.
    catalog : Catalog
        Applied configuration.
    clock : Clock
        Source of time.
    make_duties : callable
        Returns the duties by name for a new term, given its distributor.
    metrics : Metrics
        Receives the gauge that shows whether this host leads.
    """

    def __init__(
        self,
        log: ReplicatedLog,
        catalog: Catalog,
        clock: Clock,
        make_duties: Callable[[Distributor], dict[str, Duty]],
        metrics: Metrics,
    ) -> None:
        self._log = log
        self._catalog = catalog
        self._clock = clock
        self._make_duties = make_duties
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
        """Follow changes of leadership until cancelled."""
        try:
            while True:
                await self._sync_with_leadership()
                await asyncio.sleep(LEADERSHIP_POLL_INTERVAL_S)
        finally:
            await self._end_term()

    async def _sync_with_leadership(self) -> None:
        served_term = self._distributor.term if self._distributor is not None else None
        term = self._log.term if self._log.is_leader else None
        if term == served_term:
            return
        await self._end_term()
        if term is not None:
            self._begin_term(term)

    def _begin_term(self, term: Term) -> None:
        _log.info("Became leader in term {}.", term)
        self._metrics.gauge("leads", 1)
        self._distributor = Distributor(self._catalog, term, self._clock.now())
        duties = self._make_duties(self._distributor)
        self._running = [
            asyncio.create_task(_run_with_restart(name, duty))
            for name, duty in duties.items()
        ]

    async def _end_term(self) -> None:
        if self._distributor is None:
            return
        _log.info("No longer leader in term {}.", self._distributor.term)
        self._metrics.gauge("leads", 0)
        self._distributor = None
        running, self._running = self._running, []
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)


def register_members(
    log: ReplicatedLog,
    catalog: Catalog,
    find_operators_address: Callable[[Member], str],
    clock: Clock,
) -> Duty:
    """Return the duty that keeps the catalog's members equal to the log's."""

    async def run() -> None:
        while True:
            command = _make_members_command(log, catalog, find_operators_address, clock)
            if command is not None:
                with suppress(WigeonspanError):
                    await log.propose(encode(command))
            await asyncio.sleep(RETRY_DELAY_S)

    return run


def record_authority(log: ReplicatedLog, host: HostId, clock: Clock) -> Duty:
    """Return the duty that records that this host became the leader."""

    async def run() -> None:
        while True:
            term = log.term
            summary = f"{host} leads in term {term}"
            command = RecordAuthority(host, term, summary, clock.wall_ms())
            try:
                await log.propose(encode(command))
                return
            except WigeonspanError as error:
                # Retry even if the outcome is unknown: a duplicate entry is harmless,
                # a missing one would mislead readers of the record.
                _log.info("Leadership is not recorded yet, retrying: {}.", error)
            await asyncio.sleep(RETRY_DELAY_S)

    return run


def expire_calls(log: ReplicatedLog, calls: CallTable, clock: Clock) -> Duty:
    """Return the duty that expires overdue calls and deletes old keys."""

    async def run() -> None:
        while True:
            wall_ms = clock.wall_ms()
            if calls.needs_expiry(wall_ms):
                with suppress(WigeonspanError):
                    await log.propose(encode(ExpireCalls(wall_ms)))
            await asyncio.sleep(CALL_EXPIRY_INTERVAL_S)

    return run


def _make_members_command(
    log: ReplicatedLog,
    catalog: Catalog,
    find_operators_address: Callable[[Member], str],
    clock: Clock,
) -> SetMembers | None:
    """Return the command that updates the catalog's members, or None."""
    expected = tuple(
        Member(
            name=member.name,
            address=member.address,
            domain=member.domain,
            disk_id=member.disk_id,
            voter=member.voter,
            operators_address=find_operators_address(member),
        )
        for member in sorted(log.members, key=lambda member: member.name)
    )
    if catalog.has_members(expected):
        return None
    return SetMembers(expected, clock.wall_ms())


async def _run_with_restart(name: str, duty: Duty) -> None:
    """Run a duty and restart it after an unexpected exception, until cancelled."""
    while True:
        try:
            await duty()
            return
        except asyncio.CancelledError:
            raise
        except Exception:
            _log.exception("Duty {} failed, restarting it.", name)
            await asyncio.sleep(RETRY_DELAY_S)
