"""What an engine reads of a prompt, what it copies before, and what both take."""

import random
from collections.abc import Mapping, Sequence

from msgspec import Struct

from wigeonspan.targets import Target, TargetId

READ_TOKENS_PER_MS = 50.0
"""Tokens that an engine of nominal speed reads in a millisecond."""

PAIR_MS = 0.2e-6
"""Milliseconds for each pair of a new token and a token before it."""

READ_FIXED_MS = 17.0
"""Milliseconds that reading any prompt takes."""

LEAST_TOKENS = 384
"""Tokens from which a copy is worth its set-up at both engines; engines read that many
in a few milliseconds."""

FIXED_MS = 12.0
"""Milliseconds that any copy takes: the set-up and usually another copy before it."""

FAR = 2.0
"""Factor on the time of a copy from another failure domain."""


class Reading(Struct, frozen=True):
    """How an engine obtains a prompt.

    Parameters
    ----------
    read_tokens : int
        Tokens that it reads.
    copied_tokens : int
        Tokens that it copies from the source first.
    source : Target or None
        Engine that it copies from; None when it does not.
    copy_ms : float
        Time that the copy takes in milliseconds.
    """

    read_tokens: int
    copied_tokens: int = 0
    source: Target | None = None
    copy_ms: float = 0.0

    @property
    def new_tokens(self) -> int:
        """Tokens that the engine did not hold before."""
        return self.read_tokens + self.copied_tokens

    @property
    def alone(self) -> "Reading":
        """The same without a copy."""
        return Reading(self.new_tokens)

    def work_ms(self, total_tokens: int) -> float:
        """Return the time that an engine of nominal speed needs to read.

        Parameters
        ----------
        total_tokens : int
            Tokens of the whole prompt; new ones attend to all before them.
        """
        read = self.read_tokens
        return READ_FIXED_MS + read / READ_TOKENS_PER_MS + PAIR_MS * read * total_tokens


def plan_readings(
    engines: Sequence[Target],
    held: Mapping[TargetId, int],
    ready: Mapping[TargetId, int],
    sources: Sequence[Target],
    total_tokens: int,
    copy_us: float,
    rng: random.Random,
) -> dict[TargetId, Reading]:
    """Return how each engine would obtain a prompt.

    Answers bursts of requests with the same beginning: the engine that holds it is
    busy, and reading it again elsewhere takes engine time from others.

    Parameters
    ----------
    engines : sequence of Target
        Engines that may read the prompt.
    held : mapping
        Tokens of the prompt's beginning that each engine holds when it comes to it.
    ready : mapping
        Tokens of it that can be copied from each source now. One that is still
        reading them has nothing to copy, and the copy would be read again.
    sources : sequence of Target
        Engines that may be copied from.
    total_tokens : int
        Tokens of the prompt.
    copy_us : float
        Microseconds for a token within a failure domain; 0 when engines cannot copy.
    rng : random.Random
        Spreads copies over sources that hold as much.
    """
    most = max((ready[s.target] for s in sources), default=0)
    best = [s for s in sources if ready[s.target] == most] if copy_us > 0.0 else []

    def reading(engine: Target) -> Reading:
        own = held[engine.target]
        alone = Reading(max(1, total_tokens - own))
        copied = min(most, total_tokens - 1) - own
        if not best or copied < LEAST_TOKENS:
            return alone
        near = [s for s in best if s.domain == engine.domain]
        source = rng.choice(near or best)
        far = 1.0 if near else FAR
        copy_ms = FIXED_MS + copied * copy_us * far / 1000.0
        return Reading(total_tokens - own - copied, copied, source, copy_ms)

    return {engine.target: reading(engine) for engine in engines}
