"""Which part of a prompt an engine prefills, which it copies, and the time of both."""

import random
from collections.abc import Mapping, Sequence

from msgspec import Struct

from wigeonspan.targets import Target, TargetId

PREFILL_TOKENS_PER_MS = 50.0
"""Tokens that an engine of nominal speed prefills in a millisecond."""

ATTENTION_PAIR_MS = 0.2e-6
"""Attention time in milliseconds for each pair of a new token and a preceding one."""

PREFILL_FIXED_MS = 17.0
"""Fixed time of any prefill in milliseconds."""

MIN_COPY_TOKENS = 384
"""Minimum number of tokens for a copy. Engines prefill fewer in a few milliseconds,
which is less than the set-up of a copy costs both engines."""

COPY_FIXED_MS = 12.0
"""Fixed time of any copy in milliseconds: the set-up, and usually the wait for another
copy."""

CROSS_DOMAIN_FACTOR = 2.0
"""Factor on the per-token time of a copy from another failure domain."""


class PrefillSteps(Struct, frozen=True):
    """How an engine obtains the new tokens of a prompt: by a copy and by prefill.

    Parameters
    ----------
    prefilled_tokens : int
        Tokens that it prefills itself.
    copied_tokens : int
        Tokens that it copies from the source before the prefill.
    source : Target or None
        Engine that it copies from; None when it copies nothing.
    copy_ms : float
        Time of the copy in milliseconds.
    """

    prefilled_tokens: int
    copied_tokens: int = 0
    source: Target | None = None
    copy_ms: float = 0.0

    @property
    def new_tokens(self) -> int:
        """Tokens that the engine had not cached before."""
        return self.prefilled_tokens + self.copied_tokens

    @property
    def without_copy(self) -> "PrefillSteps":
        """The same prompt without a copy: all new tokens are prefilled."""
        return PrefillSteps(self.new_tokens)

    def work_ms(self, total_tokens: int) -> float:
        """Return the prefill time in milliseconds on an engine of nominal speed.

        Parameters
        ----------
        total_tokens : int
            Tokens of the complete prompt; new tokens attend to all preceding ones.
        """
        tokens = self.prefilled_tokens
        return (
            PREFILL_FIXED_MS
            + tokens / PREFILL_TOKENS_PER_MS
            + ATTENTION_PAIR_MS * tokens * total_tokens
        )


def plan_prefill_steps(
    engines: Sequence[Target],
    cached: Mapping[TargetId, int],
    ready: Mapping[TargetId, int],
    sources: Sequence[Target],
    total_tokens: int,
    copy_us: float,
    rng: random.Random,
) -> dict[TargetId, PrefillSteps]:
    """Return how each engine would obtain a prompt.

    Copies matter for bursts of requests with the same prefix: the engine that has it
    cached is busy, and repeating its prefill elsewhere takes engine time from others.

    Parameters
    ----------
    engines : sequence of Target
        Engines that may prefill the prompt.
    cached : mapping
        Leading tokens that will be cached at each engine when the prefill starts.
    ready : mapping
        Leading tokens that can be copied from each source now. A source that is still
        prefilling them has nothing to copy yet, so the tokens would be prefilled again.
    sources : sequence of Target
        Engines that may be copied from.
    total_tokens : int
        Tokens of the prompt.
    copy_us : float
        Copy time of a token within a failure domain in microseconds; 0 when engines
        cannot copy.
    rng : random.Random
        Chooses among equally good sources, so that copies are spread over them.
    """
    max_ready = max((ready[s.target] for s in sources), default=0)
    best = [s for s in sources if ready[s.target] == max_ready] if copy_us > 0.0 else []

    def steps(engine: Target) -> PrefillSteps:
        own = cached[engine.target]
        without_copy = PrefillSteps(max(1, total_tokens - own))
        copied = min(max_ready, total_tokens - 1) - own
        if not best or copied < MIN_COPY_TOKENS:
            return without_copy
        near = [s for s in best if s.domain == engine.domain]
        source = rng.choice(near or best)
        factor = 1.0 if near else CROSS_DOMAIN_FACTOR
        copy_ms = COPY_FIXED_MS + copied * copy_us * factor / 1000.0
        return PrefillSteps(total_tokens - own - copied, copied, source, copy_ms)

    return {engine.target: steps(engine) for engine in engines}
