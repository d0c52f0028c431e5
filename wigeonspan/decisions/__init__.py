"""Decision logic of the system, for use by programs outside this repository.

Each class is a state machine without I/O. Its inputs are typed messages, the time in
seconds and, if it makes random choices, a seeded ``random.Random``. The daemons use the
same classes. ``docs/decisions.md`` shows how to drive each of them.
"""

from wigeonspan.admission import (
    Admission,
    AdmissionRequest,
    AdmissionSettings,
    Admitted,
    Queued,
    Refused,
)
from wigeonspan.calls import CallTable
from wigeonspan.catalog import Catalog
from wigeonspan.consensus import RaftNode
from wigeonspan.distribution import Distributor, Follower, SampleWindow
from wigeonspan.orders import OrderController, OrderTable
from wigeonspan.planning import (
    Plan,
    PlanInputs,
    Planner,
    PlanningSettings,
    RoleChange,
    ServiceDecision,
)
from wigeonspan.routing import (
    AttemptEnd,
    AttemptResult,
    EngineRoute,
    PromptPrefix,
    Router,
    RouteRequest,
    RoutingSettings,
    TargetHealth,
)
from wigeonspan.streams import SseDecoder, StreamTracker

__all__ = [
    "Admission",
    "AdmissionSettings",
    "Admitted",
    "AttemptEnd",
    "AttemptResult",
    "CallTable",
    "Catalog",
    "Distributor",
    "EngineRoute",
    "Follower",
    "OrderController",
    "OrderTable",
    "Plan",
    "PlanInputs",
    "Planner",
    "PlanningSettings",
    "PromptPrefix",
    "Queued",
    "RaftNode",
    "Refused",
    "RoleChange",
    "RouteRequest",
    "Router",
    "RoutingSettings",
    "SampleWindow",
    "ServiceDecision",
    "SseDecoder",
    "StreamTracker",
    "TargetHealth",
    "AdmissionRequest",
]
