"""Distribution of the configuration and of routing leases to entries.

The HTTP handler and the sync task are in ``wigeonspan.distribution.tasks``.
"""

from wigeonspan.distribution._configuration import Configuration, object_kind
from wigeonspan.distribution._distributor import (
    MAX_CLOCK_DRIFT,
    ROUTING_LEASE_S,
    ConfigurationSource,
    Distributor,
)
from wigeonspan.distribution._follower import Follower
from wigeonspan.distribution._messages import (
    DemandSample,
    EngineSample,
    InFlight,
    SyncReply,
    SyncRequest,
)
from wigeonspan.distribution._samples import SampleWindow

__all__ = [
    "MAX_CLOCK_DRIFT",
    "ROUTING_LEASE_S",
    "Configuration",
    "ConfigurationSource",
    "DemandSample",
    "Distributor",
    "EngineSample",
    "Follower",
    "InFlight",
    "SampleWindow",
    "SyncReply",
    "SyncRequest",
    "object_kind",
]
