"""Settings and message types of routing."""

from enum import Enum

from msgspec import Struct

from wigeonspan.catalog import PriorityClass
from wigeonspan.common import DomainName, EngineId, ModelName, ServiceName


class RoutingSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the router.

    Parameters
    ----------
    sample_size : int
        Number of engines of a role that one choice compares. It bounds the cost of a
        choice in a large fleet.
    spread_s : float
        Difference of expected completion times in seconds within which the choice is
        random, so that entries with the same load report pick different engines.
    cross_domain_s : float
        Seconds added to the expected time of an engine outside the entry's failure
        domain.
    kv_transfer_tokens_per_s : float
        Rate at which the KV cache is copied from a prefill to a decode engine.
    default_prefill_tokens_per_s, default_decode_tokens_per_s : float
        Rates assumed while those of an engine are unknown. The decode rate is that of
        one request.
    default_batch_limit : int
        Batch limit assumed for an engine that has not reported one.
    slot_factor : float
        Maximum number of requests that all entries together run at once, as a multiple
        of the engines' batch places.
    target_wait_s : float
        Mean wait on the engines that keeps them busy. Further requests wait on the
        entries, where their order can still be changed.
    failures_to_eject : int
        Number of consecutive failures after which an engine is ejected.
    outlier_factor : float
        An engine is ejected if its latency exceeds the median of its peers by this
        factor.
    outlier_answers : int
        Number of responses after which the latency of an engine is compared.
    eject_s : float
        Seconds until an ejected engine is probed; doubled for each earlier ejection
        or failed probe, to at most 32 times the value.
    max_ejected_share : float
        Maximum share of a service's engines that are ejected at the same time.
    cache_prefixes : int
        Maximum number of prefixes remembered for one engine.
    cache_half_life_s : float
        Seconds after which the confidence in an unconfirmed prefix has halved.
    """

    sample_size: int = 12
    spread_s: float = 0.2
    cross_domain_s: float = 0.002
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
    max_ejected_share: float = 0.34
    cache_prefixes: int = 4_000
    cache_half_life_s: float = 300.0


class PromptPrefix(Struct, frozen=True):
    """Hash of the first ``tokens`` tokens of a prompt, as in ``CacheEvent``."""

    prefix: str
    tokens: int


class RouteRequest(Struct, frozen=True):
    """Properties of a request on which the choice of an engine depends.

    Parameters
    ----------
    output_tokens : int
        Expected number of output tokens, without those before ``resume_position``.
    deadline : float
        Monotonic time in seconds.
    prefixes : tuple of PromptPrefix
        Prefixes of the prompt that an engine may have cached, shortest first.
    resume_position : int
        Number of output tokens that the caller already has; they are prefilled too.
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


class EngineRoute(Struct, frozen=True):
    """Chosen engines and the expected times of the request on them.

    Parameters
    ----------
    engine : EngineId
        Engine that generates the output.
    address : str
        Address of ``engine``.
    prefill_engine : EngineId or None
        Engine that runs the prompt first; None if ``engine`` does.
    prefill_address : str
        Address of ``prefill_engine``; empty if there is none.
    first_token_s, completion_s : float
        Expected seconds from the choice until the first and the last output token.
    engine_time_s : float
        Engine time in seconds that the request takes; a measure of its cost to other
        requests.
    """

    engine: EngineId
    address: str
    prefill_engine: EngineId | None
    prefill_address: str
    first_token_s: float
    completion_s: float
    engine_time_s: float


class AttemptResult(Enum):
    """Result of an attempt with regard to its engine."""

    OK = "ok"
    FAILED = "failed"
    CANCELLED = "cancelled"


class AttemptEnd(Struct, frozen=True):
    """End of an attempt.

    Parameters
    ----------
    result : AttemptResult
        ``CANCELLED`` does not affect the engine's health.
    """

    result: AttemptResult
