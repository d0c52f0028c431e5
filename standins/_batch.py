"""Continuous batching of the stand-in engine."""

import asyncio
import itertools
from collections.abc import Callable

from msgspec import Struct

from standins._cache import PrefixCache
from standins._text import answer_token, tokens_of
from wigeonspan.catalog import URGENT_CLASSES, PriorityClass
from wigeonspan.common import AttemptId
from wigeonspan.engines import RunPhase

_RANK = {PriorityClass.DESK: 0, PriorityClass.QUOTE: 1, PriorityClass.BATCH: 2}

_KEPT_CONTEXTS = 1000
"""KV caches of ended attempts that can still be exported."""


class Token(Struct, frozen=True):
    """One token of an answer."""

    position: int
    text: str


class Finished(Struct, frozen=True):
    """End of an answer; ``completion_tokens`` counts resumed tokens as well."""

    completion_tokens: int


class Cut(Struct, frozen=True):
    """End of a run before its answer was whole."""

    reason: str


class Run:
    """One request on the engine.

    Parameters
    ----------
    attempt : AttemptId
        Identifier of the attempt.
    prompt : str
        Whole prompt.
    start, end : int
        First position to produce, and the length of the whole answer.
    """

    def __init__(
        self,
        attempt: AttemptId,
        priority: PriorityClass,
        prompt: str,
        start: int,
        end: int,
        phase: RunPhase,
        covered_tokens: int,
    ) -> None:
        self.attempt = attempt
        self.priority = priority
        self.prompt = prompt
        self.tokens = tokens_of(prompt)
        self.position = start
        self.end = start if phase is RunPhase.PREFILL else max(start, end)
        self.resumed_tokens = start
        self.covered_tokens = covered_tokens
        self.number = 0
        self.prefilled = False
        self.events: asyncio.Queue[Token | Finished | Cut] = asyncio.Queue()

    @property
    def is_urgent(self) -> bool:
        """Whether a planned change must not cut it."""
        return self.priority in URGENT_CLASSES

    @property
    def order(self) -> tuple[int, int]:
        """Sort key: class, then arrival."""
        return (_RANK[self.priority], self.number)


class Batch:
    """Runs that wait, prefill and decode.

    Parameters
    ----------
    limit : int
        Largest number of runs at once.
    prefill_tokens_per_s : float
        Rate of prompt tokens; prompts are processed one after the other.
    decode_tokens_per_s : float
        Largest rate of output tokens over all runs.
    token_interval_s : float
        Shortest time between two tokens of one run.
    cache : PrefixCache
        Cache that shortens prefill.
    now : callable
        Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        limit: int,
        prefill_tokens_per_s: float,
        decode_tokens_per_s: float,
        token_interval_s: float,
        cache: PrefixCache,
        now: Callable[[], float],
    ) -> None:
        self._limit = limit
        self._prefill_rate = prefill_tokens_per_s
        self._decode_rate = decode_tokens_per_s
        self._interval_s = token_interval_s
        self._cache = cache
        self._now = now
        self._numbers = itertools.count(1)
        self._waiting: list[Run] = []
        self._running: list[Run] = []
        self._changed = asyncio.Event()
        self._finished_contexts: dict[AttemptId, int] = {}

    @property
    def limit(self) -> int:
        """Largest number of runs at once."""
        return self._limit

    @property
    def running(self) -> int:
        """Runs in the batch."""
        return len(self._running)

    @property
    def runs(self) -> list[Run]:
        """All runs, waiting ones included."""
        return self._waiting + self._running

    @property
    def queued_prefill_tokens(self) -> int:
        """Prompt tokens that are not prefilled."""
        return sum(len(run.tokens) for run in self.runs if not run.prefilled)

    @property
    def pieces_in_use(self) -> int:
        """Pieces of KV memory that runs take."""
        tokens = (len(run.tokens) + run.position for run in self._running)
        return sum(self._cache.pieces_of(count) for count in tokens)

    def context_tokens(self, attempt: AttemptId) -> int | None:
        """Return the tokens of an attempt's KV cache, or None when it is unknown."""
        for run in self._running:
            if run.attempt == attempt and run.prefilled:
                return len(run.tokens) + run.position
        return self._finished_contexts.get(attempt)

    def add(self, run: Run) -> None:
        """Queue a run."""
        run.number = next(self._numbers)
        self._waiting.append(run)
        self._changed.set()

    def find(self, attempt: AttemptId) -> Run | None:
        """Return the run of an attempt, or None."""
        return next((run for run in self.runs if run.attempt == attempt), None)

    def cut(self, run: Run, reason: str) -> None:
        """End a run before its answer is whole."""
        if run in self._waiting:
            self._waiting.remove(run)
        if run in self._running:
            self._running.remove(run)
        run.events.put_nowait(Cut(reason))
        self._changed.set()

    def clear(self, reason: str) -> None:
        """Cut all runs and forget their KV caches."""
        for run in self.runs:
            self.cut(run, reason)
        self._finished_contexts.clear()

    async def prefill_loop(self) -> None:
        """Admit runs by priority and prefill them one after the other."""
        while True:
            self._admit()
            pending = [run for run in self._running if not run.prefilled]
            if not pending:
                self._changed.clear()
                await self._changed.wait()
                continue
            run = min(pending, key=lambda r: r.order)
            cached = self._cache.cached_tokens(run.tokens)
            known = max(cached, run.covered_tokens)
            tokens = max(0, len(run.tokens) + run.resumed_tokens - known)
            await asyncio.sleep(tokens / self._prefill_rate)
            self._cache.store(run.tokens, self._now())
            run.prefilled = True
            self._changed.set()

    async def decode_loop(self) -> None:
        """Produce one token of each prefilled run per step."""
        while True:
            ready = [run for run in self._running if run.prefilled]
            if not ready:
                self._changed.clear()
                await self._changed.wait()
                await asyncio.sleep(0)
                continue
            step_s = max(self._interval_s, len(ready) / self._decode_rate)
            await asyncio.sleep(step_s)
            for run in ready:
                if run in self._running:
                    self._step(run)

    def _admit(self) -> None:
        self._waiting.sort(key=lambda run: run.order)
        while self._waiting and len(self._running) < self._limit:
            self._running.append(self._waiting.pop(0))

    def _step(self, run: Run) -> None:
        if run.position < run.end:
            text = answer_token(run.prompt, run.position)
            run.events.put_nowait(Token(run.position, text))
            run.position += 1
        if run.position >= run.end:
            self._running.remove(run)
            self._keep_context(run)
            run.events.put_nowait(Finished(run.position))
            self._changed.set()

    def _keep_context(self, run: Run) -> None:
        self._finished_contexts[run.attempt] = len(run.tokens) + run.position
        while len(self._finished_contexts) > _KEPT_CONTEXTS:
            del self._finished_contexts[next(iter(self._finished_contexts))]
