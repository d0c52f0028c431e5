"""Messages of the engine protocol."""

from enum import Enum
from typing import Annotated

from msgspec import Meta, Struct

from wigeonspan.catalog import PriorityClass, Role
from wigeonspan.common import AttemptId, EngineId, ModelName

MAX_NUMBER = 10**12
"""Largest number in a response. Larger and negative ones would make a measurement seem
to come from the future, or overflow when they are used."""

Count = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]
Quantity = Annotated[float, Meta(ge=0.0, le=MAX_NUMBER)]


class RunPhase(Enum):
    """Phases of a request that an engine runs."""

    FULL = "full"
    PREFILL = "prefill"
    DECODE = "decode"


class CompletionExtension(Struct, frozen=True, omit_defaults=True):
    """Object ``wigeonspan`` in a completion request to an engine.

    Parameters
    ----------
    resume_position : int
        Number of tokens that the caller already has; the first chunk has this
        position.
    resume_text : str
        Text of those tokens.
    kv_handle : str
        Handle of an imported KV cache; empty when there is none.
    """

    attempt: AttemptId
    priority: PriorityClass
    deadline_ms: int
    resume_position: int = 0
    resume_text: str = ""
    kv_handle: str = ""
    phase: RunPhase = RunPhase.FULL


class ChunkExtension(Struct, frozen=True):
    """Object ``wigeonspan`` in a streamed chunk: its attempt and token position."""

    attempt: AttemptId
    position: int


class LoadReport(Struct, frozen=True):
    """Response to ``GET /wigeonspan/load``.

    Parameters
    ----------
    incarnation : str
        Random identifier, new at each start of the engine.
    age_s : float
        Seconds since the values were measured.
    queued_prefill_tokens : int
        Prompt tokens in the queue.
    running : int
        Number of requests in the batch.
    batch_limit : int
        Largest number of requests in a batch.
    pieces_total, pieces_free : int
        Number of all blocks and of unused blocks of KV cache memory.
    prefill_tokens_per_s, decode_tokens_per_s : float
        Recent rates; 0 when unknown.
    """

    engine: EngineId
    incarnation: str
    age_s: Quantity
    role: Role
    queued_prefill_tokens: Count
    running: Count
    batch_limit: Count
    pieces_total: Count
    pieces_free: Count
    prefill_tokens_per_s: Quantity
    decode_tokens_per_s: Quantity


class CacheEvent(Struct, frozen=True):
    """Change of an engine's prompt cache: a prefix was stored or evicted.

    Parameters
    ----------
    prefix : str
        Hash of the prompt's first ``tokens`` tokens, in hexadecimal.
    stored : bool
        True when the prefix was stored, false when it was evicted.
    """

    seq: Count
    prefix: str
    tokens: Count
    stored: bool


class CacheEvents(Struct, frozen=True):
    """Response to ``GET /wigeonspan/cache-events``; ``seq`` may skip numbers."""

    incarnation: str
    events: list[CacheEvent]


class EngineState(Struct, frozen=True):
    """Response to ``GET /wigeonspan/state`` and to an order.

    Parameters
    ----------
    busy_order : str
        Identifier of the order in progress; empty when there is none.
    last_order : str
        Identifier of the last order that was completed.
    urgent, batch : int
        Number of requests that run or wait on the engine, from all callers.
    """

    engine: EngineId
    incarnation: str
    role: Role
    model: ModelName | None
    model_version: str | None
    adapters: tuple[str, ...]
    busy_order: str
    last_order: str
    urgent: Count
    batch: Count


class OrderAction(Enum):
    """Actions that an order can request."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_ROLE = "change_role"
    WITHDRAW = "withdraw"


class OrderRequest(Struct, frozen=True, omit_defaults=True):
    """Body of ``POST /wigeonspan/order``.

    Parameters
    ----------
    fence : int or None
        Fencing token; it never decreases.
    """

    order_id: str
    action: OrderAction
    fence: int | None = None
    model: ModelName | None = None
    model_version: str | None = None
    adapter: str | None = None
    role: Role | None = None


class CancelRequest(Struct, frozen=True):
    """Body of ``POST /wigeonspan/cancel``."""

    attempt: AttemptId


class PriorityRequest(Struct, frozen=True):
    """Body of ``POST /wigeonspan/priority``."""

    attempt: AttemptId
    priority: PriorityClass


class KvExportRequest(Struct, frozen=True):
    """Body of ``POST /wigeonspan/kv/export``."""

    attempt: AttemptId


class KvHandle(Struct, frozen=True):
    """Response to an export or import of a KV cache.

    Parameters
    ----------
    handle : str
        Name of the KV cache on the engine that responded.
    tokens : int
        Number of tokens in the KV cache.
    """

    handle: str
    tokens: Count


class KvImportRequest(Struct, frozen=True):
    """Body of ``POST /wigeonspan/kv/import``: fetch a KV cache from ``source``."""

    source: str
    handle: str
