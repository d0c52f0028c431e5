"""Generation requests, and the placement decisions for them."""

from enum import Enum
from typing import Annotated

from msgspec import Meta, Struct

from wigeonspan.placing._priority import SOLE_BAND, PriorityBand
from wigeonspan.placing._readings import PrefillSteps
from wigeonspan.targets import Target


class PromptPart(Struct, frozen=True, array_like=True):
    """Part of a prompt.

    Requests that share a part use the same identifier for it.
    """

    part: str
    tokens: Annotated[int, Meta(ge=0, le=10**9)]


class Prompt(Struct, frozen=True):
    """Prompt and output sizes of a generation.

    Parameters
    ----------
    parts : tuple of PromptPart
        Parts in order; the last one is specific to the request or its session.
    input_tokens : int
        Tokens of the complete prompt.
    output_tokens : int
        Maximum number of tokens of the answer.
    body_bytes : int
        Size of the request body.
    output_hint : int or None
        The caller's estimate of the tokens of the answer; None when there is none.
    """

    parts: tuple[PromptPart, ...]
    input_tokens: int
    output_tokens: int
    body_bytes: int = 0
    output_hint: int | None = None

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Parts that other requests may have as well: all but the last one."""
        return self.parts[:-1]

    @property
    def total_tokens(self) -> int:
        """Tokens to process when nothing is cached.

        The parts may add up to more than ``input_tokens``; the larger number is used.
        """
        return max(1, self.input_tokens, sum(part.tokens for part in self.parts))


class Decision(Enum):
    """Whether prefill and decode run on separate engines or on the same one."""

    SPLIT = "split"
    DIRECT = "direct"


class Plan(Struct, frozen=True):
    """Where a generation runs.

    Parameters
    ----------
    prefill : Target or None
        Engine for prefill; None when the decode engine does it itself.
    decode : Target
        Engine that generates the answer.
    work_ms : float
        Prefill time in milliseconds on an engine of nominal speed.
    cost_ms : float
        Expected time in milliseconds for copy and prefill on the chosen engine.
    wait_ms : float
        Expected time in milliseconds until the engine starts the prefill.
    slot_wait_ms : float
        Expected time in milliseconds until a decode engine has a slot and the memory
        for the stream.
    first_ms : float
        Expected time in milliseconds until the first event of the stream.
    urgency : int
        Scheduling rank at the engines; 0 goes first.
    prefill_steps : PrefillSteps
        Tokens that the engine prefills itself, and those that it copies from another.
    band : PriorityBand
        Ranks of the request's priority.
    over_share : bool
        Whether the request gives way to those of other tenants.
    memory_wait_ms : float
        Expected time in milliseconds until a decode engine has the memory.
    """

    decision: Decision
    prefill: Target | None
    decode: Target
    work_ms: float
    cost_ms: float
    wait_ms: float
    slot_wait_ms: float
    first_ms: float
    urgency: int
    prefill_steps: PrefillSteps
    band: PriorityBand = SOLE_BAND
    over_share: bool = False
    memory_wait_ms: float = 0.0

    @property
    def awaits_slot(self) -> bool:
        """Whether the stream will wait longer for its slot than for its prefill."""
        return self.slot_wait_ms > self.wait_ms + self.cost_ms

    @property
    def awaits_memory(self) -> bool:
        """Whether the stream will wait longest for the memory of an engine."""
        return self.awaits_slot and self.memory_wait_ms >= self.slot_wait_ms


class Limit(Enum):
    """Limit that caused a refusal."""

    NO_ENGINE = "no_engine"
    TIME = "time"
    QUEUE = "queue"
    PRIORITY = "priority"
    SLOTS = "slots"
    MEMORY = "memory"
    RATE = "rate"
    QUARANTINE = "quarantine"


class Refusal(Struct, frozen=True):
    """Reason for a refusal, and the time after which to retry.

    Parameters
    ----------
    limit : Limit
        Limit that caused the refusal, for counters.
    reason : str
        Details for the log.
    retry_after_s : float
        Seconds after which a retry is expected to be served.
    work_ms : float
        Prefill time in milliseconds that the request would have taken; 0 if unknown.
    """

    limit: Limit
    reason: str
    retry_after_s: float
    work_ms: float = 0.0

    @property
    def lacks_decode(self) -> bool:
        """Whether more decode engines would have served the request."""
        return self.limit in (Limit.SLOTS, Limit.MEMORY, Limit.RATE)
