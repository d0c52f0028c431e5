"""Task of the leader that orders replicas of services."""

import asyncio
from collections.abc import Awaitable, Callable
from statistics import median_low

from msgspec import Struct, field

from wigeonspan.common import Clock, DomainName, HostId, ServiceName, WigeonspanError
from wigeonspan.duties import DutyOutcome, DutyPort, ReplicaOrder
from wigeonspan.fleetconfig import FleetConfig, ScalingSpec
from wigeonspan.scaling._demand import PeakDemand, assumed_need, needed_engines
from wigeonspan.scaling._ledger import ScalingLedger
from wigeonspan.scaling._messages import (
    DomainFleet,
    FleetNeed,
    FleetPlan,
    OrderRecorded,
)
from wigeonspan.scaling._plan import RELEASE_INTERVAL_S, next_step, plan_fleet
from wigeonspan.staging import Authority, DemandMeter
from wigeonspan.targets import Target, TargetTable
from wigeonspan.trail import EventLog, ProcessMetrics

ROUND_INTERVAL_S = 1.0
"""Seconds between two rounds of the task; the list is read about as often."""

MAX_LIST_AGE_S = 5.0
"""Age in seconds of the list of targets up to which replicas are ordered."""

UNAVAILABLE_S = 8.5
"""Seconds for which a domain counts as having no reclaimable replicas after a reclaim
or a refused order; about as long as platforms had none."""

RETRY_S = 2.0
"""Seconds after which an order that is not acknowledged is sent again."""

STABLE_S = 3.0
"""Seconds for which the number of replicas found must not change before any of them is
released; the list shows those that start one after the other."""

LIST_LAG_S = 3.0
"""Seconds after the boot time in which the list must show the result of an order: the
lag of the list, the interval of its reads and the time of a late answer."""


class _Subject(Struct):
    """State of the orders for one service, domain and kind at this holder."""

    acknowledged: int | None = None
    ordered_at: float = float("-inf")


class _ServiceState(Struct):
    peak: PeakDemand = field(default_factory=PeakDemand)
    released_at: float = float("-inf")
    found_total: int = 0
    found_at: float = float("-inf")
    domains: set[DomainName] = field(default_factory=set)
    unavailable_until: dict[DomainName, float] = field(default_factory=dict)
    plan: FleetPlan = field(default_factory=dict)


class ScalingTask:
    """Keep the number of replicas of services that may be scaled.

    Parameters
    ----------
    host : HostId
        This host, as the holder of the duty.
    ledger : ScalingLedger
        Replicated state.
    authority : callable
        Returns the authority to call the platform, or None if there is none.
    config : callable
        Returns the configuration in force, or None before the first.
    propose : callable
        Commits a command to the replicated log.
    targets : TargetTable
        Targets of the latest list.
    meter, urgent_meter : DemandMeter
        Demand that the entries report, of all requests and of the most urgent ones.
    """

    def __init__(
        self,
        host: HostId,
        clock: Clock,
        port: DutyPort,
        ledger: ScalingLedger,
        authority: Callable[[], Authority | None],
        config: Callable[[], FleetConfig | None],
        propose: Callable[[OrderRecorded], Awaitable[None]],
        targets: TargetTable,
        meter: DemandMeter,
        urgent_meter: DemandMeter,
        event_log: EventLog,
        metrics: ProcessMetrics,
    ) -> None:
        self._host = host
        self._clock = clock
        self._port = port
        self._ledger = ledger
        self._authority = authority
        self._config = config
        self._propose = propose
        self._targets = targets
        self._meter = meter
        self._urgent_meter = urgent_meter
        self._event_log = event_log
        self._metrics = metrics
        self._services: dict[ServiceName, _ServiceState] = {}
        self._subjects: dict[tuple[ServiceName, DomainName, bool], _Subject] = {}
        self._term: int | None = None

    async def run(self) -> None:
        """Run rounds until cancelled."""
        while True:
            await asyncio.sleep(ROUND_INTERVAL_S)
            await self.run_round()

    async def run_round(self) -> None:
        """Plan each service that may be scaled, and order what has changed."""
        authority, config, now = self._authority(), self._config(), self._clock.now()
        if authority is None or config is None:
            return
        if authority.fence != self._term:
            # Another holder may have ordered meanwhile.
            self._term = authority.fence
            self._subjects.clear()
        if now - self._targets.read_at > MAX_LIST_AGE_S:
            return
        self._forget_services({s.name for s in config.services if s.scaling})
        for service in config.services:
            if service.scaling is not None:
                await self._scale(service.name, service.scaling, authority)

    async def _scale(
        self, service: ServiceName, spec: ScalingSpec, authority: Authority
    ) -> None:
        now = self._clock.now()
        state = self._services.setdefault(service, _ServiceState())
        targets = [t for t in self._targets.all() if t.service == service]
        if not targets:
            await self._repeat_orders(service, spec, state, authority)
            return
        state.domains |= {t.domain for t in targets} | set(spec.domain_prices)
        # A replica whose phase is changing is present too.
        present = _count([t for t in targets if not t.leaving], state.domains)
        ordered = self._ledger.ordered(service, present)
        reclaimed = _reclaimed_domains(targets, present, ordered)
        for domain in reclaimed - set(state.unavailable_until):
            state.unavailable_until[domain] = now + UNAVAILABLE_S
        for domain, until in list(state.unavailable_until.items()):
            if now >= until and domain not in reclaimed:
                del state.unavailable_until[domain]
        found_total = self._ledger.found_total(service, present)
        if found_total != state.found_total:
            state.found_total, state.found_at = found_total, now
        need = self._need(service, spec, state, targets)
        plan = plan_fleet(spec, state.domains, need, state.unavailable_until)
        self._log_plan(service, state, plan, present, need)
        paced = self._meter.has_traffic(service)
        is_stable = now - state.found_at >= STABLE_S and not reclaimed
        may_release = is_stable and (
            not paced or now - state.released_at >= RELEASE_INTERVAL_S
        )
        step = next_step(plan, present, ordered, may_release=may_release, paced=paced)
        if _total(step) < _total(ordered):
            state.released_at = now
        for domain in sorted(state.domains):
            for reclaimable in (True, False):
                number = _number(step[domain], reclaimable)
                await self._order_if_due(
                    ReplicaOrder(service, domain, number, reclaimable),
                    _number(present[domain], reclaimable),
                    _number(ordered[domain], reclaimable),
                    spec,
                    state,
                    authority,
                    found_total,
                )

    async def _repeat_orders(
        self,
        service: ServiceName,
        spec: ScalingSpec,
        state: _ServiceState,
        authority: Authority,
    ) -> None:
        """Repeat the recorded orders of a service of which no replica is listed.

        Nothing is planned: the list may be wrong, and a plan for no replicas would
        release those that it does not show.
        """
        for order in self._ledger.orders(service):
            found_total = self._ledger.found_total(service, {})
            await self._order_if_due(
                order, 0, order.number, spec, state, authority, found_total
            )

    def _forget_services(self, scaled: set[ServiceName]) -> None:
        """Forget services that the configuration does not scale any more."""
        for service in set(self._services) - scaled:
            del self._services[service]
        for key in [key for key in self._subjects if key[0] not in scaled]:
            del self._subjects[key]

    def _need(
        self,
        service: ServiceName,
        spec: ScalingSpec,
        state: _ServiceState,
        targets: list[Target],
    ) -> FleetNeed:
        """Return the engines needed; an assumption until demand is known."""
        now = self._clock.now()
        demand = self._meter.demand(service, now)
        slots = max(1, median_low([t.slots for t in targets]))
        assumed = assumed_need(state.found_total, spec.reclaimable_price)
        if demand is None:
            return state.peak.record(assumed, now)
        if not demand.is_settled:
            state.peak.record(assumed, now)
        urgent = self._urgent_meter.demand(service, now)
        return state.peak.record(needed_engines(demand, slots, urgent), now)

    async def _order_if_due(
        self,
        order: ReplicaOrder,
        listed: int,
        ordered: int,
        spec: ScalingSpec,
        state: _ServiceState,
        authority: Authority,
        found_total: int,
    ) -> None:
        """Send an order that is new, unanswered, or not shown by the list in time."""
        now = self._clock.now()
        key = (order.service, order.domain, order.reclaimable)
        subject = self._subjects.setdefault(key, _Subject())
        is_new = order.number != ordered
        since_s = now - subject.ordered_at
        is_unanswered = (
            subject.ordered_at > float("-inf")
            and subject.acknowledged != order.number
            and since_s >= RETRY_S
        )
        is_missing = listed != order.number and since_s >= spec.boot_s + LIST_LAG_S
        blocked = order.reclaimable and order.domain in state.unavailable_until
        if blocked and order.number > listed:
            return
        if not (is_new or is_unanswered or is_missing):
            return
        if is_new and not await self._record(order, found_total):
            return
        subject.ordered_at = self._clock.now()
        outcome = await self._port.order_replicas(
            order,
            self._host,
            authority.fence,
            lambda: self._has_authority(authority.fence),
        )
        self._metrics.count("duty_calls", duty="replicas", outcome=outcome.value)
        if outcome is DutyOutcome.DONE:
            subject.acknowledged = order.number
        elif outcome is DutyOutcome.CONFLICT and order.reclaimable:
            state.unavailable_until[order.domain] = now + UNAVAILABLE_S
        self._event_log.write(
            "scaling",
            "replicas_ordered",
            service=order.service,
            domain=order.domain,
            number=order.number,
            reclaimable=order.reclaimable,
            listed=listed,
            ordered=ordered,
            fence=authority.fence,
            outcome=outcome.value,
        )

    async def _record(self, order: ReplicaOrder, found_total: int) -> bool:
        """Commit an order before it is sent; return whether it is committed."""
        try:
            await self._propose(OrderRecorded(order, found_total))
        except WigeonspanError as error:
            # The next round plans it again.
            self._event_log.write(
                "scaling",
                "command_uncommitted",
                failure=True,
                domain=order.domain,
                why=str(error),
            )
            return False
        return True

    def _has_authority(self, fence: int) -> bool:
        """Return whether this host still has the authority with a fencing token."""
        authority = self._authority()
        return authority is not None and authority.fence == fence

    def _log_plan(
        self,
        service: ServiceName,
        state: _ServiceState,
        plan: FleetPlan,
        present: FleetPlan,
        need: FleetNeed,
    ) -> None:
        self._metrics.gauge("replicas_planned", _total(plan), service=service)
        self._metrics.gauge("replicas_present", _total(present), service=service)
        if plan == state.plan:
            return
        state.plan = plan
        self._event_log.write(
            "scaling",
            "fleet_planned",
            service=service,
            needed=need.total,
            urgent=need.urgent,
            kept={d: f.kept for d, f in plan.items()},
            reclaimable={d: f.reclaimable for d, f in plan.items()},
            present=_total(present),
            unavailable=sorted(state.unavailable_until),
        )


def _reclaimed_domains(
    targets: list[Target], present: FleetPlan, ordered: FleetPlan
) -> set[DomainName]:
    """Return the domains whose reclaimable replicas leave, all of them at once.

    Single ones also leave when they are released or replaced by a newer version.
    """
    leaving = {t.domain for t in targets if t.leaving and t.reclaimable}
    return {
        domain
        for domain in leaving
        if not present[domain].reclaimable and ordered[domain].reclaimable
    }


def _count(targets: list[Target], domains: set[DomainName]) -> FleetPlan:
    """Return the replicas by domain and kind."""
    return {
        domain: DomainFleet(
            sum(1 for t in targets if t.domain == domain and not t.reclaimable),
            sum(1 for t in targets if t.domain == domain and t.reclaimable),
        )
        for domain in domains
    }


def _total(fleet: FleetPlan) -> int:
    return sum(domain.total for domain in fleet.values())


def _number(fleet: DomainFleet, reclaimable: bool) -> int:
    return fleet.reclaimable if reclaimable else fleet.kept
