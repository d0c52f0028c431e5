"""Replicated state of scaling: the last numbers that were ordered."""

from msgspec import Struct

from wigeonspan.common import DomainName, ServiceName
from wigeonspan.duties import ReplicaOrder
from wigeonspan.scaling._messages import DomainFleet, FleetPlan, OrderRecorded

MAX_ORDERS = 4096
"""Maximum number of orders that are kept; the oldest are removed first. It is far above
services times domains, and bounds the state when names change often."""


class ScalingState(Struct, frozen=True):
    """State of a ledger, as it is kept in a snapshot.

    Parameters
    ----------
    found_totals : dict
        Replicas that each service had before the first order.
    """

    orders: list[ReplicaOrder] = []
    found_totals: dict[ServiceName, int] = {}


class ScalingLedger:
    """Last order by service, failure domain and kind of replica."""

    def __init__(self) -> None:
        self._orders: dict[tuple[ServiceName, DomainName, bool], ReplicaOrder] = {}
        self._found_totals: dict[ServiceName, int] = {}

    @property
    def is_empty(self) -> bool:
        """Whether nothing was ever ordered."""
        return not self._orders

    def apply(self, command: OrderRecorded) -> ReplicaOrder:
        """Apply a committed command and return its order."""
        order = command.order
        key = (order.service, order.domain, order.reclaimable)
        self._orders.pop(key, None)
        self._orders[key] = order
        found = self._found_totals.get(order.service, 0)
        self._found_totals[order.service] = max(found, command.found_total)
        if len(self._orders) > MAX_ORDERS:
            oldest = next(iter(self._orders))
            del self._orders[oldest]
            if all(service != oldest[0] for service, _, _ in self._orders):
                del self._found_totals[oldest[0]]
        return order

    def found_total(self, service: ServiceName, present: FleetPlan) -> int:
        """Return the replicas that a service had before the first order.

        A list may show them one after the other, so that the number grows until an
        order has changed them.
        """
        found = self._found_totals.get(service, 0)
        if any(name == service and not kind for name, _, kind in self._orders):
            return found
        if not found:
            return sum(fleet.total for fleet in present.values())
        return max(found, sum(fleet.kept for fleet in present.values()))

    def orders(self, service: ServiceName) -> list[ReplicaOrder]:
        """Return the last orders of a service."""
        return [o for o in self._orders.values() if o.service == service]

    def ordered(self, service: ServiceName, present: FleetPlan) -> FleetPlan:
        """Return the numbers ordered last, or those present where none was ordered."""

        def number(domain: DomainName, reclaimable: bool, found: int) -> int:
            order = self._orders.get((service, domain, reclaimable))
            return found if order is None else order.number

        return {
            domain: DomainFleet(
                number(domain, False, fleet.kept),
                number(domain, True, fleet.reclaimable),
            )
            for domain, fleet in present.items()
        }

    def save(self) -> ScalingState:
        """Return the state for a snapshot."""
        return ScalingState(list(self._orders.values()), dict(self._found_totals))

    def restore(self, state: ScalingState) -> None:
        """Replace the state by that of a snapshot."""
        self._orders.clear()
        self._found_totals = dict(state.found_totals)
        for order in state.orders:
            self.apply(OrderRecorded(order, 0))
