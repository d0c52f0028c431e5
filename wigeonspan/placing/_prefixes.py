"""Estimate of which prompt parts an engine still holds."""

from collections import OrderedDict
from collections.abc import Container, Iterable

from wigeonspan.placing._messages import PromptPart
from wigeonspan.targets import TargetId

PARTS_PER_TARGET = 4000
"""Parts remembered for an engine; at 100 bytes each under half a megabyte."""

HOLD_SHARE = 0.75
"""Share of an engine's memory that is taken to hold finished parts; requests under way
need the rest."""


MOST_PENDING = 4096
"""Prompts under way that are remembered; the oldest go first. More come only from news
of their ends that was lost."""


class _Held:
    def __init__(self) -> None:
        self.parts: OrderedDict[str, float] = OrderedDict()
        # Parts that were read to the end, so that other engines can copy them.
        self.ready: set[str] = set()
        self.tokens_read = 0.0

    def drop(self, part: str) -> None:
        self.parts.pop(part, None)
        self.ready.discard(part)


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
        self._pending: OrderedDict[str, tuple[TargetId, tuple[str, ...]]] = (
            OrderedDict()
        )

    def set_memory(self, tokens: float) -> None:
        """Note the memory of the engines, from the configuration."""
        self._memory_tokens = tokens

    def begin(
        self,
        work: str,
        target: TargetId,
        parts: Iterable[PromptPart],
        new_tokens: float,
    ) -> None:
        """Note that an engine is to read a prompt of which some tokens are new to it.

        What is sent there later finds the prompt read; until then it cannot be copied.

        Parameters
        ----------
        work : str
            Name under which the end of the reading will be told.
        """
        held = self._held.setdefault(target, _Held())
        held.tokens_read += new_tokens
        names = tuple(part.part for part in parts)
        for name in names:
            held.parts[name] = held.tokens_read
            held.parts.move_to_end(name)
        while len(held.parts) > PARTS_PER_TARGET:
            held.drop(next(iter(held.parts)))
        self._pending[work] = (target, names)
        if len(self._pending) > MOST_PENDING:
            self._pending.popitem(last=False)

    def end(self, work: str, *, completed: bool) -> None:
        """Note that a prompt was read to the end, or that its reading broke off."""
        target, names = self._pending.pop(work, (None, ()))
        held = self._held.get(target) if target is not None else None
        if held is None:
            return
        for name in names:
            if completed and name in held.parts:
                held.ready.add(name)
            elif not completed and name not in held.ready:
                held.drop(name)

    def cached_tokens(self, target: TargetId, parts: Iterable[PromptPart]) -> int:
        """Return how many tokens of a prompt an engine holds when it comes to it."""
        held = self._held.get(target)
        return 0 if held is None else self._beginning(held, parts, held.parts)

    def ready_tokens(self, target: TargetId, parts: Iterable[PromptPart]) -> int:
        """Return how many tokens of a prompt can be copied from an engine now."""
        held = self._held.get(target)
        return 0 if held is None else self._beginning(held, parts, held.ready)

    def _beginning(
        self, held: _Held, parts: Iterable[PromptPart], among: Container[str]
    ) -> int:
        oldest = held.tokens_read - self._memory_tokens * HOLD_SHARE
        tokens = 0
        for part in parts:
            last_use = held.parts.get(part.part, oldest - 1.0)
            if last_use < oldest or part.part not in among:
                break
            tokens += part.tokens
        return tokens

    def forget(self, target: TargetId) -> None:
        """Forget an engine that has restarted or is gone."""
        self._held.pop(target, None)
