"""Engine protocol and its client."""

from wigeonspan.engines._messages import (
    CacheEvent,
    CacheEvents,
    CancelRequest,
    ChunkExtension,
    EngineState,
    Extension,
    KvExportRequest,
    KvHandle,
    KvImportRequest,
    LoadReport,
    OrderAction,
    OrderRequest,
    PriorityRequest,
    RunPhase,
)

__all__ = [
    "CacheEvent",
    "CacheEvents",
    "CancelRequest",
    "ChunkExtension",
    "EngineState",
    "Extension",
    "KvExportRequest",
    "KvHandle",
    "KvImportRequest",
    "LoadReport",
    "OrderAction",
    "OrderRequest",
    "PriorityRequest",
    "RunPhase",
]
