"""Requests to place and the decisions on them."""

from enum import Enum

from msgspec import Struct

from wigeonspan.placing._readings import Reading
from wigeonspan.targets import Target


class PromptPart(Struct, frozen=True, array_like=True):
    """A part of a prompt; requests that share it name it alike."""

    part: str
    tokens: int


class Prompt(Struct, frozen=True):
    """Size of a generation.

    Parameters
    ----------
    parts : tuple of PromptPart
        Parts in order; the last one belongs to the request or its session.
    input_tokens : int
        Tokens of the whole prompt.
    output_tokens : int
        Largest number of tokens of the answer.
    body_bytes : int
        Size of the request's body.
    """

    parts: tuple[PromptPart, ...]
    input_tokens: int
    output_tokens: int
    body_bytes: int = 0

    @property
    def total_tokens(self) -> int:
        """Tokens to read when nothing is held; the parts may name more than the sum."""
        return max(1, self.input_tokens, sum(part.tokens for part in self.parts))


class Decision(Enum):
    """How a generation is served."""

    SPLIT = "split"
    DIRECT = "direct"


class Plan(Struct, frozen=True):
    """Where a generation runs.

    Parameters
    ----------
    prefill : Target or None
        Engine that reads the prompt; None when the decode engine reads it itself.
    decode : Target
        Engine that produces the answer.
    work_ms : float
        Time that reading the prompt takes at an engine of nominal speed.
    cost_ms : float
        Time that reading the prompt takes at the chosen engine.
    wait_ms : float
        Time until reading begins.
    first_ms : float
        Expected time until the first event.
    urgency : int
        Rank at the engines; 0 is first.
    reading : Reading
        What the engine that reads the prompt reads and copies.
    """

    decision: Decision
    prefill: Target | None
    decode: Target
    work_ms: float
    cost_ms: float
    wait_ms: float
    first_ms: float
    urgency: int
    reading: Reading


class Limit(Enum):
    """What a refused generation ran into."""

    NO_ENGINE = "no_engine"
    TIME = "time"
    QUEUE = "queue"


class Refusal(Struct, frozen=True):
    """Why a generation is refused, and when to come back.

    Parameters
    ----------
    limit : Limit
        What it ran into, for counters.
    reason : str
        What was known, for the log.
    retry_after_s : float
        Seconds until it is expected to be served.
    """

    limit: Limit
    reason: str
    retry_after_s: float
