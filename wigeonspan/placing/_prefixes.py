"""Estimate of which prompt parts an engine still holds."""

from collections import OrderedDict
from collections.abc import Iterable

from wigeonspan.placing._messages import PromptPart
from wigeonspan.targets import TargetId

PARTS_PER_TARGET = 4000
"""Parts remembered for an engine; at 100 bytes each under half a megabyte."""

HOLD_SHARE = 0.75
"""Share of an engine's memory that is taken to hold finished parts; requests under way
need the rest."""


class _Held:
    def __init__(self) -> None:
        self.parts: OrderedDict[str, float] = OrderedDict()
        self.tokens_read = 0.0


class PrefixBook:
    """Parts by engine, each with the tokens that were read there before it.

    An engine drops the parts that were used longest ago, so a part is still there
    when fewer tokens than its memory holds were read since the part's last use.

    Parameters
    ----------
    memory_tokens : float
        Tokens that an engine's memory holds.
    """

    def __init__(self, memory_tokens: float) -> None:
        self._memory_tokens = memory_tokens
        self._held: dict[TargetId, _Held] = {}

    def set_memory(self, tokens: float) -> None:
        """Note the memory of the engines, from the configuration."""
        self._memory_tokens = tokens

    def note(
        self, target: TargetId, parts: Iterable[PromptPart], new_tokens: float
    ) -> None:
        """Note that an engine reads a prompt of which some tokens are new to it."""
        held = self._held.setdefault(target, _Held())
        held.tokens_read += new_tokens
        for part in parts:
            held.parts[part.part] = held.tokens_read
            held.parts.move_to_end(part.part)
        while len(held.parts) > PARTS_PER_TARGET:
            held.parts.popitem(last=False)

    def cached_tokens(self, target: TargetId, parts: Iterable[PromptPart]) -> int:
        """Return how many tokens of a prompt's beginning an engine holds."""
        held = self._held.get(target)
        if held is None:
            return 0
        oldest = held.tokens_read - self._memory_tokens * HOLD_SHARE
        tokens = 0
        for part in parts:
            if held.parts.get(part.part, oldest - 1.0) < oldest:
                break
            tokens += part.tokens
        return tokens

    def forget(self, target: TargetId) -> None:
        """Forget an engine that has restarted or is gone."""
        self._held.pop(target, None)
