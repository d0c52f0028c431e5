"""Settings and messages of routing."""

from enum import Enum

from msgspec import Struct

from wigeonspan.catalog import PriorityClass
from wigeonspan.common import DomainName, EngineId, ModelName, ServiceName


class RoutingSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the router.

    Parameters
    ----------
    sample : int
        Engines that one choice compares; it bounds the cost in a large fleet.
    spread_s : float
        Difference of expected completion in seconds within which the choice is
        random, so that entries with the same report do not pick the same engine.
    other_domain_s : float
        Seconds added to an engine outside the entry's failure domain.
    kv_transfer_tokens_per_s : float
        Rate at which KV cache moves from a prefill to a decode engine.
    default_prefill_tokens_per_s, default_decode_tokens_per_s : float
        Rates of an engine that has reported none. The decode rate is that of one
        request.
    default_batch_limit : int
        Batch of an engine that has reported none.
    slot_factor : float
        Largest number of requests that entries together run at once, as a multiple of
        the engines' batch places.
    target_wait_s : float
        Mean queue on the engines that keeps them busy. What exceeds it waits on the
        entries, where its turn can still be chosen.
    failures_to_eject : int
        Consecutive failures that eject an engine.
    outlier_factor : float
        An engine slower than its peers' median by this factor is ejected.
    outlier_answers : int
        Answers that an engine must have given before its latency is judged.
    eject_s : float
        Seconds until an ejected engine is probed; doubled for each return that
        failed.
    max_out_share : float
        Largest share of a service's engines that is ejected at once.
    cache_prefixes : int
        Prefixes remembered for one engine.
    cache_half_life_s : float
        Time after which an unconfirmed prefix counts half.
    """

    sample: int = 12
    spread_s: float = 0.2
    other_domain_s: float = 0.002
    kv_transfer_tokens_per_s: float = 200_000.0
    default_prefill_tokens_per_s: float = 5_000.0
    default_decode_tokens_per_s: float = 30.0
    default_batch_limit: int = 16
    slot_factor: float = 1.25
    target_wait_s: float = 1.5
    failures_to_eject: int = 3
    outlier_factor: float = 4.0
    outlier_answers: int = 8
    eject_s: float = 5.0
    max_out_share: float = 0.34
    cache_prefixes: int = 4_000
    cache_half_life_s: float = 300.0


class PromptPrefix(Struct, frozen=True):
    """Hash of the first ``tokens`` tokens of a prompt, as in ``CacheEvent``."""

    prefix: str
    tokens: int


class RouteRequest(Struct, frozen=True):
    """What a choice depends on.

    Parameters
    ----------
    output_tokens : int
        Output tokens that are expected, without those before ``resume_position``.
    deadline : float
        Monotonic time in seconds.
    prefixes : tuple of PromptPrefix
        Prefixes of the prompt that an engine may hold, shortest first.
    resume_position : int
        Output tokens that the caller already has; they are prefilled as well.
    excluded : frozenset of EngineId
        Engines that already failed for this request.
    domain : DomainName or None
        Failure domain of the entry.
    """

    service: ServiceName
    model: ModelName
    model_version: str
    priority: PriorityClass
    prompt_tokens: int
    output_tokens: int
    deadline: float
    adapters: tuple[str, ...] = ()
    prefixes: tuple[PromptPrefix, ...] = ()
    resume_position: int = 0
    excluded: frozenset[EngineId] = frozenset()
    domain: DomainName | None = None


class Route(Struct, frozen=True):
    """Chosen engines and the times that are expected of them.

    Parameters
    ----------
    engine : EngineId
        Engine that answers.
    address : str
        Its address.
    prefill_engine : EngineId or None
        Engine that runs the prompt first; None when ``engine`` does it.
    prefill_address : str
        Its address; empty when there is none.
    first_token_s, completion_s : float
        Seconds from now until the first token and the last.
    work_s : float
        Engine time that the request takes; a measure of its cost to others.
    """

    engine: EngineId
    address: str
    prefill_engine: EngineId | None
    prefill_address: str
    first_token_s: float
    completion_s: float
    work_s: float


class AttemptResult(Enum):
    """How an attempt ended, as far as its engine is concerned."""

    OK = "ok"
    FAILED = "failed"
    CANCELLED = "cancelled"


class AttemptEnd(Struct, frozen=True):
    """End of an attempt.

    Parameters
    ----------
    result : AttemptResult
        ``CANCELLED`` says nothing about the engine's health.
    """

    result: AttemptResult
