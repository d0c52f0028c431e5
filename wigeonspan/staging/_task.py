"""Task of the leader that orders engines to change their phases."""

import asyncio
from collections.abc import Awaitable, Callable, Collection

from msgspec import Struct

from wigeonspan.common import Clock, HostId, ServiceName
from wigeonspan.staging._messages import (
    OrderOutcome,
    OrderPort,
    PhaseOrder,
)
from wigeonspan.staging._meter import DemandMeter
from wigeonspan.staging._plan import allowed_changes, next_changes
from wigeonspan.targets import Listing, Phase, Target, TargetId, TargetTable
from wigeonspan.trail import EventLog, ProcessMetrics

ROUND_INTERVAL_S = 0.25
"""Seconds between two rounds of the task."""

MAX_LIST_AGE_S = 1.0
"""Age in seconds at which the leader reads the list of targets again."""

NOTICE_PERIOD_S = 0.7
"""Seconds between the notice to the entries and the order; about one and a half
heartbeat intervals."""

RESEND_AFTER_S = 1.5
"""Seconds after which an unanswered order is sent again. Sending it again has no effect
if the first order has been carried out in the meantime."""

MAX_SENDS = 4
"""Maximum number of times that an order is sent."""

CHANGE_TIMEOUT_S = 14.0
"""Seconds after which a change that the list does not show is abandoned. Unanswered
orders may be carried out up to twelve seconds late."""

LIST_STABLE_S = 1.5
"""Seconds without a change of the list after which it is assumed to be complete."""


MIN_PLANNED_ENGINES = 2
"""Minimum number of engines without a limit for a plan that leaves out the limited
ones; each phase needs an engine."""


class PhaseChange(Struct):
    """A phase change in progress."""

    target: Target
    phase: Phase
    started_at: float
    sent_at: float = float("-inf")
    sends: int = 0
    after: int = -1
    order_done: bool = False


class Authority(Struct, frozen=True):
    """Authority to send orders: a fencing token and the time when it expires."""

    fence: int
    valid_until: float


class PhaseChangeTask:
    """Adapt the phases of the engines to the demand.

    Parameters
    ----------
    authority : callable
        Returns the current authority to send orders, or None.
    read_listing : callable
        Reads the list of targets; raises ``OSError`` on failure.
    meter : DemandMeter
        Demand of each service.
    metrics : ProcessMetrics
        Metrics of this process.
    limited_targets : callable
        Returns the engines that limit their requests. They run few streams or prompts,
        so others must make up for them.
    is_elastic : callable
        Whether the engines of a service are ordered with the demand.
    """

    def __init__(
        self,
        host: HostId,
        clock: Clock,
        port: OrderPort,
        event_log: EventLog,
        authority: Callable[[], Authority | None],
        read_listing: Callable[[], Awaitable[Listing]],
        meter: DemandMeter,
        metrics: ProcessMetrics,
        limited_targets: Callable[[], Collection[TargetId]] = tuple,
        is_elastic: Callable[[ServiceName], bool] = lambda service: False,
    ) -> None:
        self._host = host
        self._clock = clock
        self._port = port
        self._event_log = event_log
        self._authority = authority
        self._read_listing = read_listing
        self._meter = meter
        self._metrics = metrics
        self._limited_targets = limited_targets
        self._is_elastic = is_elastic
        self._target_table = TargetTable()
        self._changes: dict[TargetId, PhaseChange] = {}
        self._changed_at: dict[ServiceName, float] = {}
        self._list_changed_at = clock.now()
        self._fenced_token: int | None = None

    @property
    def switching(self) -> list[TargetId]:
        """Engines that entries must not use because their phase is changing."""
        return sorted(self._changes)

    @property
    def targets(self) -> TargetTable:
        """Targets of the list as this task has read it last."""
        return self._target_table

    async def run(self) -> None:
        """Run rounds until cancelled."""
        while True:
            await asyncio.sleep(ROUND_INTERVAL_S)
            authority = self._authority()
            if authority is None or authority.fence == self._fenced_token:
                self._changes.clear()
                continue
            await self._refresh_list()
            self._remove_finished_changes()
            self._begin_changes()
            await asyncio.gather(*(self._send_order(c) for c in self._changes.values()))

    async def _refresh_list(self) -> None:
        now = self._clock.now()
        if now - self._target_table.read_at < MAX_LIST_AGE_S:
            return
        try:
            if self._target_table.update(await self._read_listing(), now):
                self._list_changed_at = now
        except OSError as error:
            self._event_log.write("staging", "list_unread", why=str(error))

    def _remove_finished_changes(self) -> None:
        """Remove changes that are done or timed out, or whose target is gone."""
        now = self._clock.now()
        for name, change in list(self._changes.items()):
            listed = self._target_table.get(name)
            done = listed is not None and listed.phase is change.phase
            if not (
                done or listed is None or now - change.started_at > CHANGE_TIMEOUT_S
            ):
                continue
            del self._changes[name]
            self._event_log.write(
                "staging",
                "change_done" if done else "change_given_up",
                target=name,
                phase=change.phase.value,
                took_ms=round((now - change.started_at) * 1000),
            )

    def _begin_changes(self) -> None:
        now, limited = self._clock.now(), self._limited_targets()
        services = {
            t.service for t in self._target_table.all() if t.phase is not Phase.NONE
        }
        for service in services:
            targets = self._target_table.usable(service)
            if any(t.target in self._changes for t in targets):
                continue
            unlimited = [t for t in targets if t.target not in limited]
            if len(unlimited) >= MIN_PLANNED_ENGINES:
                targets = unlimited
            demand = self._meter.demand(service, now)
            if demand is None and not self._may_set_initial_phases(service):
                continue
            idle_s = now - self._changed_at.get(service, float("-inf"))
            elastic = self._is_elastic(service)
            max_changes = allowed_changes(targets, demand, idle_s, elastic=elastic)
            for target, phase in next_changes(
                targets, demand, max_changes, elastic=elastic
            ):
                self._changed_at[service] = now
                self._changes[target.target] = PhaseChange(target, phase, now)
                self._event_log.write(
                    "staging",
                    "change_begun",
                    target=target.target,
                    phase=phase.value,
                    read_engines=demand.busy_prefill_engines if demand else None,
                    streams=(demand.streams if demand else None),
                    recent_streams=(demand.recent_streams if demand else None),
                    slots=target.slots,
                    list_age_ms=self._target_table.age_ms(now),
                )

    def _may_set_initial_phases(self, service: ServiceName) -> bool:
        """Return whether phases may be set before the demand is known.

        They may not while the list is still changing or once there is traffic.
        """
        stable_s = self._clock.now() - self._list_changed_at
        return stable_s >= LIST_STABLE_S and not self._meter.has_traffic(service)

    async def _send_order(self, change: PhaseChange) -> None:
        """Send the order of a change if it is due."""
        now = self._clock.now()
        if change.order_done or change.sends >= MAX_SENDS:
            return
        if (
            now - change.started_at < NOTICE_PERIOD_S
            or now - change.sent_at < RESEND_AFTER_S
        ):
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
            order, lambda: self._has_authority(authority.fence)
        )
        self._metrics.count("orders", outcome=outcome.value)
        self._event_log.write(
            "staging",
            "ordered",
            target=change.target.target,
            phase=change.phase.value,
            fence=order.fence,
            after=order.after,
            sends=change.sends,
            outcome=outcome.value,
        )
        self._handle_outcome(change, authority, outcome)

    def _has_authority(self, fence: int) -> bool:
        """Return whether this host still has the authority with a fencing token.

        A holder that stalls while it connects could otherwise send its order
        after those of its successor, and engines that do not check tokens would obey.
        """
        authority = self._authority()
        return authority is not None and authority.fence == fence

    def _handle_outcome(
        self, change: PhaseChange, authority: Authority, outcome: OrderOutcome
    ) -> None:
        change.order_done = outcome in (OrderOutcome.ACCEPTED, OrderOutcome.IN_FORCE)
        if outcome is OrderOutcome.WITHHELD:
            change.sends -= 1
        elif outcome is OrderOutcome.FENCED:
            # Another holder has a higher token, so this host has lost its authority.
            self._fenced_token = authority.fence
        elif outcome is OrderOutcome.REFUSED:
            self._changes.pop(change.target.target, None)
        elif outcome is OrderOutcome.CONFLICT:
            # The engine may be carrying out this same order, sent earlier. Then it is
            # not sent again, and the list will show the result.
            change.order_done = change.sends > 1
            change.after = -1
