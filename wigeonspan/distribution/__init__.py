"""Configuration and routing leases for entries."""

from wigeonspan.distribution._messages import (
    DemandSample,
    EngineSample,
    InFlight,
    SyncReply,
    SyncRequest,
)

__all__ = ["DemandSample", "EngineSample", "InFlight", "SyncReply", "SyncRequest"]
