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
    """Command: an order is about to be sent to an engine.

    The log index of this command is the fencing token and part of the order's
    identifier, so both only grow. ``request.order_id`` and ``request.fence`` are
    empty here. Applying it fails while another order of the engine is open.
    """

    engine: EngineId
    request: OrderRequest
    reason: str
    wall_ms: int


class CloseOrder(Struct, frozen=True, tag="close_order"):
    """Command: an order ended.

    Parameters
    ----------
    evidence : str
        What showed it: ``answer``, ``read_back`` or ``wait_out``.
    state : EngineState or None
        State of the engine after the order.
    """

    engine: EngineId
    order_id: str
    result: OrderResult
    evidence: str
    wall_ms: int
    state: EngineState | None = None


class OpenedOrder(Struct, frozen=True):
    """An order that is open in the replicated state."""

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
        Why it was not accepted; empty when it was.
    """

    accepted: bool
    order: OpenedOrder | None = None
    message: str = ""


class OrderTableSnapshot(Struct, frozen=True):
    """Whole state of the order table."""

    opened: list[OpenedOrder]
