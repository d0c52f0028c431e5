"""Demand for engines, and orders that change their phases."""

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from msgspec import Struct

from wigeonspan.common import HostId
from wigeonspan.targets import Phase, Target


class EngineDemand(Struct, frozen=True):
    """Demand of a model service for engines, averaged over time.

    Parameters
    ----------
    busy_prefill_engines : float
        Mean number of engines that are busy with prefill.
    streams : float
        Mean number of open streams.
    recent_streams : float
        Mean number of open streams in the last few seconds.
    is_settled : bool
        Whether the means cover enough time for changes that can wait.
    """

    busy_prefill_engines: float
    streams: float
    recent_streams: float = 0.0
    is_settled: bool = True


class EngineReport(Struct, frozen=True):
    """State that an engine reports.

    Parameters
    ----------
    phase : Phase
        Current phase.
    busy : bool
        Whether it is carrying out an order.
    orders : int
        Number of orders accepted since its start.
    """

    phase: Phase
    busy: bool
    orders: int


class PhaseOrder(Struct, frozen=True):
    """Order to change an engine's phase.

    Parameters
    ----------
    holder : HostId
        Host that sends the order.
    fence : int
        Fencing token; it increases with each new holder.
    after : int
        Number of orders that the engine must have accepted before, so that an order
        that arrives after newer ones has no effect.
    """

    target: Target
    phase: Phase
    holder: HostId
    fence: int
    after: int


class OrderOutcome(Enum):
    """Result of sending an order."""

    ACCEPTED = "accepted"
    IN_FORCE = "in_force"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    WITHHELD = "withheld"


class OrderPort(Protocol):
    """Interface for reading reports of engines and sending orders to them."""

    async def read_report(self, target: Target) -> EngineReport | None:
        """Return an engine's report, or None if it does not answer."""
        ...

    async def order(
        self, order: PhaseOrder, may_send: Callable[[], bool]
    ) -> OrderOutcome:
        """Send an order once.

        Parameters
        ----------
        may_send : callable
            Called immediately before the order is written; returns whether the holder
            still has the authority to send it.
        """
        ...
