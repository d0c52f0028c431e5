"""Weighted fair queue of the flows of urgent or of batch requests."""

from collections import OrderedDict
from collections.abc import Callable

from wigeonspan.admission._messages import Ticket
from wigeonspan.catalog import PriorityClass
from wigeonspan.common import RequestId, TenantName

Flow = tuple[TenantName, PriorityClass]
"""Requests that share a turn: those of one tenant and class."""


class _Backlog:
    """Waiting tickets of a flow, and the sums over them."""

    def __init__(self) -> None:
        self.tickets: OrderedDict[RequestId, Ticket] = OrderedDict()
        self.cost = 0.0
        self.expected_s = 0.0


class FairQueue:
    """Start-time fair queue: each flow gets work in proportion to its weight.

    A ticket's start tag is the larger of the queue's virtual time and the flow's last
    finish tag; the smallest tag leaves first (Goyal, Vin and Cheng, SIGCOMM 1996). A
    flow that was idle gains no credit. Desk and quote requests of a tenant are two
    flows, so that long quote prompts do not hold up short questions.
    """

    def __init__(self) -> None:
        self._virtual = 0.0
        self._finish: dict[Flow, float] = {}
        self._waiting: dict[Flow, _Backlog] = {}
        self._starts: dict[RequestId, float] = {}

    def __len__(self) -> int:
        return len(self._starts)

    def length(self, tenant: TenantName) -> int:
        """Return the number of waiting tickets of a tenant."""
        return sum(
            len(backlog.tickets)
            for (name, _), backlog in self._waiting.items()
            if name == tenant
        )

    def expected_s(self) -> float:
        """Return the expected time of all waiting tickets, one after the other."""
        return sum(backlog.expected_s for backlog in self._waiting.values())

    def expected_before(
        self, ticket: Ticket, weight_of: Callable[[TenantName], float]
    ) -> float:
        """Return the expected time of the tickets that would leave before a new one.

        Another flow gets ahead by at most its weighted share of the work that waits in
        this flow.
        """
        flow = (ticket.tenant, ticket.priority)
        own = self._waiting.get(flow)
        cost = ticket.cost + (own.cost if own else 0.0)
        expected = own.expected_s if own else 0.0
        for other, backlog in self._waiting.items():
            if other == flow or backlog.cost <= 0:
                continue
            share = cost * weight_of(other[0]) / weight_of(ticket.tenant)
            expected += min(1.0, share / backlog.cost) * backlog.expected_s
        return expected

    def add(self, ticket: Ticket, weight: float) -> None:
        """Add a ticket behind the others of its flow."""
        flow = (ticket.tenant, ticket.priority)
        start = max(self._virtual, self._finish.get(flow, 0.0))
        self._finish[flow] = start + ticket.cost / weight
        self._starts[ticket.request] = start
        backlog = self._waiting.setdefault(flow, _Backlog())
        backlog.tickets[ticket.request] = ticket
        backlog.cost += ticket.cost
        backlog.expected_s += ticket.expected_s

    def next(self, may_run: Callable[[TenantName], bool]) -> Ticket | None:
        """Remove and return the next ticket of a tenant that may run one."""
        best: Ticket | None = None
        best_start = float("inf")
        for (tenant, _), backlog in self._waiting.items():
            head = next(iter(backlog.tickets.values()))
            start = self._starts[head.request]
            if start < best_start and may_run(tenant):
                best, best_start = head, start
        if best is not None:
            self._virtual = max(self._virtual, best_start)
            self.remove(best)
        return best

    def remove(self, ticket: Ticket) -> bool:
        """Remove a ticket; return whether it was waiting."""
        flow = (ticket.tenant, ticket.priority)
        backlog = self._waiting.get(flow)
        if backlog is None or backlog.tickets.pop(ticket.request, None) is None:
            return False
        del self._starts[ticket.request]
        backlog.cost -= ticket.cost
        backlog.expected_s -= ticket.expected_s
        if not backlog.tickets:
            del self._waiting[flow]
        if not self._starts:
            self._finish.clear()
            self._virtual = 0.0
        return True
