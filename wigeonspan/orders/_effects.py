"""Effects that the order controller requests, and the results of sending orders."""

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
    """Replicated state and entry reports, as the controller reads them."""

    def engines(self) -> list[Engine]:
        """Return all engines."""
        ...

    def service(self, name: ServiceName) -> ModelService | None:
        """Return a model service, or None if it does not exist."""
        ...

    def weight_bytes(self, model: str, label: str) -> int:
        """Return the size of a model version in bytes; 0 when unknown."""
        ...

    def policy(self) -> Policy:
        """Return the policy settings."""
        ...

    def opened(self) -> Mapping[EngineId, OpenedOrder]:
        """Return the open orders by engine."""
        ...

    def in_force(self, version: Version, now: float) -> bool:
        """Return whether no entry can still route by an earlier version."""
        ...

    def in_flight(self, engine: EngineId, now: float) -> InFlight:
        """Return the requests in flight on an engine from entries that hold a lease."""
        ...


class Commit(Struct, frozen=True):
    """Commit a command about an engine."""

    engine: EngineId
    command: SetEngineState | OpenOrder | CloseOrder


class ReadState(Struct, frozen=True):
    """Read the state of an engine."""

    engine: EngineId
    address: str


class SendOrder(Struct, frozen=True):
    """Send an order while the lease guard is armed."""

    engine: EngineId
    address: str
    request: OrderRequest


Effect = Commit | ReadState | SendOrder
"""Any effect that the controller can request."""


class SendResult(Enum):
    """What the sender knows about the delivery of an order."""

    ANSWERED = "answered"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


class SendOutcome(Struct, frozen=True):
    """Result of sending an order, with the engine's response if there was one.

    Parameters
    ----------
    result : SendResult
        ``NOT_SENT`` only when certainly no byte left this host.
    state : EngineState or None
        State of the engine after the order, for ``ANSWERED``.
    message : str
        Details for the record and the log.
    """

    result: SendResult
    state: EngineState | None = None
    message: str = ""
