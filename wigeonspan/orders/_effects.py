"""What the order keeper asks of its task, and what the task reports back."""

from collections.abc import Mapping
from enum import Enum
from typing import Protocol

from msgspec import Struct

from wigeonspan.catalog import Engine, ModelService, Policy, SetEngineState
from wigeonspan.common import EngineId, ServiceName, Version
from wigeonspan.distribution import InFlight
from wigeonspan.engines import EngineState, OrderRequest
from wigeonspan.orders._messages import CloseOrder, OpenedOrder, OpenOrder


class FleetView(Protocol):
    """Replicated state and entry reports, as the keeper reads them."""

    def engines(self) -> list[Engine]:
        """Return all engines."""
        ...

    def service(self, name: ServiceName) -> ModelService | None:
        """Return a model service, or None."""
        ...

    def weight_bytes(self, model: str, label: str) -> int:
        """Return the size of a model version in bytes; 0 when unknown."""
        ...

    def policy(self) -> Policy:
        """Return the settings of the decisions."""
        ...

    def opened(self) -> Mapping[EngineId, OpenedOrder]:
        """Return the open orders by engine."""
        ...

    def in_force(self, version: Version, now: float) -> bool:
        """Whether no entry can route by an earlier version."""
        ...

    def in_flight(self, engine: EngineId, now: float) -> InFlight:
        """Return the requests that entries with a lease have on an engine."""
        ...


class Commit(Struct, frozen=True):
    """Commit a command about an engine."""

    engine: EngineId
    command: SetEngineState | OpenOrder | CloseOrder


class ReadState(Struct, frozen=True):
    """Read an engine's state."""

    engine: EngineId
    address: str


class SendOrder(Struct, frozen=True):
    """Send an order, under the guard."""

    engine: EngineId
    address: str
    request: OrderRequest


Effect = Commit | ReadState | SendOrder
"""Anything that the keeper asks for."""


class SendResult(Enum):
    """What is known after an order was sent."""

    ANSWERED = "answered"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


class Sent(Struct, frozen=True):
    """Result of sending an order.

    Parameters
    ----------
    result : SendResult
        ``NOT_SENT`` only when provably no byte left this host.
    state : EngineState or None
        State after the order, for ``ANSWERED``.
    message : str
        What happened, for the record and the log.
    """

    result: SendResult
    state: EngineState | None = None
    message: str = ""
