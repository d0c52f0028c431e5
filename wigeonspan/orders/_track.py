"""What the keeper remembers of one engine within a term."""

from wigeonspan.catalog import Engine, EnginePhase
from wigeonspan.common import Version
from wigeonspan.engines import EngineState
from wigeonspan.orders._effects import Sent

READ_FRESH_S = 1.0
"""Largest age of a read state that a decision rests on."""

POLL_S = 0.25
"""Time between reads while the keeper waits for requests or for an order to end."""

UNREACHABLE_RETRY_S = 1.0
"""Time between reads of an engine that does not answer."""

COMMIT_RETRY_S = 0.5
"""Pause after a commit whose outcome is unknown."""

ORDER_RETRY_FIRST_S = 0.5
"""Pause after the first order that failed; it doubles with each further one."""

ORDER_RETRY_LAST_S = 30.0
"""Longest pause before an engine that keeps failing gets another order."""

BATCH_GRACE_S = 2.0
"""Time that batch requests get to end by themselves before they must be resumed."""


class EngineTrack:
    """Reads, waits and pending effects of one engine."""

    def __init__(self) -> None:
        self.busy = False
        self.not_before = 0.0
        self.uncertain_until: float | None = None
        self.sent: Sent | None = None
        self.order_failed = ""
        self.withdrawn = False
        self.state: EngineState | None = None
        self._failures = 0
        self._silent_since: float | None = None
        self._state_sent_at = 0.0
        self._read_sent_at = 0.0
        self._out_since: Version | None = None
        self._clear_since: float | None = None

    @property
    def out_since(self) -> Version | None:
        """Version since which entries must not send to it; None while it serves."""
        return self._out_since

    @property
    def is_clear(self) -> bool:
        """Whether no entry can send to it or has urgent requests on it."""
        return self._clear_since is not None

    def note_phase(self, engine: Engine) -> None:
        """Remember the first version at which the engine was not serving."""
        if engine.phase is EnginePhase.SERVING:
            self._out_since = None
        elif self._out_since is None:
            self._out_since = engine.version

    def note_clear(self, clear: bool, now: float) -> None:
        """Remember since when the entries have been clear of the engine."""
        if not clear:
            self._clear_since = None
        elif self._clear_since is None:
            self._clear_since = now

    def begin_read(self, now: float) -> None:
        """Note that a read is sent."""
        self.busy = True
        self._read_sent_at = now

    def end_read(self, state: EngineState | None, now: float) -> None:
        """Take the result of a read; None when the engine did not answer."""
        self.busy = False
        self.state = state
        self._state_sent_at = self._read_sent_at
        if state is not None:
            self._silent_since = None
            return
        self.not_before = now + UNREACHABLE_RETRY_S
        if self._silent_since is None:
            self._silent_since = now

    def silent_s(self, now: float) -> float:
        """Return for how long reads have gone unanswered, in seconds."""
        return 0.0 if self._silent_since is None else now - self._silent_since

    def forget_state(self) -> None:
        """Drop the read state, because an order may have changed it."""
        self.state = None

    def read_is_due(self, interval_s: float, now: float) -> bool:
        """Whether the last read was sent longer ago than an interval."""
        return now - self._read_sent_at >= interval_s

    def note_order_failed(self, reason: str, now: float) -> None:
        """Pause after an order that did not do its work, longer each time."""
        pause_s = ORDER_RETRY_FIRST_S * 2 ** min(self._failures, 10)
        self._failures += 1
        self.order_failed = reason
        self.not_before = now + min(ORDER_RETRY_LAST_S, pause_s)

    def note_success(self) -> None:
        """Forget earlier failures."""
        self._failures = 0

    def state_sent_after(self, since: float, now: float) -> EngineState | None:
        """Return the state if its read was sent after a time and is fresh."""
        if self.state is None or self._state_sent_at < since:
            return None
        if now - self._state_sent_at > READ_FRESH_S:
            return None
        return self.state

    def drained_state(self, now: float) -> EngineState | None:
        """Return the state if it shows that nothing would be cut.

        The read must have been sent after the entries were clear: a request that an
        entry sent before that may reach the engine after an earlier read.
        """
        if self._clear_since is None:
            return None
        state = self.state_sent_after(self._clear_since, now)
        if state is None or state.urgent > 0 or state.busy_order:
            return None
        if state.batch > 0 and now - self._clear_since < BATCH_GRACE_S:
            return None
        return state
