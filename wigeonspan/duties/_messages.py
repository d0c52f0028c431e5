"""Calls to the platform, their outcomes and the port that sends them."""

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from msgspec import Struct

from wigeonspan.common import DomainName, HostId, ServiceName, TenantName


class DutySettings(Struct, frozen=True):
    """Duties of the control hosts towards the platform.

    Parameters
    ----------
    reports_usage : bool
        Whether the use of tenants is reported.
    orders_replicas : bool
        Whether the number of replicas of services is ordered.
    window_s : float
        Length of a window of use in seconds.
    due_s : float
        Seconds after the end of a window at which its report is due.
    """

    reports_usage: bool = False
    orders_replicas: bool = False
    window_s: float = 5.0
    due_s: float = 10.0


class UsageReport(Struct, frozen=True):
    """Requests of each tenant that began to run in a window, sorted by tenant."""

    window: int
    counts: tuple[tuple[TenantName, int], ...]


class ReplicaOrder(Struct, frozen=True):
    """Order for the number of replicas of a service in a failure domain.

    Parameters
    ----------
    number : int
        Number of replicas of this kind that are wanted, not a change of it.
    reclaimable : bool
        Whether the order is about replicas that the platform may take away.
    """

    service: ServiceName
    domain: DomainName
    number: int
    reclaimable: bool = False


class DutyOutcome(Enum):
    """Result of a call.

    ``CONFLICT`` is a call that the platform refuses in its present state: it has seen a
    higher fencing token, or has no such replicas. ``BUSY`` was not carried out;
    ``UNKNOWN`` may still be carried out later.
    """

    DONE = "done"
    CONFLICT = "conflict"
    BUSY = "busy"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    WITHHELD = "withheld"


class DutyPort(Protocol):
    """Interface for the calls; each method sends one call once.

    ``may_send`` is called immediately before the call is written and returns whether
    the holder still has the authority to send it.
    """

    async def report_usage(
        self,
        report: UsageReport,
        holder: HostId,
        fence: int,
        may_send: Callable[[], bool],
    ) -> DutyOutcome:
        """Report a window of use."""
        ...

    async def order_replicas(
        self,
        order: ReplicaOrder,
        holder: HostId,
        fence: int,
        may_send: Callable[[], bool],
    ) -> DutyOutcome:
        """Order a number of replicas."""
        ...
