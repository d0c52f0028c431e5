"""Room in the memory of engines.

It answers bursts of the long kind, whose requests need more memory than an engine has:
64 prompts of 12,000 tokens need 770,000 tokens, and the engine has 532,040. An engine
without memory preempts the newest of the least urgent requests, even in the middle of
a stream, and prefills it again.
"""

from collections import Counter
from collections.abc import Sequence

from msgspec import Struct

from wigeonspan.common import HostId
from wigeonspan.placing._ledger import EXPIRY_S
from wigeonspan.placing._messages import Prompt
from wigeonspan.placing._priority import PriorityBand
from wigeonspan.placing._slots import SlotForecast
from wigeonspan.placing._stored_prompts import StoredPrompts
from wigeonspan.placing._work_queue import Work, WorkKind
from wigeonspan.targets import Target, TargetId

BLOCK_TOKENS = 16
"""Tokens of a block, in which engines allocate memory."""

FREE_SHARE = 0.05
"""Share of the memory that is kept free for requests that other entries send at the
same time; about two requests of 12,000 tokens at an engine with 532,040."""

MAX_URGENT_SHARE = 0.9
"""Maximum share of the memory that more urgent streams are assumed to keep, so that the
wait stays finite when they take all."""

RENEWAL_S = 0.4 * EXPIRY_S
"""Seconds after which an entry reports a stream again that still runs. Others remove it
after ``EXPIRY_S``, so one of two such reports may be lost."""

RATIO_WEIGHT = 0.05
"""Weight of a new answer in the moving average of the ratio of real to estimated
output tokens."""

MAX_RATIO = 10.0
"""Maximum ratio of real to estimated output tokens that is learned from one answer, so
that a hint of one token does not spoil the average."""


class OutputForecast:
    """Expected output of requests, from the real output of earlier ones of a route."""

    def __init__(self) -> None:
        # Mean ratio of real to estimated output by route, with a hint and without.
        self._ratios: dict[tuple[str, bool], float] = {}

    def expected_tokens(self, route: str, prompt: Prompt) -> int:
        """Return the expected output tokens of a request, at most its maximum."""
        ratio = self._ratios.get((route, _has_hint(prompt)), 1.0)
        expected = round(_estimated_tokens(prompt) * ratio)
        return max(1, min(expected, prompt.output_tokens))

    def record(self, route: str, prompt: Prompt, output_tokens: int) -> None:
        """Record the real output of a complete answer."""
        key = (route, _has_hint(prompt))
        ratio = min(MAX_RATIO, output_tokens / _estimated_tokens(prompt))
        mean = self._ratios.get(key, 1.0)
        self._ratios[key] = mean + RATIO_WEIGHT * (ratio - mean)


def _has_hint(prompt: Prompt) -> bool:
    return prompt.output_hint is not None


def _estimated_tokens(prompt: Prompt) -> int:
    """Return the caller's estimate of the output, or else its maximum."""
    hint = prompt.output_hint
    return max(1, prompt.output_tokens if hint is None else hint)


class _Held(Struct):
    """Tokens of one unit of work."""

    work: Work
    tokens: int
    begun_at: float


class EngineMemory:
    """Tokens that requests hold at each engine, and the room for another one.

    It does nothing unless it is enabled: all needs are 0 then.

    Parameters
    ----------
    slots : SlotForecast
        Mean duration of the streams, after which they free their memory.
    enabled : bool
        Whether placement is to consider the memory of engines.
    """

    def __init__(self, slots: SlotForecast, *, enabled: bool = False) -> None:
        self.enabled = enabled
        self.outputs = OutputForecast()
        self.stored = StoredPrompts()
        self._slots = slots
        self._capacity = 0.0
        self._handle_ttl_s = EXPIRY_S
        self._held: dict[str, _Held] = {}
        # Tokens by engine and urgency of running streams, and of prompts in prefill.
        self._running: dict[TargetId, Counter[int]] = {}
        self._expected: dict[TargetId, Counter[int]] = {}

    @property
    def capacity(self) -> float:
        """Tokens that fit into an engine's memory."""
        return self._capacity

    def set_capacity(self, tokens: float, handle_ttl_s: float = EXPIRY_S) -> None:
        """Set the properties of the engines, from the configuration.

        Parameters
        ----------
        tokens : float
            Tokens that fit into an engine's memory.
        handle_ttl_s : float
            Seconds for which an engine stores a prompt for another one to fetch.
        """
        self._capacity = tokens
        self._handle_ttl_s = handle_ttl_s

    @property
    def applies(self) -> bool:
        """Whether the memory of engines is limited, as far as is known."""
        return self.enabled and self._capacity > 0.0

    def need(self, route: str, prompt: Prompt) -> int:
        """Return the tokens that a request holds at its decode engine.

        Returns 0 when the memory is not to be considered.
        """
        if not self.enabled:
            return 0
        blocks = -(-prompt.total_tokens // BLOCK_TOKENS)
        return blocks * BLOCK_TOKENS + self.outputs.expected_tokens(route, prompt)

    def exceeds_engine(self, need: int) -> bool:
        """Return whether a request needs more memory than an engine has."""
        return self.applies and need > self._capacity

    def begin(self, work: Work, tokens: int, now: float, fetches: str = "") -> None:
        """Record work that holds tokens at its target, or will at a decode engine.

        Parameters
        ----------
        fetches : str
            Name of the work that has prefilled its prompt; empty without such work.
        """
        if not self.enabled or tokens <= 0 or work.kind is WorkKind.CALL:
            return
        if work.work in self._held:
            self._remove(work.work)
        self._held[work.work] = _Held(work, tokens, now)
        totals = self._totals(work)
        by_urgency = totals.get(work.target)
        if by_urgency is None:
            by_urgency = totals[work.target] = Counter()
        by_urgency[work.urgency] += tokens
        if fetches:
            self.stored.begin_fetch(work.work, fetches)

    def end(self, name: str, now: float, *, completed: bool = False) -> None:
        """Record the end of work, if it is known.

        Parameters
        ----------
        completed : bool
            Whether its target has completed it; a prefilled prompt is then stored.
        """
        held = self._remove(name)
        if held is None:
            return
        if held.work.kind is not WorkKind.PREFILL:
            self.stored.end_fetch(name, now, completed=completed)
        elif completed:
            self.stored.add(name, held.work.target, held.tokens, now)

    def take_renewals(self, host: HostId, now: float) -> list[tuple[Work, int]]:
        """Return the streams of an entry that it is to report again, and their tokens.

        A long stream would otherwise be removed after ``EXPIRY_S`` while it still holds
        its memory. Only short prompts are prefilled by their decode engine, so their
        streams are left out.
        """
        due = [
            held
            for held in self._held.values()
            if held.work.host == host
            and held.work.kind is WorkKind.DECODE
            and now - held.begun_at >= RENEWAL_S
        ]
        for held in due:
            held.begun_at = now
        return [(held.work, held.tokens) for held in due]

    def _remove(self, name: str) -> _Held | None:
        """Remove work and return it; None if it is not known."""
        held = self._held.pop(name, None)
        if held is None:
            return None
        work, totals = held.work, self._totals(held.work)
        tokens = totals[work.target]
        tokens[work.urgency] -= held.tokens
        if not tokens[work.urgency]:
            del tokens[work.urgency]
        if not tokens:
            del totals[work.target]
        return held

    def _totals(self, work: Work) -> dict[TargetId, Counter[int]]:
        is_prefill = work.kind is WorkKind.PREFILL
        return self._expected if is_prefill else self._running

    def expire(self, now: float) -> None:
        """Remove work that is older than ``EXPIRY_S``."""
        self._remove_all(
            [n for n, held in self._held.items() if now - held.begun_at > EXPIRY_S]
        )
        self.stored.expire(now, self._handle_ttl_s)

    def drop_host(self, host: HostId) -> None:
        """Remove the work of an entry that is gone."""
        self._remove_all(
            [n for n, held in self._held.items() if held.work.host == host]
        )

    def forget(self, target: TargetId) -> None:
        """Remove the work of an engine that is gone or has restarted."""
        self._remove_all(
            [n for n, held in self._held.items() if held.work.target == target]
        )
        self.stored.forget(target)

    def _remove_all(self, names: list[str]) -> None:
        for name in names:
            self._remove(name)
            self.stored.drop_fetch(name)

    def held_tokens(self, target: TargetId) -> int:
        """Return the tokens that all running streams hold at an engine."""
        tokens = self._running.get(target)
        return tokens.total() if tokens else 0

    def room_tokens(self, target: TargetId) -> int:
        """Return the tokens for which an engine has room without preemption."""
        return max(0, int(self._usable) - self.held_tokens(target))

    @property
    def _usable(self) -> float:
        return self._capacity * (1.0 - FREE_SHARE)

    def select(
        self, engines: list[Target], need: int, band: PriorityBand
    ) -> list[Target]:
        """Return the decode engines where a request preempts the fewest tokens.

        These are all engines with room for it, if there are any. Otherwise less urgent
        streams are preempted at an engine where that makes enough room; without such an
        engine, the request waits at the one where the least has to end first.

        Parameters
        ----------
        band : PriorityBand
            Ranks of the request's priority. Streams up to its last rank are waited for,
            less urgent ones may be preempted.
        """
        if not self.applies or not need:
            return engines

        usable, has_room = self._usable, (0.0, 0.0)

        def missing(target: Target) -> tuple[float, float]:
            held = self.held_tokens(target.target)
            if held + need <= usable:
                return has_room
            kept = self._kept(target.target, band)
            return self._missing(kept, need), self._missing(held, need)

        by_target = {t.target: missing(t) for t in engines}
        least = min(by_target.values(), default=None)
        return [t for t in engines if by_target[t.target] == least]

    def _missing(self, held: int, need: int) -> float:
        """Return the tokens for which an engine has no room; an empty one has all."""
        return max(0.0, held + need - self._usable) if held else 0.0

    def _kept(self, target: TargetId, band: PriorityBand) -> int:
        """Return the tokens of streams up to a priority at an engine."""
        tokens = self._running.get(target, _NONE)
        return sum(n for rank, n in tokens.items() if rank <= band.late_rank)

    def prompt_tokens(self, target: TargetId) -> int:
        """Return the tokens of the prompts that an engine prefills and stores."""
        in_prefill = self._expected.get(target, _NONE).total()
        return in_prefill + self.stored.tokens(target)

    def select_prefill(self, engines: list[Target], need: int) -> list[Target]:
        """Return the prefill engines with room for a prompt; all if none has any.

        Stored prompts are not preempted, so another prompt waits until they are
        fetched.
        """
        if not self.applies or not need:
            return engines
        with_room = [t for t in engines if not self._lacking(t.target, need)]
        return with_room or engines

    def prefill_wait_ms(self, target: TargetId, need: int) -> float:
        """Return the milliseconds until a prefill engine has room for a prompt."""
        if not self.applies or not need:
            return 0.0
        freed_per_s = self._usable / self.stored.stay_s
        return 1000.0 * self._lacking(target, need) / freed_per_s

    def _lacking(self, target: TargetId, need: int) -> float:
        return self._missing(self.prompt_tokens(target), need)

    def rank(
        self, target: TargetId, need: int, urgency: int, band: PriorityBand
    ) -> int:
        """Return the rank of a stream at an engine.

        Ranks within a priority only tell which requests have less time. A stream that
        is preempted for one of its own priority misses its objective for pauses, so a
        stream without room is sent with the last rank of its priority and waits.
        """
        if not self.applies or not need:
            return urgency
        has_room = not self._missing(self._kept(target, band), need)
        return urgency if has_room else max(urgency, band.late_rank)

    def wait_ms(
        self,
        prefill_engines: Sequence[Target],
        decode_engines: Sequence[Target],
        need: int,
        urgency: int,
    ) -> float:
        """Return the milliseconds until a decode engine has room for a request.

        One engine must have enough for it, and all of them together must have enough
        for the prompts in prefill as well.
        """
        if not self.applies or not need or not decode_engines:
            return 0.0
        running = [self._running.get(t.target, _NONE) for t in decode_engines]
        at_one = min(
            self._freed_after_ms(self._usable, tokens, need, urgency)
            for tokens in running
        )
        together = sum(running, Counter())
        for target in prefill_engines:
            together += self._expected.get(target.target, _NONE)
        usable = self._usable * len(decode_engines)
        return max(at_one, self._freed_after_ms(usable, together, need, urgency))

    def engine_wait_ms(self, target: TargetId, need: int, urgency: int) -> float:
        """Return the milliseconds until one engine has room for a request."""
        if not self.applies or not need:
            return 0.0
        tokens = self._running.get(target, _NONE)
        return self._freed_after_ms(self._usable, tokens, need, urgency)

    def _freed_after_ms(
        self, usable: float, tokens: Counter[int], need: int, urgency: int
    ) -> float:
        """Return the milliseconds until streams have freed memory for a request.

        As for slots, streams that arrive later and are more urgent get memory first.
        """
        kept = sum(n for rank, n in tokens.items() if rank <= urgency)
        excess = kept + need - usable
        if excess <= 0.0 or not kept:
            return 0.0
        urgent = sum(n for rank, n in tokens.items() if rank < urgency)
        urgent_share = min(MAX_URGENT_SHARE, urgent / usable)
        freed_per_s = usable / self._slots.stream_s
        return 1000.0 * excess / freed_per_s / (1.0 - urgent_share)


_NONE: Counter[int] = Counter()
