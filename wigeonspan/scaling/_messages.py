"""Fleets, plans and orders for replicas."""

from msgspec import Struct

from wigeonspan.common import DomainName
from wigeonspan.duties import ReplicaOrder


class DomainFleet(Struct, frozen=True):
    """Replicas of a service in one failure domain that do not leave.

    Parameters
    ----------
    kept : int
        Ordinary replicas, which stay until they are released.
    reclaimable : int
        Replicas that the platform may take away.
    """

    kept: int = 0
    reclaimable: int = 0

    @property
    def total(self) -> int:
        """Replicas of both kinds."""
        return self.kept + self.reclaimable


FleetPlan = dict[DomainName, DomainFleet]
"""Replicas of a service by failure domain."""


class FleetNeed(Struct, frozen=True):
    """Engines that a service needs.

    Parameters
    ----------
    total : int
        Engines for all requests, with a reserve for bursts.
    urgent : int
        Engines without which the most urgent requests would wait.
    required : int
        Engines for all requests without a reserve. Ordinary replicas take the place of
        reclaimable ones that are not available only up to this number.
    """

    total: int
    urgent: int
    required: int


class OrderRecorded(Struct, frozen=True, tag="replicas_ordered"):
    """Command that records an order before it is sent.

    Parameters
    ----------
    found_total : int
        Replicas that the service had before the first order.
    """

    order: ReplicaOrder
    found_total: int
