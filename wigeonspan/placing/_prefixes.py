"""Estimate of which prompt parts are still in the cache of each engine."""

from collections import OrderedDict
from collections.abc import Container, Iterable

from wigeonspan.placing._messages import PromptPart
from wigeonspan.targets import TargetId

MAX_PARTS_PER_TARGET = 4000
"""Maximum number of parts tracked for an engine; at 100 bytes each, they take less than
half a megabyte."""

CACHE_SHARE = 0.75
"""Share of an engine's memory that is assumed to cache finished parts; requests in
progress need the rest."""


MAX_PENDING = 4096
"""Maximum number of tracked prompts in progress; the oldest are removed first. The
limit is reached only when messages about their ends were lost."""


class _EngineCache:
    def __init__(self) -> None:
        self.parts: OrderedDict[str, float] = OrderedDict()
        # Parts of completed work, which other engines can copy.
        self.ready: set[str] = set()
        self.total_new_tokens = 0.0

    def drop(self, part: str) -> None:
        self.parts.pop(part, None)
        self.ready.discard(part)


class CachedPrefixes:
    """Estimate the cached prompt parts of each engine.

    Engines evict the least recently used parts. A part is therefore taken to be cached
    when the engine has processed fewer new tokens since its last use than fit into
    the cache. Each part is stored with the engine's total of new tokens at its last
    use.

    Parameters
    ----------
    memory_tokens : float
        Tokens that fit into an engine's memory.
    """

    def __init__(self, memory_tokens: float) -> None:
        self._memory_tokens = memory_tokens
        self._caches: dict[TargetId, _EngineCache] = {}
        self._pending: OrderedDict[str, tuple[TargetId, tuple[str, ...]]] = (
            OrderedDict()
        )

    def set_memory(self, tokens: float) -> None:
        """Set the memory of the engines in tokens, from the configuration."""
        self._memory_tokens = tokens

    def begin(
        self,
        work: str,
        target: TargetId,
        parts: Iterable[PromptPart],
        new_tokens: float,
    ) -> None:
        """Record that a prompt was sent to an engine, which prefills or fetches it.

        Its parts count as cached for later prompts at the same engine at once. Other
        engines can copy them only when the work is complete.

        Parameters
        ----------
        work : str
            Identifier of the work, to be passed to ``end``.
        new_tokens : float
            Tokens of the prompt that the engine has not cached.
        """
        cache = self._caches.get(target)
        if cache is None:
            cache = self._caches[target] = _EngineCache()
        cache.total_new_tokens += new_tokens
        names = tuple([part.part for part in parts])
        cached, total_new_tokens = cache.parts, cache.total_new_tokens
        for name in names:
            cached[name] = total_new_tokens
            cached.move_to_end(name)
        while len(cached) > MAX_PARTS_PER_TARGET:
            cache.drop(next(iter(cache.parts)))
        self._pending[work] = (target, names)
        if len(self._pending) > MAX_PENDING:
            self._pending.popitem(last=False)

    def end(self, work: str, *, completed: bool) -> None:
        """Record that work on a prompt was completed or aborted."""
        target, names = self._pending.pop(work, (None, ()))
        cache = self._caches.get(target) if target is not None else None
        if cache is None:
            return
        if completed:
            cache.ready.update([name for name in names if name in cache.parts])
            return
        for name in names:
            if name not in cache.ready:
                cache.drop(name)

    def cached_tokens(self, target: TargetId, parts: Iterable[PromptPart]) -> int:
        """Return how many leading tokens will be cached when the prefill starts."""
        cache = self._caches.get(target)
        return (
            0
            if cache is None
            else self._cached_prefix_tokens(cache, parts, cache.parts)
        )

    def ready_tokens(self, target: TargetId, parts: Iterable[PromptPart]) -> int:
        """Return the number of leading tokens that can be copied from an engine now."""
        cache = self._caches.get(target)
        return (
            0
            if cache is None
            else self._cached_prefix_tokens(cache, parts, cache.ready)
        )

    def _cached_prefix_tokens(
        self, cache: _EngineCache, parts: Iterable[PromptPart], among: Container[str]
    ) -> int:
        oldest = cache.total_new_tokens - self._memory_tokens * CACHE_SHARE
        tokens = 0
        for part in parts:
            last_use = cache.parts.get(part.part, oldest - 1.0)
            if last_use < oldest or part.part not in among:
                break
            tokens += part.tokens
        return tokens

    def forget(self, target: TargetId) -> None:
        """Remove an engine that has restarted or is gone."""
        self._caches.pop(target, None)
