"""Admission control, which runs, queues or refuses each request.

Urgent requests (desk and quote) start before batch requests. To keep batch requests
from starving while urgent requests wait, each service still starts one batch request
per ``batch_start_interval_s``. The k-th batch request in fair order therefore starts
within k such intervals of a slot becoming free, however long the urgent load lasts.
"""

import heapq
from dataclasses import dataclass, field

from wigeonspan.admission._limits import TenantLimits
from wigeonspan.admission._messages import (
    AdmissionRequest,
    AdmissionSettings,
    Admitted,
    Queued,
    Refused,
    Verdict,
)
from wigeonspan.admission._queue import FairQueue
from wigeonspan.catalog import URGENT_CLASSES, Tenant
from wigeonspan.common import ErrorKind, RequestId, ServiceName, TenantName

RUN_TIME_WEIGHT = 0.05
"""Weight of the newest request in the moving averages of run times. The average covers
about twenty requests, so that one slow response does not cause refusals."""

MIN_RUN_TIME_RATIO = 0.8
MAX_RUN_TIME_RATIO = 1.5
"""Bounds of the ratio of actual to expected run time. With an upper bound of 4, one
congested engine made an entry refuse requests that would have met their deadlines, and
the ratio never fell again because no requests completed."""

MIN_RETRY_S = 0.1
"""Shortest retry delay, which keeps refused callers from retrying in a busy loop."""


@dataclass(slots=True)
class _RunningRequest:
    """Admission request and start time of a running request."""

    ticket: AdmissionRequest
    started_at: float


@dataclass(slots=True)
class _ServiceState:
    """Slots, queues and measured run times of one service."""

    slots: int
    urgent_queue: FairQueue = field(default_factory=FairQueue)
    batch_queue: FairQueue = field(default_factory=FairQueue)
    running: int = 0
    running_batch: int = 0
    batch_waiting_since: float = 0.0
    """Time at which a batch request last started or was added to an empty queue."""
    run_time_ratio: float = 1.0
    """Moving average of actual over expected run time."""
    mean_run_s: float = 0.0


class Admission:
    """Admit the requests of one entry within its share of the tenants' limits.

    Parameters
    ----------
    settings : AdmissionSettings
        Limits of the queues and of batch requests; the defaults if None.
    """

    def __init__(self, settings: AdmissionSettings | None = None) -> None:
        self._settings = settings or AdmissionSettings()
        self._limits: dict[TenantName, TenantLimits] = {}
        self._services: dict[ServiceName, _ServiceState] = {}
        self._running: dict[RequestId, _RunningRequest] = {}
        self._waiting: dict[RequestId, AdmissionRequest] = {}
        self._start_deadlines: list[tuple[float, RequestId]] = []
        self._pending_verdicts: list[Admitted] = []

    def update_tenants(
        self,
        tenants: list[Tenant],
        shares: dict[TenantName, float],
        live_entries: int,
        now: float,
    ) -> None:
        """Replace the tenants' limits.

        A tenant that is no longer listed is kept while it has running requests.

        Parameters
        ----------
        tenants : list of Tenant
            Tenants with their limits for the whole deployment.
        shares : dict
            This entry's share of each tenant's limits, from 0 to 1. The limits of an
            absent tenant are shared equally between the live entries.
        live_entries : int
            Number of entries that share the limits, including this one.
        now : float
            Monotonic time in seconds.
        """
        equal_share = 1 / max(1, live_entries)
        for tenant in tenants:
            share = shares.get(tenant.name, equal_share)
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
        """Set how many requests of a service this entry runs at once, at least 1."""
        self._service_state(service).slots = max(1, slots)

    def offer(self, ticket: AdmissionRequest, now: float) -> Verdict:
        """Run, queue or refuse a new request.

        A free slot may go to a request that was already waiting. The next
        :meth:`poll` then returns that request as admitted, and :meth:`next_wakeup`
        returns the current time.

        Parameters
        ----------
        ticket : AdmissionRequest
            The request; its id must not be running or waiting on this entry.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        Verdict
            Whether the request runs now, waits or is refused.
        """
        limits = self._limits_of(ticket.tenant, now)
        delay = limits.take_token(now)
        if delay > 0:
            message = f"tenant {ticket.tenant} is over its request rate"
            return self._refuse(ticket, ErrorKind.RATE_LIMITED, message, delay)
        refusal = self._find_refusal(ticket, limits, now)
        if refusal is not None:
            limits.return_token()
            return refusal
        service = self._service_state(ticket.service)
        self._waiting[ticket.request] = ticket
        wait = self._expected_wait(service, ticket)
        if ticket.priority not in URGENT_CLASSES and not service.batch_queue:
            service.batch_waiting_since = now
        self._queue_for(service, ticket).add(ticket, limits.weight)
        started = self._start(ticket.service, now)
        self._pending_verdicts += [v for v in started if v.request != ticket.request]
        if ticket.request not in self._waiting:
            return Admitted(ticket.request)
        latest = self._latest_start(ticket)
        heapq.heappush(self._start_deadlines, (latest, ticket.request))
        return Queued(ticket.request, wait)

    def poll(self, now: float) -> list[Admitted | Refused]:
        """Return new verdicts on waiting requests.

        Requests that can no longer meet their deadline are refused, and waiting
        requests start while there are free slots.
        """
        verdicts: list[Admitted | Refused] = list(self._pending_verdicts)
        self._pending_verdicts.clear()
        while self._start_deadlines and self._start_deadlines[0][0] <= now:
            _, request = heapq.heappop(self._start_deadlines)
            ticket = self._waiting.pop(request, None)
            if ticket is not None:
                service = self._service_state(ticket.service)
                self._queue_for(service, ticket).remove(ticket)
                verdicts.append(self._refuse_for_deadline(service, ticket, 0.0))
        for name in self._services:
            verdicts += self._start(name, now)
        return verdicts

    def record_end(self, request: RequestId, now: float) -> None:
        """Record that a request has ended, or that a waiting one was cancelled.

        Call :meth:`poll` afterwards, because a slot may have become free.
        """
        ticket = self._waiting.pop(request, None)
        if ticket is not None:
            self._queue_for(self._service_state(ticket.service), ticket).remove(ticket)
            return
        running_request = self._running.pop(request, None)
        if running_request is None:
            return
        ticket = running_request.ticket
        service = self._service_state(ticket.service)
        service.running -= 1
        service.running_batch -= ticket.priority not in URGENT_CLASSES
        self._limits_of(ticket.tenant, now).running -= 1
        self._record_run_time(service, ticket, now - running_request.started_at)

    def next_wakeup(self, now: float) -> float | None:
        """Return the latest time for the next :meth:`poll`, or None for no limit."""
        if self._pending_verdicts:
            return now
        while (
            self._start_deadlines and self._start_deadlines[0][1] not in self._waiting
        ):
            heapq.heappop(self._start_deadlines)
        times = [self._start_deadlines[0][0]] if self._start_deadlines else []
        for service in self._services.values():
            if service.batch_queue:
                due = (
                    service.batch_waiting_since + self._settings.batch_start_interval_s
                )
                if due > now:
                    times.append(due)
        return min(times) if times else None

    def _service_state(self, name: ServiceName) -> _ServiceState:
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = _ServiceState(self._settings.default_slots)
        return service

    def _limits_of(self, tenant: TenantName, now: float) -> TenantLimits:
        """Return a tenant's limits; an unconfigured tenant has the default limits."""
        limits = self._limits.get(tenant)
        if limits is None:
            limits = self._limits[tenant] = TenantLimits(Tenant(tenant), 1.0, now)
        return limits

    def _queue_for(self, service: _ServiceState, ticket: AdmissionRequest) -> FairQueue:
        urgent = ticket.priority in URGENT_CLASSES
        return service.urgent_queue if urgent else service.batch_queue

    def _find_refusal(
        self, ticket: AdmissionRequest, limits: TenantLimits, now: float
    ) -> Refused | None:
        """Return a refusal if a queue is full or the deadline cannot be met."""
        service = self._service_state(ticket.service)
        wait = self._expected_wait(service, ticket)
        waiting = len(service.urgent_queue) + len(service.batch_queue)
        tenant_waiting = service.urgent_queue.length(ticket.tenant)
        tenant_waiting += service.batch_queue.length(ticket.tenant)
        full = waiting >= self._settings.queue_limit
        if (
            full
            or tenant_waiting >= self._settings.tenant_queue_limit
            or not limits.concurrency
        ):
            message = f"the queue of service {ticket.service} is full"
            return self._refuse(ticket, ErrorKind.OVERLOADED, message, wait)
        if now + wait > self._latest_start(ticket):
            return self._refuse_for_deadline(service, ticket, wait)
        return None

    def _latest_start(self, ticket: AdmissionRequest) -> float:
        """Return the latest start time at which a ticket can meet its deadline."""
        ratio = self._service_state(ticket.service).run_time_ratio
        margin = self._settings.deadline_margin_s
        return ticket.deadline - ticket.expected_s * ratio - margin

    def _refuse_for_deadline(
        self, service: _ServiceState, ticket: AdmissionRequest, wait: float
    ) -> Refused:
        message = "the deadline cannot be met"
        if not wait:
            wait = service.mean_run_s
        kind = ErrorKind.DEADLINE_TOO_SHORT
        return self._refuse(ticket, kind, message, wait)

    def _refuse(
        self,
        ticket: AdmissionRequest,
        kind: ErrorKind,
        message: str,
        retry_after_s: float,
    ) -> Refused:
        retry_after_s = round(max(MIN_RETRY_S, retry_after_s), 3)
        return Refused(ticket.request, kind, message, retry_after_s)

    def _expected_wait(self, service: _ServiceState, ticket: AdmissionRequest) -> float:
        """Return the expected seconds until a ticket that is queued now starts."""
        urgent = ticket.priority in URGENT_CLASSES
        slots = service.slots if urgent else self._batch_slots(service)
        running = service.running if urgent else service.running_batch
        queue = self._queue_for(service, ticket)
        if not queue and running < slots and service.running < service.slots:
            return 0.0
        ahead = queue.expected_s_before(ticket, self._weight_of)
        if not urgent:
            ahead += service.urgent_queue.expected_s()
        return (ahead * service.run_time_ratio + service.mean_run_s) / slots

    def _weight_of(self, tenant: TenantName) -> float:
        limits = self._limits.get(tenant)
        return limits.weight if limits is not None else 1.0

    def _batch_slots(self, service: _ServiceState) -> int:
        return max(1, int(service.slots * self._settings.batch_share))

    def _start(self, name: ServiceName, now: float) -> list[Admitted]:
        """Start waiting requests of a service while it has free slots."""
        service = self._services[name]
        started = []
        while service.running < service.slots:
            ticket = self._pop_next(service, now)
            if ticket is None:
                break
            del self._waiting[ticket.request]
            self._running[ticket.request] = _RunningRequest(ticket, now)
            service.running += 1
            self._limits_of(ticket.tenant, now).running += 1
            started.append(Admitted(ticket.request))
        return started

    def _pop_next(self, service: _ServiceState, now: float) -> AdmissionRequest | None:
        """Remove and return the ticket to start next, or None if none may start.

        An overdue batch request goes first, then urgent, then batch requests.
        """

        def may_run(tenant: TenantName) -> bool:
            limits = self._limits_of(tenant, now)
            return limits.running < limits.concurrency

        has_batch_slot = service.running_batch < self._batch_slots(service)
        overdue = (
            now - service.batch_waiting_since >= self._settings.batch_start_interval_s
        )
        ticket = None
        if not (overdue and service.batch_queue and has_batch_slot):
            ticket = service.urgent_queue.pop_next(may_run)
        if ticket is None and has_batch_slot:
            ticket = service.batch_queue.pop_next(may_run)
            if ticket is not None:
                service.running_batch += 1
                service.batch_waiting_since = now
        if ticket is None:
            ticket = service.urgent_queue.pop_next(may_run)
        return ticket

    def _record_run_time(
        self, service: _ServiceState, ticket: AdmissionRequest, elapsed: float
    ) -> None:
        if ticket.expected_s > 0:
            ratio = min(
                MAX_RUN_TIME_RATIO, max(MIN_RUN_TIME_RATIO, elapsed / ticket.expected_s)
            )
            service.run_time_ratio += RUN_TIME_WEIGHT * (ratio - service.run_time_ratio)
        weight = RUN_TIME_WEIGHT if service.mean_run_s else 1.0
        service.mean_run_s += weight * (elapsed - service.mean_run_s)
