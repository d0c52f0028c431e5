"""Simulated continuous batching of the stand-in engine."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable

from msgspec import Struct

from standins._cache import PrefixCache
from standins._text import answer_token, split_tokens
from wigeonspan.catalog import URGENT_CLASSES, PriorityClass
from wigeonspan.common import AttemptId
from wigeonspan.engines import RunPhase

_PRIORITY_RANK = {PriorityClass.DESK: 0, PriorityClass.QUOTE: 1, PriorityClass.BATCH: 2}

_MAX_FINISHED_CONTEXTS = 1000
"""Maximum number of finished attempts whose KV caches can still be exported."""


class Token(Struct, frozen=True):
    """Event: one generated token."""

    position: int
    text: str


class Finished(Struct, frozen=True):
    """Event: the completion is finished.

    ``completion_tokens`` includes the tokens before the resume position.
    """

    completion_tokens: int


class Aborted(Struct, frozen=True):
    """Event: the run ended before its completion was finished."""

    reason: str


class Run:
    """One completion request on the engine.

    Parameters
    ----------
    attempt : AttemptId
        Identifier of the attempt.
    priority : PriorityClass
        Priority class, which decides the order of admission and prefill.
    prompt : str
        Complete prompt.
    start, end : int
        First position to generate, and the length of the complete answer in tokens.
    phase : RunPhase
        A run of the phase ``PREFILL`` generates no tokens.
    kv_handle_tokens : int
        Tokens covered by the KV cache handle of the request; they need no prefill.
    """

    def __init__(
        self,
        attempt: AttemptId,
        priority: PriorityClass,
        prompt: str,
        start: int,
        end: int,
        phase: RunPhase,
        kv_handle_tokens: int,
    ) -> None:
        self.attempt = attempt
        self.priority = priority
        self.prompt = prompt
        self.tokens = split_tokens(prompt)
        self.position = start
        self.end = start if phase is RunPhase.PREFILL else max(start, end)
        self.resumed_tokens = start
        self.kv_handle_tokens = kv_handle_tokens
        self.arrival_number = 0
        self.prefilled = False
        self.events: asyncio.Queue[Token | Finished | Aborted] = asyncio.Queue()

    @property
    def is_urgent(self) -> bool:
        """Whether a planned change must not interrupt the run."""
        return self.priority in URGENT_CLASSES

    @property
    def sort_key(self) -> tuple[int, int]:
        """Sort key: priority class, then order of arrival."""
        return (_PRIORITY_RANK[self.priority], self.arrival_number)


class Batch:
    """Waiting and running requests of the engine.

    Parameters
    ----------
    limit : int
        Maximum number of concurrent runs.
    prefill_tokens_per_s : float
        Prefill rate; prompts are processed one after the other.
    decode_tokens_per_s : float
        Maximum rate of generated tokens over all runs.
    token_interval_s : float
        Minimum time between two tokens of one run.
    cache : PrefixCache
        Prefix cache; cached tokens need no prefill.
    now : callable
        Returns the monotonic time in seconds.
    wait_while_silent : callable
        Waits while the engine does no work.
    """

    def __init__(
        self,
        limit: int,
        prefill_tokens_per_s: float,
        decode_tokens_per_s: float,
        token_interval_s: float,
        cache: PrefixCache,
        now: Callable[[], float],
        wait_while_silent: Callable[[], Awaitable[None]],
    ) -> None:
        self._limit = limit
        self._prefill_rate = prefill_tokens_per_s
        self._decode_rate = decode_tokens_per_s
        self._interval_s = token_interval_s
        self._cache = cache
        self._now = now
        self._wait_while_silent = wait_while_silent
        self._arrival_numbers = itertools.count(1)
        self._waiting: list[Run] = []
        self._running: list[Run] = []
        self._changed = asyncio.Event()
        self._finished_contexts: dict[AttemptId, int] = {}

    @property
    def limit(self) -> int:
        """Maximum number of concurrent runs."""
        return self._limit

    @property
    def running(self) -> int:
        """Number of admitted runs."""
        return len(self._running)

    @property
    def runs(self) -> list[Run]:
        """All runs, waiting and admitted."""
        return self._waiting + self._running

    @property
    def queued_prefill_tokens(self) -> int:
        """Prompt tokens of all runs that are not prefilled yet."""
        return sum(len(run.tokens) for run in self.runs if not run.prefilled)

    @property
    def pieces_in_use(self) -> int:
        """Pieces of KV memory used by admitted runs."""
        tokens = (len(run.tokens) + run.position for run in self._running)
        return sum(self._cache.pieces_for(count) for count in tokens)

    def context_tokens(self, attempt: AttemptId) -> int | None:
        """Return the tokens in an attempt's KV cache, or None if it has none."""
        for run in self._running:
            if run.attempt == attempt and run.prefilled:
                return len(run.tokens) + run.position
        return self._finished_contexts.get(attempt)

    def add(self, run: Run) -> None:
        """Add a run to the queue."""
        run.arrival_number = next(self._arrival_numbers)
        self._waiting.append(run)
        self._changed.set()

    def find(self, attempt: AttemptId) -> Run | None:
        """Return the waiting or admitted run of an attempt, or None."""
        return next((run for run in self.runs if run.attempt == attempt), None)

    def abort(self, run: Run, reason: str) -> None:
        """End a run before its completion is finished."""
        if run in self._waiting:
            self._waiting.remove(run)
        if run in self._running:
            self._running.remove(run)
        run.events.put_nowait(Aborted(reason))
        self._changed.set()

    def clear(self, reason: str) -> None:
        """Abort all runs and drop the KV caches of finished ones."""
        for run in self.runs:
            self.abort(run, reason)
        self._finished_contexts.clear()

    async def prefill_loop(self) -> None:
        """Admit runs in order of priority and prefill one at a time."""
        while True:
            self._admit()
            pending = [run for run in self._running if not run.prefilled]
            if not pending:
                self._changed.clear()
                await self._changed.wait()
                continue
            run = min(pending, key=lambda r: r.sort_key)
            cached = self._cache.cached_tokens(run.tokens)
            reused = max(cached, run.kv_handle_tokens)
            uncached = max(0, len(run.tokens) + run.resumed_tokens - reused)
            await asyncio.sleep(uncached / self._prefill_rate)
            await self._wait_while_silent()
            self._cache.store(run.tokens, self._now())
            run.prefilled = True
            self._changed.set()

    async def decode_loop(self) -> None:
        """Generate one token of each prefilled run per step."""
        while True:
            ready = [run for run in self._running if run.prefilled]
            if not ready:
                self._changed.clear()
                await self._changed.wait()
                await asyncio.sleep(0)
                continue
            step_s = max(self._interval_s, len(ready) / self._decode_rate)
            await asyncio.sleep(step_s)
            await self._wait_while_silent()
            for run in ready:
                if run in self._running:
                    self._decode_token(run)

    def _admit(self) -> None:
        self._waiting.sort(key=lambda run: run.sort_key)
        while self._waiting and len(self._running) < self._limit:
            self._running.append(self._waiting.pop(0))

    def _decode_token(self, run: Run) -> None:
        if run.position < run.end:
            text = answer_token(run.prompt, run.position)
            run.events.put_nowait(Token(run.position, text))
            run.position += 1
        if run.position >= run.end:
            self._running.remove(run)
            self._store_finished_context(run)
            run.events.put_nowait(Finished(run.position))
            self._changed.set()

    def _store_finished_context(self, run: Run) -> None:
        self._finished_contexts[run.attempt] = len(run.tokens) + run.position
        while len(self._finished_contexts) > _MAX_FINISHED_CONTEXTS:
            del self._finished_contexts[next(iter(self._finished_contexts))]
