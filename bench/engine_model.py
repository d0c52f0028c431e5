"""Simple model of an engine with continuous batching, for the decision benchmarks.

Prompts are prefilled one after the other, urgent ones first. The requests of the batch
share the engine's output rate. While the engine prefills and decodes at the same time,
both rates are reduced by ``mixed_efficiency``. KV memory is counted in blocks. The
prompt prefix cache evicts the least recently used prefixes.
"""

from collections import OrderedDict
from dataclasses import dataclass

from wigeonspan.catalog import URGENT_CLASSES, PriorityClass, Role
from wigeonspan.common import AttemptId, EngineId
from wigeonspan.engines import CacheEvent, LoadReport
from wigeonspan.routing import PromptPrefix

PIECE_TOKENS = 32
"""Tokens per block of KV memory."""


@dataclass(frozen=True)
class EngineSpec:
    """Capacity of an engine.

    Parameters
    ----------
    prefill_rate, decode_rate : float
        Prompt and output tokens per second while only this kind of work is done.
    max_request_rate : float
        Largest number of output tokens per second of one request.
    mixed_efficiency : float
        Fraction of both rates that is reached while both kinds of work are done.
    batch_limit : int
        Largest number of decoding requests.
    blocks : int
        Size of the KV memory in blocks.
    cached_prefixes : int
        Largest number of prompt prefixes in the cache.
    """

    prefill_rate: float = 6_000.0
    decode_rate: float = 900.0
    max_request_rate: float = 30.0
    mixed_efficiency: float = 0.7
    batch_limit: int = 32
    blocks: int = 4_000
    cached_prefixes: int = 20


@dataclass(slots=True)
class Run:
    """Attempt of a request as the engine model executes it."""

    attempt: AttemptId
    priority: PriorityClass
    prompt_tokens: int
    output_tokens: float
    prefixes: tuple[PromptPrefix, ...]
    prefill_only: bool = False
    prefilled: bool = False
    remaining_prefill_tokens: float = -1.0
    produced: float = 0.0
    first_token_at: float | None = None

    @property
    def urgent(self) -> bool:
        """Whether planned role changes must not interrupt it."""
        return self.priority in URGENT_CLASSES

    @property
    def blocks(self) -> int:
        """Blocks of KV memory needed for the prompt and the full output."""
        return -(-int(self.prompt_tokens + self.output_tokens) // PIECE_TOKENS)


class ModelEngine:
    """Engine model with its queue, batch and prefix cache."""

    def __init__(self, name: EngineId, role: Role, spec: EngineSpec) -> None:
        self.name = name
        self.role = role
        self.incarnation = "1"
        self.events: list[tuple[float, CacheEvent]] = []
        self._spec = spec
        self._waiting: list[Run] = []
        self._prefilling: Run | None = None
        self._decoding: list[Run] = []
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._seq = 0

    @property
    def runs(self) -> list[Run]:
        """Runs that are prefilling, decoding or waiting."""
        first = [self._prefilling] if self._prefilling else []
        return first + self._decoding + self._waiting

    def add(self, run: Run) -> None:
        """Queue a run; urgent runs come first, otherwise in order of arrival."""
        self._waiting.append(run)
        self._waiting.sort(key=lambda r: not r.urgent)

    def remove(self, attempt: AttemptId) -> None:
        """Remove the run of an attempt."""
        self._waiting = [r for r in self._waiting if r.attempt != attempt]
        self._decoding = [r for r in self._decoding if r.attempt != attempt]
        if self._prefilling is not None and self._prefilling.attempt == attempt:
            self._prefilling = None

    def clear(self) -> None:
        """Drop all runs and the cache, and change the incarnation, like a restart."""
        self._waiting, self._decoding, self._prefilling = [], [], None
        self._cache.clear()
        self.incarnation += "+"

    def events_after(self, seq: int, until: float) -> list[CacheEvent]:
        """Return cache events after sequence number ``seq``, up to time ``until``."""
        found = []
        for at, event in reversed(self.events):
            if event.seq <= seq:
                break
            if at <= until:
                found.append(event)
        return found[::-1]

    def report(self, now: float) -> LoadReport:
        """Return the current load."""
        first = [self._prefilling] if self._prefilling else []
        queued = sum(r.remaining_prefill_tokens for r in first)
        queued += sum(r.prompt_tokens for r in self._waiting if not r.prefilled)
        return LoadReport(
            engine=self.name,
            incarnation=self.incarnation,
            age_s=0.0,
            role=self.role,
            queued_prefill_tokens=int(queued),
            running=len(self._decoding) + len(first),
            batch_limit=self._spec.batch_limit,
            pieces_total=self._spec.blocks,
            pieces_free=self._spec.blocks - self._blocks_used(),
            prefill_tokens_per_s=self._spec.prefill_rate * self._efficiency(),
            decode_tokens_per_s=self._output_rate() * len(self._decoding),
        )

    def step(self, now: float, dt: float) -> list[Run]:
        """Advance by ``dt`` seconds; return the completed runs."""
        self._admit(now)
        rate = self._output_rate()
        budget = self._prefill_share() * self._spec.prefill_rate * dt
        done = self._decode(now, dt, rate)
        while self._prefilling is not None and budget > 0:
            run = self._prefilling
            spent = min(budget, run.remaining_prefill_tokens)
            run.remaining_prefill_tokens -= spent
            budget -= spent
            if run.remaining_prefill_tokens > 0:
                break
            self._end_prefill(run, now, done)
            self._admit(now)
        return done

    def _admit(self, now: float) -> None:
        """Start waiting runs while the batch and the KV memory have room.

        Stops once a run starts to prefill, as only one prefills at a time.
        """
        while self._waiting and self._prefilling is None:
            run = self._waiting[0]
            full = len(self._decoding) >= self._spec.batch_limit
            available = self._spec.blocks - self._blocks_used()
            if (full and not run.prefill_only) or run.blocks > available:
                return
            self._waiting.pop(0)
            if run.prefilled:
                self._decoding.append(run)
                continue
            run.remaining_prefill_tokens = float(
                run.prompt_tokens - self._cached_tokens(run)
            )
            self._prefilling = run

    def _end_prefill(self, run: Run, now: float, done: list[Run]) -> None:
        self._prefilling = None
        run.prefilled = True
        for prefix in run.prefixes:
            self._store(prefix, now)
        (done if run.prefill_only else self._decoding).append(run)

    def _decode(self, now: float, dt: float, rate: float) -> list[Run]:
        done = []
        for run in self._decoding:
            run.produced += rate * dt
            if run.first_token_at is None:
                run.first_token_at = now
            if run.produced >= run.output_tokens:
                done.append(run)
        if done:
            self._decoding = [r for r in self._decoding if r.produced < r.output_tokens]
        return done

    def _output_share(self) -> float:
        """Return the fraction of the engine's time that decoding gets."""
        if not self._decoding:
            return 0.0
        wanted = (
            len(self._decoding) * self._spec.max_request_rate / self._spec.decode_rate
        )
        return min(1.0 if self._prefilling is None else 0.5, wanted)

    def _efficiency(self) -> float:
        both = self._prefilling is not None and self._decoding
        return self._spec.mixed_efficiency if both else 1.0

    def _output_rate(self) -> float:
        if not self._decoding:
            return 0.0
        rate = self._output_share() * self._spec.decode_rate / len(self._decoding)
        return min(self._spec.max_request_rate, rate) * self._efficiency()

    def _prefill_share(self) -> float:
        return (1.0 - self._output_share()) * self._efficiency()

    def _blocks_used(self) -> int:
        first = [self._prefilling] if self._prefilling else []
        return sum(run.blocks for run in first + self._decoding)

    def _cached_tokens(self, run: Run) -> int:
        cached = [p.tokens for p in run.prefixes if p.prefix in self._cache]
        return max(cached, default=0)

    def _store(self, prefix: PromptPrefix, now: float) -> None:
        if prefix.prefix not in self._cache:
            self._cache[prefix.prefix] = None
            self._record_event(prefix.prefix, prefix.tokens, True, now)
        self._cache.move_to_end(prefix.prefix)
        while len(self._cache) > self._spec.cached_prefixes:
            name, _ = self._cache.popitem(last=False)
            self._record_event(name, 0, False, now)

    def _record_event(self, prefix: str, tokens: int, stored: bool, now: float) -> None:
        self._seq += 1
        self.events.append((now, CacheEvent(self._seq, prefix, tokens, stored)))
        del self.events[:-200]
