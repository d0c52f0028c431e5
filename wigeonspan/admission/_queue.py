"""Weighted fair queue of the tenants of one class."""

from collections import OrderedDict
from collections.abc import Callable

from wigeonspan.admission._messages import Ticket
from wigeonspan.common import RequestId, TenantName


class FairQueue:
    """Start-time fair queue: each tenant gets room in proportion to its weight.

    A ticket's start tag is the larger of the queue's virtual time and the tenant's
    last finish tag; the smallest tag leaves first (Goyal, Vin and Cheng, SIGCOMM
    1996). A tenant that was idle gains no credit.
    """

    def __init__(self) -> None:
        self._virtual = 0.0
        self._finish: dict[TenantName, float] = {}
        self._waiting: dict[TenantName, OrderedDict[RequestId, Ticket]] = {}
        self._starts: dict[RequestId, float] = {}
        self._work: dict[TenantName, float] = {}

    def __len__(self) -> int:
        return len(self._starts)

    @property
    def work(self) -> dict[TenantName, float]:
        """Expected seconds of the waiting tickets of each tenant."""
        return self._work

    def length(self, tenant: TenantName) -> int:
        """Return the number of waiting tickets of a tenant."""
        return len(self._waiting.get(tenant, ()))

    def add(self, ticket: Ticket, weight: float) -> None:
        """Add a ticket behind the others of its tenant."""
        start = max(self._virtual, self._finish.get(ticket.tenant, 0.0))
        self._finish[ticket.tenant] = start + ticket.cost / weight
        self._starts[ticket.request] = start
        queue = self._waiting.setdefault(ticket.tenant, OrderedDict())
        queue[ticket.request] = ticket
        work = self._work.get(ticket.tenant, 0.0)
        self._work[ticket.tenant] = work + ticket.expected_s

    def next(self, may_run: Callable[[TenantName], bool]) -> Ticket | None:
        """Remove and return the next ticket of a tenant that may run one."""
        best: Ticket | None = None
        for tenant, queue in self._waiting.items():
            head = next(iter(queue.values()))
            earlier = (
                best is None or self._starts[head.request] < self._starts[best.request]
            )
            if earlier and may_run(tenant):
                best = head
        if best is not None:
            self._virtual = max(self._virtual, self._starts[best.request])
            self.remove(best)
        return best

    def remove(self, ticket: Ticket) -> bool:
        """Remove a ticket; return whether it was waiting."""
        queue = self._waiting.get(ticket.tenant)
        if queue is None or queue.pop(ticket.request, None) is None:
            return False
        del self._starts[ticket.request]
        self._work[ticket.tenant] -= ticket.expected_s
        if not queue:
            del self._waiting[ticket.tenant], self._work[ticket.tenant]
        if not self._starts:
            self._finish.clear()
            self._virtual = 0.0
        return True
