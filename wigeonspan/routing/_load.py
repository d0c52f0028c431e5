"""Estimate of the work on one engine between and after its load reports."""

from dataclasses import dataclass
from typing import NamedTuple

from wigeonspan.catalog import URGENT_CLASSES
from wigeonspan.common import AttemptId, EngineId
from wigeonspan.distribution import EngineSample
from wigeonspan.engines import LoadReport
from wigeonspan.routing._messages import RouteRequest, RoutingSettings

RATE_WEIGHT = 0.2
"""Weight of the newest observation in a mean rate; about ten observations count."""

MIN_TOKENS = 8
"""Tokens from which the time between them says something about the engine."""

FULL_PART = 0.9
"""Part of the batch limit from which the batch counts as full; places that were freed
a moment before a report are filled at once."""

REPORT_KEEP_S = 5.0
"""Seconds after which a load report says nothing: the queue it showed has changed."""


class Unseen(NamedTuple):
    """Mean rate of the work that other entries send to one engine."""

    prompt_tokens_per_s: float = 0.0
    requests_per_s: float = 0.0
    entries: int = 0


@dataclass(slots=True)
class Attempt:
    """An attempt that runs on an engine for this entry.

    Parameters
    ----------
    prompt_tokens : float
        Tokens to prefill, without those expected in the prefix cache.
    decode_engine : EngineId or None
        Engine that continues, when this one only runs the prompt.
    """

    id: AttemptId
    engine: EngineId
    request: RouteRequest
    prompt_tokens: float
    started_at: float
    decode_engine: EngineId | None = None
    first_token_at: float | None = None
    last_token_at: float = 0.0
    tokens: int = 0

    @property
    def urgent(self) -> bool:
        """Whether the attempt is of a class that is never cut."""
        return self.request.priority in URGENT_CLASSES

    @property
    def token_interval_s(self) -> float | None:
        """Mean time between tokens, or None when there are too few to tell."""
        if self.first_token_at is None or self.tokens < MIN_TOKENS:
            return None
        return (self.last_token_at - self.first_token_at) / (self.tokens - 1)


class EngineLoad:
    """Expected queue and rates of one engine.

    Parameters
    ----------
    settings : RoutingSettings
        Rates that hold until something is known.
    """

    def __init__(self, settings: RoutingSettings) -> None:
        self._settings = settings
        self._report: LoadReport | None = None
        self._measured_at = -1.0
        self._prefill_rate = 0.0
        self._decode_rate = 0.0
        self._sample = [0, 0, 0.0, 0.0]
        self.attempts: dict[AttemptId, Attempt] = {}
        self.reserved: set[AttemptId] = set()
        self.waiting_tokens = 0.0
        self.urgent_waiting_tokens = 0.0
        self._waiting = 0
        self._waiting_prefilled = 0
        self._started_since = 0
        self._tokens_since = 0.0

    @property
    def decode_rate(self) -> float:
        """Output tokens per second of one request."""
        return self._decode_rate or self._settings.default_decode_tokens_per_s

    @property
    def batch_limit(self) -> int:
        """Largest batch; a default when the engine has not reported it."""
        known = self._report is not None and self._report.batch_limit
        return known or self._settings.default_batch_limit

    @property
    def prefill_rate(self) -> float:
        """Prompt tokens per second of the engine."""
        return self._prefill_rate or self._settings.default_prefill_tokens_per_s

    def note_report(self, report: LoadReport, now: float) -> bool:
        """Take a load report; return False when it is older than the one known."""
        measured_at = now - report.age_s
        restarted = (
            self._report is None or self._report.incarnation != report.incarnation
        )
        if not restarted and measured_at < self._measured_at:
            return False
        self._report = report
        self._measured_at = measured_at
        since = [a for a in self.attempts.values() if a.started_at > measured_at]
        self._started_since = len(since)
        self._tokens_since = sum(a.prompt_tokens for a in since)
        if report.prefill_tokens_per_s > 0:
            self._prefill_rate = report.prefill_tokens_per_s
        return True

    def prefill_backlog(self, now: float, others: Unseen) -> float:
        """Return the prompt tokens that wait on the engine.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        others : Unseen
            Rate of the work that other entries send to the engine.
        """
        report = self._fresh_report(now)
        if report is None:
            return self.waiting_tokens + others.prompt_tokens_per_s * REPORT_KEEP_S
        elapsed = now - self._measured_at
        unseen = self._tokens_since
        unseen += (others.prompt_tokens_per_s - self.prefill_rate) * elapsed
        return max(report.queued_prefill_tokens + unseen, self.waiting_tokens / 2)

    def slot_wait_s(self, now: float, others: Unseen, output_tokens: int) -> float:
        """Return the seconds until the batch has a free place.

        A report does not tell how many requests wait for a place once the batch is
        full, nor how many are being prefilled elsewhere for this engine; then the other
        entries are assumed to have as many as this one.
        """
        report = self._fresh_report(now)
        if report is None or report.batch_limit <= 0:
            return 0.0
        elapsed = now - self._measured_at
        mean_run_s = output_tokens / self.decode_rate
        unseen = self._started_since + others.requests_per_s * elapsed
        ended = report.running * min(1.0, elapsed / max(mean_run_s, 1e-3))
        expected = report.running + unseen - ended
        full = report.running >= FULL_PART * report.batch_limit
        waiting = self._waiting if full else self._waiting_prefilled
        waiting += len(self.reserved)
        expected = max(expected, report.running + waiting * (1 + others.entries))
        excess = expected + 1 - report.batch_limit
        if excess <= 0:
            return 0.0
        return excess / report.batch_limit * mean_run_s

    def note_start(self, attempt: Attempt) -> None:
        """Add an attempt."""
        self.attempts[attempt.id] = attempt
        self._count_waiting(attempt, 1)
        self._started_since += 1
        self._tokens_since += attempt.prompt_tokens

    def note_progress(self, attempt: Attempt, tokens: int, now: float) -> None:
        """Note that the answer has grown to ``tokens`` output tokens."""
        if tokens <= attempt.tokens:
            return
        if attempt.first_token_at is None:
            self._count_waiting(attempt, -1)
            attempt.first_token_at = now
        attempt.tokens = tokens
        attempt.last_token_at = now

    def note_end(self, attempt: Attempt, now: float) -> None:
        """Remove an attempt and learn the rates that it saw."""
        self.attempts.pop(attempt.id, None)
        if attempt.first_token_at is None:
            self._count_waiting(attempt, -1)
        if attempt.started_at > self._measured_at:
            self._started_since -= 1
            self._tokens_since -= attempt.prompt_tokens
        first = attempt.first_token_at
        if attempt.decode_engine is not None:
            first = now
        if first is None:
            return
        sample = self._sample
        sample[0] += round(attempt.prompt_tokens)
        sample[2] += first - attempt.started_at
        sample[1] += max(0, attempt.tokens - 1)
        sample[3] += max(0.0, attempt.last_token_at - first)
        if attempt.tokens > 1 and attempt.last_token_at > first:
            rate = (attempt.tokens - 1) / (attempt.last_token_at - first)
            weight = RATE_WEIGHT if self._decode_rate else 1.0
            self._decode_rate += weight * (rate - self._decode_rate)

    def take_sample(self, engine: EngineId) -> EngineSample | None:
        """Return the work since the last call, or None when there was none."""
        prefill, decode, prefill_s, decode_s = self._sample
        if not prefill and not decode:
            return None
        self._sample = [0, 0, 0.0, 0.0]
        return EngineSample(engine, prefill, decode, prefill_s, decode_s)

    def _count_waiting(self, attempt: Attempt, sign: int) -> None:
        """Keep the sums over the attempts without a first token.

        They are kept, since a choice reads them for each engine that it compares.
        """
        self._waiting += sign
        self._waiting_prefilled += sign * (attempt.prompt_tokens == 0)
        self.waiting_tokens += sign * attempt.prompt_tokens
        if attempt.urgent:
            self.urgent_waiting_tokens += sign * attempt.prompt_tokens

    def _fresh_report(self, now: float) -> LoadReport | None:
        if self._report is None or now - self._measured_at > REPORT_KEEP_S:
            return None
        return self._report
