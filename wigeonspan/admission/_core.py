"""Decision to run, queue or refuse a request.

Order between classes: desk and quote start before any batch request. While urgent
requests wait, one batch request of a service still starts in each
``batch_patience_s``; so the k-th batch request in fair order starts within k such times
of a free slot, however long the urgent load lasts.
"""

import heapq
from dataclasses import dataclass, field

from wigeonspan.admission._limits import TenantLimits
from wigeonspan.admission._messages import (
    AdmissionSettings,
    Admitted,
    Queued,
    Refused,
    Ticket,
    Verdict,
)
from wigeonspan.admission._queue import FairQueue
from wigeonspan.catalog import URGENT_CLASSES, Tenant
from wigeonspan.common import ErrorKind, RequestId, ServiceName, TenantName

RATIO_WEIGHT = 0.05
"""Weight of the newest request in the ratio of actual to expected time; it moves over
about twenty requests, so that one slow answer refuses nobody."""

MIN_RATIO = 0.8
MAX_RATIO = 1.5
"""Bounds of that ratio. With a bound of 4, one congested engine made an entry refuse
requests that would have been in time, and without answers the ratio never fell."""

MIN_RETRY_S = 0.1
"""Shortest retry time, so that a refused caller does not come back in a busy loop."""


@dataclass(slots=True)
class _Running:
    ticket: Ticket
    started_at: float


@dataclass(slots=True)
class _Service:
    """Slots and queues of one service."""

    slots: int
    urgent: FairQueue = field(default_factory=FairQueue)
    batch: FairQueue = field(default_factory=FairQueue)
    running: int = 0
    running_batch: int = 0
    batch_started_at: float = 0.0
    """When batch last started or began to wait."""
    ratio: float = 1.0
    mean_run_s: float = 0.0


class Admission:
    """Admits the requests of one entry within its share of the tenants' limits.

    Parameters
    ----------
    settings : AdmissionSettings
        Bounds of queues and classes.
    """

    def __init__(self, settings: AdmissionSettings | None = None) -> None:
        self._settings = settings or AdmissionSettings()
        self._limits: dict[TenantName, TenantLimits] = {}
        self._services: dict[ServiceName, _Service] = {}
        self._running: dict[RequestId, _Running] = {}
        self._waiting: dict[RequestId, Ticket] = {}
        self._give_up: list[tuple[float, RequestId]] = []
        self._ready: list[Admitted] = []

    def update_tenants(
        self,
        tenants: list[Tenant],
        shares: dict[TenantName, float],
        live_entries: int,
        now: float,
    ) -> None:
        """Replace the limits.

        Parameters
        ----------
        tenants : list of Tenant
            Limits over the whole deployment.
        shares : dict
            This entry's share of a tenant's limits; a tenant that is absent has an
            equal share.
        live_entries : int
            Entries that share the limits, this one included.
        now : float
            Monotonic time in seconds.
        """
        equal = 1 / max(1, live_entries)
        for tenant in tenants:
            share = shares.get(tenant.name, equal)
            limits = self._limits.get(tenant.name)
            if limits is None:
                self._limits[tenant.name] = TenantLimits(tenant, share, now)
            else:
                limits.update(tenant, share, now)
        names = {tenant.name for tenant in tenants}
        for name in [n for n in self._limits if n not in names]:
            if not self._limits[name].running:
                del self._limits[name]

    def update_slots(self, service: ServiceName, slots: int) -> None:
        """Set how many requests of a service this entry runs at once."""
        self._service(service).slots = max(1, slots)

    def offer(self, ticket: Ticket, now: float) -> Verdict:
        """Decide about a new request at once.

        A slot that was free may go to a request that waited longer; :meth:`poll` then
        tells of it, and :meth:`next_wakeup` asks for that at once.

        Parameters
        ----------
        ticket : Ticket
            The request; its id must not be running or waiting here.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        Verdict
            Whether it runs now, waits, or is refused.
        """
        limits = self._limits_of(ticket.tenant, now)
        delay = limits.take_token(now)
        if delay > 0:
            message = f"tenant {ticket.tenant} is over its request rate"
            return self._refuse(ticket, ErrorKind.RATE_LIMITED, message, delay)
        refusal = self._check(ticket, limits, now)
        if refusal is not None:
            limits.return_token()
            return refusal
        service = self._service(ticket.service)
        self._waiting[ticket.request] = ticket
        wait = self._expected_wait(service, ticket)
        if ticket.priority not in URGENT_CLASSES and not service.batch:
            service.batch_started_at = now
        self._queue(service, ticket).add(ticket, limits.weight)
        started = self._start(ticket.service, now)
        self._ready += [v for v in started if v.request != ticket.request]
        if ticket.request not in self._waiting:
            return Admitted(ticket.request)
        latest = self._latest_start(ticket)
        heapq.heappush(self._give_up, (latest, ticket.request))
        return Queued(ticket.request, wait)

    def poll(self, now: float) -> list[Admitted | Refused]:
        """Return the verdicts on waiting requests that have become known."""
        verdicts: list[Admitted | Refused] = list(self._ready)
        self._ready.clear()
        while self._give_up and self._give_up[0][0] <= now:
            _, request = heapq.heappop(self._give_up)
            ticket = self._waiting.pop(request, None)
            if ticket is not None:
                service = self._service(ticket.service)
                self._queue(service, ticket).remove(ticket)
                verdicts.append(self._refuse_late(service, ticket, 0.0))
        for name in self._services:
            verdicts += self._start(name, now)
        return verdicts

    def finished(self, request: RequestId, now: float) -> None:
        """Note that a request has ended, or that a waiting one was given up.

        Call :meth:`poll` afterwards, since a slot may be free.
        """
        ticket = self._waiting.pop(request, None)
        if ticket is not None:
            self._queue(self._service(ticket.service), ticket).remove(ticket)
            return
        record = self._running.pop(request, None)
        if record is None:
            return
        ticket = record.ticket
        service = self._service(ticket.service)
        service.running -= 1
        service.running_batch -= ticket.priority not in URGENT_CLASSES
        self._limits_of(ticket.tenant, now).running -= 1
        self._learn(service, ticket, now - record.started_at)

    def next_wakeup(self, now: float) -> float | None:
        """Return when :meth:`poll` must be called at the latest, or None."""
        if self._ready:
            return now
        while self._give_up and self._give_up[0][1] not in self._waiting:
            heapq.heappop(self._give_up)
        times = [self._give_up[0][0]] if self._give_up else []
        for service in self._services.values():
            if service.batch:
                due = service.batch_started_at + self._settings.batch_patience_s
                if due > now:
                    times.append(due)
        return min(times) if times else None

    def _service(self, name: ServiceName) -> _Service:
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = _Service(self._settings.default_slots)
        return service

    def _limits_of(self, tenant: TenantName, now: float) -> TenantLimits:
        """Return a tenant's limits; one that is not configured has the defaults."""
        limits = self._limits.get(tenant)
        if limits is None:
            limits = self._limits[tenant] = TenantLimits(Tenant(tenant), 1.0, now)
        return limits

    def _queue(self, service: _Service, ticket: Ticket) -> FairQueue:
        urgent = ticket.priority in URGENT_CLASSES
        return service.urgent if urgent else service.batch

    def _check(
        self, ticket: Ticket, limits: TenantLimits, now: float
    ) -> Refused | None:
        service = self._service(ticket.service)
        wait = self._expected_wait(service, ticket)
        waiting = len(service.urgent) + len(service.batch)
        mine = service.urgent.length(ticket.tenant)
        mine += service.batch.length(ticket.tenant)
        full = waiting >= self._settings.queue_limit
        if full or mine >= self._settings.tenant_queue_limit or not limits.concurrency:
            message = f"the queue of service {ticket.service} is full"
            return self._refuse(ticket, ErrorKind.OVERLOADED, message, wait)
        if now + wait > self._latest_start(ticket):
            return self._refuse_late(service, ticket, wait)
        return None

    def _latest_start(self, ticket: Ticket) -> float:
        ratio = self._service(ticket.service).ratio
        margin = self._settings.deadline_margin_s
        return ticket.deadline - ticket.expected_s * ratio - margin

    def _refuse_late(self, service: _Service, ticket: Ticket, wait: float) -> Refused:
        message = "the deadline cannot be met"
        if not wait:
            wait = service.mean_run_s
        kind = ErrorKind.DEADLINE_TOO_SHORT
        return self._refuse(ticket, kind, message, wait)

    def _refuse(
        self, ticket: Ticket, kind: ErrorKind, message: str, after_s: float
    ) -> Refused:
        after_s = round(max(MIN_RETRY_S, after_s), 3)
        return Refused(ticket.request, kind, message, after_s)

    def _expected_wait(self, service: _Service, ticket: Ticket) -> float:
        """Return the seconds until a ticket added now would start."""
        urgent = ticket.priority in URGENT_CLASSES
        slots = service.slots if urgent else self._batch_slots(service)
        running = service.running if urgent else service.running_batch
        queue = self._queue(service, ticket)
        if not queue and running < slots and service.running < service.slots:
            return 0.0
        ahead = queue.expected_before(ticket, self._weight_of)
        if not urgent:
            ahead += service.urgent.expected_s()
        return (ahead * service.ratio + service.mean_run_s) / slots

    def _weight_of(self, tenant: TenantName) -> float:
        limits = self._limits.get(tenant)
        return limits.weight if limits is not None else 1.0

    def _batch_slots(self, service: _Service) -> int:
        return max(1, int(service.slots * self._settings.batch_share))

    def _start(self, name: ServiceName, now: float) -> list[Admitted]:
        """Start waiting requests while there are slots."""
        service = self._services[name]
        started = []
        while service.running < service.slots:
            ticket = self._next(service, now)
            if ticket is None:
                break
            del self._waiting[ticket.request]
            self._running[ticket.request] = _Running(ticket, now)
            service.running += 1
            self._limits_of(ticket.tenant, now).running += 1
            started.append(Admitted(ticket.request))
        return started

    def _next(self, service: _Service, now: float) -> Ticket | None:
        def may_run(tenant: TenantName) -> bool:
            limits = self._limits_of(tenant, now)
            return limits.running < limits.concurrency

        room = service.running_batch < self._batch_slots(service)
        overdue = now - service.batch_started_at >= self._settings.batch_patience_s
        ticket = None
        if not (overdue and service.batch and room):
            ticket = service.urgent.next(may_run)
        if ticket is None and room:
            ticket = service.batch.next(may_run)
            if ticket is not None:
                service.running_batch += 1
                service.batch_started_at = now
        if ticket is None:
            ticket = service.urgent.next(may_run)
        return ticket

    def _learn(self, service: _Service, ticket: Ticket, elapsed: float) -> None:
        if ticket.expected_s > 0:
            ratio = min(MAX_RATIO, max(MIN_RATIO, elapsed / ticket.expected_s))
            service.ratio += RATIO_WEIGHT * (ratio - service.ratio)
        weight = RATIO_WEIGHT if service.mean_run_s else 1.0
        service.mean_run_s += weight * (elapsed - service.mean_run_s)
