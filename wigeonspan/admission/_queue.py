"""Weighted fair queue of waiting requests.

A service has one queue for urgent and one for batch requests.
"""

from collections import OrderedDict
from collections.abc import Callable

from wigeonspan.admission._messages import AdmissionRequest
from wigeonspan.catalog import PriorityClass
from wigeonspan.common import RequestId, TenantName

Flow = tuple[TenantName, PriorityClass]
"""Key of the requests that are scheduled in order: one tenant and priority class."""


class _Backlog:
    """Waiting tickets of one flow, oldest first, with their total cost and time."""

    def __init__(self) -> None:
        self.tickets: OrderedDict[RequestId, AdmissionRequest] = OrderedDict()
        self.cost = 0.0
        self.expected_s = 0.0


class FairQueue:
    """Start-time fair queue that serves each flow in proportion to its weight.

    A ticket's start tag is the larger of the queue's virtual time and the flow's last
    finish tag. The ticket with the smallest start tag is served first (Goyal, Vin and
    Cheng, SIGCOMM 1996). An idle flow does not accumulate credit. Desk and quote
    requests of a tenant are separate flows, so that long quote prompts do not delay
    short questions.
    """

    def __init__(self) -> None:
        self._virtual_time = 0.0
        self._finish_tags: dict[Flow, float] = {}
        self._backlogs: dict[Flow, _Backlog] = {}
        self._start_tags: dict[RequestId, float] = {}

    def __len__(self) -> int:
        return len(self._start_tags)

    def length(self, tenant: TenantName) -> int:
        """Return the number of waiting tickets of a tenant."""
        return sum(
            len(backlog.tickets)
            for (name, _), backlog in self._backlogs.items()
            if name == tenant
        )

    def expected_s(self) -> float:
        """Return the seconds to run all waiting tickets one after the other."""
        return sum(backlog.expected_s for backlog in self._backlogs.values())

    def expected_s_before(
        self, ticket: AdmissionRequest, weight_of: Callable[[TenantName], float]
    ) -> float:
        """Return the seconds to run the tickets that are served before a new ticket.

        All waiting tickets of the ticket's own flow are served before it. Meanwhile,
        each other flow is served in proportion to its weight until its queue is empty.

        Parameters
        ----------
        ticket : AdmissionRequest
            The new ticket, which is not in the queue yet.
        weight_of : callable
            Returns the weight of a tenant.
        """
        flow = (ticket.tenant, ticket.priority)
        own_backlog = self._backlogs.get(flow)
        cost = ticket.cost + (own_backlog.cost if own_backlog else 0.0)
        expected = own_backlog.expected_s if own_backlog else 0.0
        for other, backlog in self._backlogs.items():
            if other == flow or backlog.cost <= 0:
                continue
            share = cost * weight_of(other[0]) / weight_of(ticket.tenant)
            expected += min(1.0, share / backlog.cost) * backlog.expected_s
        return expected

    def add(self, ticket: AdmissionRequest, weight: float) -> None:
        """Append a ticket to its flow, with the weight of its tenant."""
        flow = (ticket.tenant, ticket.priority)
        start = max(self._virtual_time, self._finish_tags.get(flow, 0.0))
        self._finish_tags[flow] = start + ticket.cost / weight
        self._start_tags[ticket.request] = start
        backlog = self._backlogs.setdefault(flow, _Backlog())
        backlog.tickets[ticket.request] = ticket
        backlog.cost += ticket.cost
        backlog.expected_s += ticket.expected_s

    def pop_next(
        self, may_run: Callable[[TenantName], bool]
    ) -> AdmissionRequest | None:
        """Remove and return the next ticket of a tenant for which ``may_run`` is true.

        Return None if there is no such ticket.
        """
        best: AdmissionRequest | None = None
        best_start = float("inf")
        for (tenant, _), backlog in self._backlogs.items():
            head = next(iter(backlog.tickets.values()))
            start = self._start_tags[head.request]
            if start < best_start and may_run(tenant):
                best, best_start = head, start
        if best is not None:
            self._virtual_time = max(self._virtual_time, best_start)
            self.remove(best)
        return best

    def remove(self, ticket: AdmissionRequest) -> bool:
        """Remove a ticket; return whether it was waiting."""
        flow = (ticket.tenant, ticket.priority)
        backlog = self._backlogs.get(flow)
        if backlog is None or backlog.tickets.pop(ticket.request, None) is None:
            return False
        del self._start_tags[ticket.request]
        backlog.cost -= ticket.cost
        backlog.expected_s -= ticket.expected_s
        if not backlog.tickets:
            del self._backlogs[flow]
        if not self._start_tags:
            self._finish_tags.clear()
            self._virtual_time = 0.0
        return True
