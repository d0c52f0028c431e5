"""Demand for engines, and orders to them."""

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from msgspec import Struct

from wigeonspan.common import HostId
from wigeonspan.targets import Phase, Target


class Demand(Struct, frozen=True):
    """Work that a model service gets, as a rate.

    Parameters
    ----------
    read_engines : float
        Engines that reading the prompts keeps busy.
    streams : float
        Streams that are open at a time.
    """

    read_engines: float
    streams: float


class EngineReport(Struct, frozen=True):
    """What an engine says of itself.

    Parameters
    ----------
    phase : Phase
        Phase that it is in.
    busy : bool
        Whether an order is being carried out.
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
        Host that gives it.
    fence : int
        Fencing token; it grows with each new holder.
    after : int
        Number of orders that the engine must have accepted before, so that an order
        that arrives late changes nothing.
    """

    target: Target
    phase: Phase
    holder: HostId
    fence: int
    after: int


class OrderOutcome(Enum):
    """Answer to an order."""

    ACCEPTED = "accepted"
    IN_FORCE = "in_force"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    WITHHELD = "withheld"


class OrderPort(Protocol):
    """How engines are ordered."""

    async def read_report(self, target: Target) -> EngineReport | None:
        """Return an engine's report, or None when it does not answer."""
        ...

    async def order(
        self, order: PhaseOrder, may_send: Callable[[], bool]
    ) -> OrderOutcome:
        """Send an order once.

        Parameters
        ----------
        may_send : callable
            Tells right before the order is written whether the holder still has the
            right to give it.
        """
        ...
