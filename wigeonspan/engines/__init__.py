"""Messages of the engine protocol and prompt prefix hashes."""

from wigeonspan.engines._messages import (
    CacheEvent,
    CacheEvents,
    CancelRequest,
    ChunkExtension,
    CompletionExtension,
    EngineState,
    KvExportRequest,
    KvHandle,
    KvImportRequest,
    LoadReport,
    OrderAction,
    OrderRequest,
    PriorityRequest,
    RunPhase,
)
from wigeonspan.engines._prefixes import (
    MAX_PREFIXES,
    PIECE_TOKENS,
    count_tokens,
    prefix_hashes,
)

__all__ = [
    "MAX_PREFIXES",
    "PIECE_TOKENS",
    "CacheEvent",
    "CacheEvents",
    "CancelRequest",
    "ChunkExtension",
    "CompletionExtension",
    "EngineState",
    "KvExportRequest",
    "KvHandle",
    "KvImportRequest",
    "LoadReport",
    "OrderAction",
    "OrderRequest",
    "PriorityRequest",
    "RunPhase",
    "count_tokens",
    "prefix_hashes",
]
