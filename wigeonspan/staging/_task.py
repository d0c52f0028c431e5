"""Task of the leader that changes the phases of engines by orders."""

import asyncio
from collections.abc import Awaitable, Callable

from msgspec import Struct

from wigeonspan.common import Clock, HostId, ServiceName
from wigeonspan.staging._messages import (
    OrderOutcome,
    OrderPort,
    PhaseOrder,
)
from wigeonspan.staging._meter import DemandMeter
from wigeonspan.staging._plan import next_changes
from wigeonspan.targets import Listing, Phase, Target, TargetBoard, TargetId
from wigeonspan.trail import Meters, Trail

ROUND_S = 0.25
"""Seconds between two rounds."""

LIST_AGE_S = 1.0
"""Age of the list of targets at which the leader reads it again."""

NOTICE_S = 0.7
"""Seconds between the notice to the entries and the order; a heartbeat and a half."""

ANSWER_S = 1.5
"""Seconds after which an order without an answer is sent again; it changes nothing if
the first one is carried out meanwhile."""

MOST_SENDS = 4
"""Most sends of one order."""

GIVE_UP_S = 14.0
"""Seconds after which a change that the list does not show is given up; orders without
an answer may be carried out twelve seconds late."""

PAUSE_S = 10.0
"""Seconds between two changes of a service once its demand is known, so that the phases
follow the mix and not its noise."""

SETTLED_S = 1.5
"""Seconds without a change of the list after which it is taken to be complete."""

MOST_AT_ONCE = 1
"""Largest number of engines of a service that change at once while there is traffic."""

MOST_AT_START = 64
"""Largest number of engines of a service that change before there is traffic."""


class Change(Struct):
    """A change of phase under way."""

    target: Target
    phase: Phase
    began: float
    sent_at: float = float("-inf")
    sends: int = 0
    after: int = -1
    settled: bool = False


class Authority(Struct, frozen=True):
    """Right to give orders: the holder's fencing token and when it ends."""

    fence: int
    valid_until: float


class StagingTask:
    """Keeps the phases of the engines as the demand wants them.

    Parameters
    ----------
    authority : callable
        Returns the authority to give orders, or None.
    read_listing : callable
        Reads the list of targets; raises ``OSError`` when it cannot.
    meter : DemandMeter
        Demand for each service.
    meters : Meters
        Counters of this process.
    """

    def __init__(
        self,
        host: HostId,
        clock: Clock,
        port: OrderPort,
        trail: Trail,
        authority: Callable[[], Authority | None],
        read_listing: Callable[[], Awaitable[Listing]],
        meter: DemandMeter,
        meters: Meters,
    ) -> None:
        self._host = host
        self._clock = clock
        self._port = port
        self._trail = trail
        self._authority = authority
        self._read_listing = read_listing
        self._meter = meter
        self._meters = meters
        self._board = TargetBoard()
        self._changes: dict[TargetId, Change] = {}
        self._changed_at: dict[ServiceName, float] = {}
        self._listed_at = clock.now()
        self._fenced: int | None = None

    @property
    def switching(self) -> list[TargetId]:
        """Engines that entries must not use because their phase is changing."""
        return sorted(self._changes)

    async def run(self) -> None:
        """Work for as long as this host runs."""
        while True:
            await asyncio.sleep(ROUND_S)
            authority = self._authority()
            if authority is None or authority.fence == self._fenced:
                self._changes.clear()
                continue
            await self._refresh_list()
            self._settle()
            self._begin_changes()
            await asyncio.gather(*(self._drive(c) for c in self._changes.values()))

    async def _refresh_list(self) -> None:
        now = self._clock.now()
        if now - self._board.read_at < LIST_AGE_S:
            return
        try:
            if self._board.update(await self._read_listing(), now):
                self._listed_at = now
        except OSError as error:
            self._trail.note("staging", "list_unread", why=str(error))

    def _settle(self) -> None:
        """Drop changes that the list shows, or that were given up."""
        now = self._clock.now()
        for name, change in list(self._changes.items()):
            listed = self._board.get(name)
            done = listed is not None and listed.phase is change.phase
            if not (done or listed is None or now - change.began > GIVE_UP_S):
                continue
            del self._changes[name]
            self._trail.note(
                "staging",
                "change_done" if done else "change_given_up",
                target=name,
                phase=change.phase.value,
                took_ms=round((now - change.began) * 1000),
            )

    def _begin_changes(self) -> None:
        now = self._clock.now()
        services = {t.service for t in self._board.all() if t.phase is not Phase.NONE}
        for service in services:
            targets = self._board.usable(service)
            if any(t.target in self._changes for t in targets):
                continue
            if now - self._changed_at.get(service, float("-inf")) < PAUSE_S:
                continue
            demand = self._meter.demand(service, now)
            if demand is None and not self._may_prepare(service):
                continue
            most = MOST_AT_START if demand is None else MOST_AT_ONCE
            for target, phase in next_changes(targets, demand, most):
                self._changed_at[service] = now
                self._changes[target.target] = Change(target, phase, now)
                self._trail.note(
                    "staging",
                    "change_begun",
                    target=target.target,
                    phase=phase.value,
                    read_engines=demand.read_engines if demand else None,
                    streams=(demand.streams if demand else None),
                    list_age_ms=self._board.age_ms(now),
                )

    def _may_prepare(self, service: ServiceName) -> bool:
        """Whether phases may be set before the demand is known.

        Not while engines still appear on the list, and not under the first traffic.
        """
        settled_s = self._clock.now() - self._listed_at
        return settled_s >= SETTLED_S and not self._meter.has_traffic(service)

    async def _drive(self, change: Change) -> None:
        """Send the order when it is due."""
        now = self._clock.now()
        if change.settled or change.sends >= MOST_SENDS:
            return
        if now - change.began < NOTICE_S or now - change.sent_at < ANSWER_S:
            return
        if change.after < 0:
            report = await self._port.read_report(change.target)
            if report is None or report.busy:
                return
            change.after = report.orders
        authority = self._authority()
        if authority is None:
            return
        change.sends += 1
        change.sent_at = self._clock.now()
        order = PhaseOrder(
            change.target, change.phase, self._host, authority.fence, change.after
        )
        outcome = await self._port.order(
            order, lambda: self._has_right(authority.fence)
        )
        self._meters.count("orders", outcome=outcome.value)
        self._trail.note(
            "staging",
            "ordered",
            target=change.target.target,
            phase=change.phase.value,
            fence=order.fence,
            after=order.after,
            sends=change.sends,
            outcome=outcome.value,
        )
        self._take(change, authority, outcome)

    def _has_right(self, fence: int) -> bool:
        """Whether this host may give orders under a fencing token now.

        Engines that do not check tokens would obey a holder that was frozen while it
        connected, after its successor's orders.
        """
        authority = self._authority()
        return authority is not None and authority.fence == fence

    def _take(
        self, change: Change, authority: Authority, outcome: OrderOutcome
    ) -> None:
        change.settled = outcome in (OrderOutcome.ACCEPTED, OrderOutcome.IN_FORCE)
        if outcome is OrderOutcome.WITHHELD:
            change.sends -= 1
        elif outcome is OrderOutcome.FENCED:
            # Another holder has a higher token: this one's authority is over.
            self._fenced = authority.fence
        elif outcome is OrderOutcome.REFUSED:
            self._changes.pop(change.target.target, None)
        elif outcome is OrderOutcome.CONFLICT:
            # Our earlier send may be the order in progress; the list will tell.
            change.settled = change.sends > 1
            change.after = -1
