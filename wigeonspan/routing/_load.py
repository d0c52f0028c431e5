"""Estimate of an engine's load from its load reports and this entry's attempts."""

from dataclasses import dataclass
from typing import NamedTuple

from wigeonspan.catalog import URGENT_CLASSES
from wigeonspan.common import AttemptId, EngineId
from wigeonspan.distribution import EngineSample
from wigeonspan.engines import LoadReport
from wigeonspan.routing._messages import RouteRequest, RoutingSettings

DECODE_RATE_WEIGHT = 0.2
"""Weight of the newest observation in the moving average of the decode rate, which
covers about ten observations."""

MIN_INTERVAL_TOKENS = 8
"""Minimum number of tokens for a meaningful mean time between tokens."""

FULL_BATCH_SHARE = 0.9
"""Share of the batch limit from which a reported batch counts as full. Places that were
freed just before the report are filled again at once."""

MAX_REPORT_AGE_S = 5.0
"""Age in seconds after which a load report is ignored, because the reported queue has
changed."""


class OtherEntriesLoad(NamedTuple):
    """Mean rate of the work that all other entries send to one engine.

    Parameters
    ----------
    prompt_tokens_per_s, requests_per_s : float
        Rates of all other entries together.
    entries : int
        Number of other entries.
    """

    prompt_tokens_per_s: float = 0.0
    requests_per_s: float = 0.0
    entries: int = 0


@dataclass(slots=True)
class AttemptState:
    """Progress of an attempt that this entry runs on an engine.

    Parameters
    ----------
    prompt_tokens : float
        Tokens to prefill, without those expected in the prefix cache.
    decode_engine : EngineId or None
        Engine that generates the output if ``engine`` only runs the prompt.
    tokens : int
        Output tokens produced so far.
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
        """Whether the request has an urgent class; see ``URGENT_CLASSES``."""
        return self.request.priority in URGENT_CLASSES

    @property
    def token_interval_s(self) -> float | None:
        """Mean seconds between output tokens, or None if there are too few tokens."""
        if self.first_token_at is None or self.tokens < MIN_INTERVAL_TOKENS:
            return None
        return (self.last_token_at - self.first_token_at) / (self.tokens - 1)


class EngineLoad:
    """Estimate the queue and the rates of one engine.

    Parameters
    ----------
    settings : RoutingSettings
        Default rates and batch limit, used until the engine's own are known.
    """

    def __init__(self, settings: RoutingSettings) -> None:
        self._settings = settings
        self._report: LoadReport | None = None
        self._measured_at = -1.0
        self._prefill_rate = 0.0
        self._decode_rate = 0.0
        # Prefill tokens, decode tokens, prefill seconds, decode seconds.
        self._work_totals = [0, 0, 0.0, 0.0]
        self.attempts: dict[AttemptId, AttemptState] = {}
        # Attempts that are prefilled elsewhere and continue on this engine.
        self.pending_decodes: set[AttemptId] = set()
        self.waiting_tokens = 0.0
        self.urgent_waiting_tokens = 0.0
        # Attempts without a first token, and those of them that need no prefill.
        self._waiting_requests = 0
        self._waiting_prefilled = 0
        # Attempts started, and their prompt tokens, after the last report was measured.
        self._starts_since_report = 0
        self._tokens_since_report = 0.0

    @property
    def decode_rate(self) -> float:
        """Output tokens per second of one request on this engine."""
        return self._decode_rate or self._settings.default_decode_tokens_per_s

    @property
    def batch_limit(self) -> int:
        """Maximum batch size; the default if the engine has not reported one."""
        known = self._report is not None and self._report.batch_limit
        return known or self._settings.default_batch_limit

    @property
    def prefill_rate(self) -> float:
        """Prompt tokens per second of the engine for all requests together."""
        return self._prefill_rate or self._settings.default_prefill_tokens_per_s

    def record_report(self, report: LoadReport, now: float) -> bool:
        """Record a load report; return False if it is older than the current one."""
        measured_at = now - report.age_s
        restarted = (
            self._report is None or self._report.incarnation != report.incarnation
        )
        if not restarted and measured_at < self._measured_at:
            return False
        self._report = report
        self._measured_at = measured_at
        newer = [a for a in self.attempts.values() if a.started_at > measured_at]
        self._starts_since_report = len(newer)
        self._tokens_since_report = sum(a.prompt_tokens for a in newer)
        if report.prefill_tokens_per_s > 0:
            self._prefill_rate = report.prefill_tokens_per_s
        return True

    def prefill_backlog(self, now: float, other_load: OtherEntriesLoad) -> float:
        """Return the expected number of prompt tokens that wait on the engine.

        The estimate adds the work sent since the last report, and subtracts the tokens
        that the engine has prefilled in the meantime.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        other_load : OtherEntriesLoad
            Rate of the work that other entries send to the engine.
        """
        report = self._fresh_report(now)
        if report is None:
            return (
                self.waiting_tokens + other_load.prompt_tokens_per_s * MAX_REPORT_AGE_S
            )
        elapsed = now - self._measured_at
        added = self._tokens_since_report
        added += (other_load.prompt_tokens_per_s - self.prefill_rate) * elapsed
        return max(report.queued_prefill_tokens + added, self.waiting_tokens / 2)

    def batch_wait_s(
        self, now: float, other_load: OtherEntriesLoad, output_tokens: int
    ) -> float:
        """Return the expected seconds until the batch has a free place.

        A load report does not contain the number of requests that wait for a place in
        a full batch, or that are being prefilled elsewhere for this engine. Each other
        entry is therefore assumed to have as many of them as this one.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        other_load : OtherEntriesLoad
            Rate of the work that other entries send to the engine.
        output_tokens : int
            Output tokens of a request, from which its mean run time follows.
        """
        report = self._fresh_report(now)
        if report is None or report.batch_limit <= 0:
            return 0.0
        elapsed = now - self._measured_at
        mean_run_s = output_tokens / self.decode_rate
        added = self._starts_since_report + other_load.requests_per_s * elapsed
        ended = report.running * min(1.0, elapsed / max(mean_run_s, 1e-3))
        expected = report.running + added - ended
        full = report.running >= FULL_BATCH_SHARE * report.batch_limit
        waiting = self._waiting_requests if full else self._waiting_prefilled
        waiting += len(self.pending_decodes)
        expected = max(expected, report.running + waiting * (1 + other_load.entries))
        excess = expected + 1 - report.batch_limit
        if excess <= 0:
            return 0.0
        return excess / report.batch_limit * mean_run_s

    def record_start(self, attempt: AttemptState) -> None:
        """Add an attempt that was sent to the engine."""
        self.attempts[attempt.id] = attempt
        self._count_waiting(attempt, 1)
        self._starts_since_report += 1
        self._tokens_since_report += attempt.prompt_tokens

    def record_progress(self, attempt: AttemptState, tokens: int, now: float) -> None:
        """Record that an attempt has produced ``tokens`` output tokens so far."""
        if tokens <= attempt.tokens:
            return
        if attempt.first_token_at is None:
            self._count_waiting(attempt, -1)
            attempt.first_token_at = now
        attempt.tokens = tokens
        attempt.last_token_at = now

    def record_end(self, attempt: AttemptState, now: float) -> None:
        """Remove an attempt and update the measured work and the decode rate."""
        self.attempts.pop(attempt.id, None)
        if attempt.first_token_at is None:
            self._count_waiting(attempt, -1)
        if attempt.started_at > self._measured_at:
            self._starts_since_report -= 1
            self._tokens_since_report -= attempt.prompt_tokens
        first = attempt.first_token_at
        if attempt.decode_engine is not None:
            first = now
        if first is None:
            return
        totals = self._work_totals
        totals[0] += round(attempt.prompt_tokens)
        totals[2] += first - attempt.started_at
        totals[1] += max(0, attempt.tokens - 1)
        totals[3] += max(0.0, attempt.last_token_at - first)
        if attempt.tokens > 1 and attempt.last_token_at > first:
            rate = (attempt.tokens - 1) / (attempt.last_token_at - first)
            weight = DECODE_RATE_WEIGHT if self._decode_rate else 1.0
            self._decode_rate += weight * (rate - self._decode_rate)

    def take_sample(self, engine: EngineId) -> EngineSample | None:
        """Return the work since the last call, or None if there was none."""
        prefill, decode, prefill_s, decode_s = self._work_totals
        if not prefill and not decode:
            return None
        self._work_totals = [0, 0, 0.0, 0.0]
        return EngineSample(engine, prefill, decode, prefill_s, decode_s)

    def _count_waiting(self, attempt: AttemptState, sign: int) -> None:
        """Add an attempt to the sums over attempts without a first token, or remove it.

        The sums are maintained incrementally because a choice reads them for each
        engine that it compares.

        Parameters
        ----------
        attempt : AttemptState
            The attempt.
        sign : int
            1 to add the attempt, -1 to remove it.
        """
        self._waiting_requests += sign
        self._waiting_prefilled += sign * (attempt.prompt_tokens == 0)
        self.waiting_tokens += sign * attempt.prompt_tokens
        if attempt.urgent:
            self.urgent_waiting_tokens += sign * attempt.prompt_tokens

    def _fresh_report(self, now: float) -> LoadReport | None:
        """Return the last load report, or None if it is missing or too old."""
        if self._report is None or now - self._measured_at > MAX_REPORT_AGE_S:
            return None
        return self._report
