"""State that the controller tracks for one engine during a term."""

from wigeonspan.catalog import Engine, EnginePhase
from wigeonspan.common import Version
from wigeonspan.engines import EngineState
from wigeonspan.orders._effects import SendOutcome

MAX_STATE_AGE_S = 1.0
"""Maximum age of an engine state on which decisions may be based."""

POLL_INTERVAL_S = 0.25
"""Interval between reads while waiting for requests or an order to finish."""

UNREACHABLE_RETRY_S = 1.0
"""Interval between reads of an engine that does not respond."""

COMMIT_RETRY_S = 0.5
"""Delay before the next effect after a commit with an unknown outcome."""

MIN_ORDER_RETRY_S = 0.5
"""Delay after the first failed order; it doubles with each further failure."""

MAX_ORDER_RETRY_S = 30.0
"""Maximum delay before an engine that keeps failing gets another order."""

BATCH_GRACE_S = 2.0
"""Time for batch requests to finish before they are cut off and must be resumed."""


class EngineTracker:
    """Tracks reads, delays and the pending effect of one engine.

    An order that was sent may still reach the engine before
    ``delivery_uncertain_until``, so its state is only read back after that time.
    """

    def __init__(self) -> None:
        self.effect_pending = False
        self.not_before = 0.0
        self.delivery_uncertain_until: float | None = None
        self.send_outcome: SendOutcome | None = None
        self.order_failure = ""
        self.withdrawn = False
        self.state: EngineState | None = None
        self._failures = 0
        self._unanswered_since: float | None = None
        self._state_requested_at = 0.0
        self._read_sent_at = 0.0
        self._out_of_service_since: Version | None = None
        self._clear_since: float | None = None

    @property
    def out_of_service_since(self) -> Version | None:
        """Version since which entries must not use the engine; None while serving."""
        return self._out_of_service_since

    @property
    def is_clear(self) -> bool:
        """Whether no entry can send to the engine or has urgent requests on it."""
        return self._clear_since is not None

    def record_phase(self, engine: Engine) -> None:
        """Record the version since which the engine has not been serving."""
        if engine.phase is EnginePhase.SERVING:
            self._out_of_service_since = None
        elif self._out_of_service_since is None:
            self._out_of_service_since = engine.version

    def record_clear(self, clear: bool, now: float) -> None:
        """Record since when the engine has been clear, as in :attr:`is_clear`."""
        if not clear:
            self._clear_since = None
        elif self._clear_since is None:
            self._clear_since = now

    def begin_read(self, now: float) -> None:
        """Record that a read is sent."""
        self.effect_pending = True
        self._read_sent_at = now

    def end_read(self, state: EngineState | None, now: float) -> None:
        """Record the result of a read; None when the engine did not respond."""
        self.effect_pending = False
        self.state = state
        self._state_requested_at = self._read_sent_at
        if state is not None:
            self._unanswered_since = None
            return
        self.not_before = now + UNREACHABLE_RETRY_S
        if self._unanswered_since is None:
            self._unanswered_since = now

    def unanswered_s(self, now: float) -> float:
        """Return how long reads have been unanswered, in seconds."""
        return 0.0 if self._unanswered_since is None else now - self._unanswered_since

    def discard_state(self) -> None:
        """Discard the state of the last read, which an order may have changed."""
        self.state = None

    def read_is_due(self, interval_s: float, now: float) -> bool:
        """Return whether the last read was sent at least an interval ago."""
        return now - self._read_sent_at >= interval_s

    def record_order_failure(self, reason: str, now: float) -> None:
        """Record a failed order and delay the next effect, with exponential backoff."""
        pause_s = MIN_ORDER_RETRY_S * 2 ** min(self._failures, 10)
        self._failures += 1
        self.order_failure = reason
        self.not_before = now + min(MAX_ORDER_RETRY_S, pause_s)

    def clear_failures(self) -> None:
        """Reset the backoff after a success."""
        self._failures = 0

    def fresh_state(self, since: float, now: float) -> EngineState | None:
        """Return the state if its read was sent at or after a time and is recent."""
        if self.state is None or self._state_requested_at < since:
            return None
        if now - self._state_requested_at > MAX_STATE_AGE_S:
            return None
        return self.state

    def drained_state(self, now: float) -> EngineState | None:
        """Return the state if it shows that no request would be cut off.

        Batch requests may be cut off after their grace period. The read must have been
        sent once the engine was clear: a request that an entry sent before that could
        reach the engine after an earlier read.
        """
        if self._clear_since is None:
            return None
        state = self.fresh_state(self._clear_since, now)
        if state is None or state.urgent > 0 or state.busy_order:
            return None
        if state.batch > 0 and now - self._clear_since < BATCH_GRACE_S:
            return None
        return state
