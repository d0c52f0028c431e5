"""Commands that open and close orders to engines."""

from enum import Enum

from msgspec import Struct

from wigeonspan.common import EngineId
from wigeonspan.engines import EngineState, OrderRequest


class OrderResult(Enum):
    """How an order ended."""

    APPLIED = "applied"
    NOT_APPLIED = "not_applied"
    REFUSED = "refused"


class OpenOrder(Struct, frozen=True, tag="open_order"):
    """Command that opens an order before it is sent to an engine.

    The log index of this command becomes the fencing token and a part of the order's
    identifier, so both increase with each order. ``request.order_id`` and
    ``request.fence`` are not set yet. The command is rejected while another order of
    the engine is open.
    """

    engine: EngineId
    request: OrderRequest
    reason: str
    wall_ms: int


class CloseOrder(Struct, frozen=True, tag="close_order"):
    """Command that closes an order with its result.

    Parameters
    ----------
    evidence : str
        How the result was determined: ``answer``, ``read_back`` or ``wait_out``.
    state : EngineState or None
        State of the engine after the order, if known.
    """

    engine: EngineId
    order_id: str
    result: OrderResult
    evidence: str
    wall_ms: int
    state: EngineState | None = None


class OpenedOrder(Struct, frozen=True):
    """Open order in the replicated state."""

    engine: EngineId
    request: OrderRequest
    reason: str
    opened_wall_ms: int


class OrderOutcome(Struct, frozen=True):
    """Result of applying a command to the order table.

    Parameters
    ----------
    accepted : bool
        Whether the order was opened or closed.
    order : OpenedOrder or None
        The order that is open on the engine afterwards, or that was closed.
    message : str
        Why the command was rejected; empty when it was accepted.
    """

    accepted: bool
    order: OpenedOrder | None = None
    message: str = ""


class OrderTableSnapshot(Struct, frozen=True):
    """Complete state of the order table."""

    opened: list[OpenedOrder]
