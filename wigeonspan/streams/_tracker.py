"""State of one relayed response across all of its attempts."""

import math

from wigeonspan.common import AttemptId
from wigeonspan.streams._messages import (
    NO_EFFECT,
    ResumePoint,
    StreamFault,
    StreamLimits,
    Token,
    TokenFrame,
    TrackerResult,
)


class _ActiveAttempt:
    """Timeouts and finish reason of one active attempt."""

    __slots__ = ("finish_reason", "progress_due", "silence_due")

    def __init__(self, progress_due: float) -> None:
        self.progress_due = progress_due
        self.silence_due: float | None = None
        self.finish_reason: str | None = None

    @property
    def next_check(self) -> float:
        """Monotonic time in seconds at which a timeout expires."""
        if self.silence_due is None:
            return self.progress_due
        return min(self.progress_due, self.silence_due)


class StreamTracker:
    """Track the positions, completeness and timeouts of one response.

    One attempt is active, or a silent one and its successor, which continue from the
    same position. The first of them with a new token stays active alone. Input from any
    other attempt has no effect. Tokens are accepted only at the next position, so a
    response never loses, repeats or mixes tokens, no matter how many attempts it takes.

    Parameters
    ----------
    limits : StreamLimits
        Timeouts and buffer size to enforce.
    start : ResumePoint
        Tokens that were accepted before this tracker was created.
    """

    def __init__(
        self, limits: StreamLimits, start: ResumePoint = ResumePoint(0, "")
    ) -> None:
        self._limits = limits
        # The newest attempt is the last one.
        self._active: dict[AttemptId, _ActiveAttempt] = {}
        self._position = start.position
        self._texts = [start.text] if start.text else []
        self._finish_reason: str | None = None
        self._complete = False
        self._buffered = 0
        self._paused = False

    @property
    def active(self) -> AttemptId | None:
        """Newest attempt whose input is accepted; None when there is none."""
        return next(reversed(self._active), None)

    @property
    def position(self) -> int:
        """Number of tokens accepted."""
        return self._position

    @property
    def text(self) -> str:
        """Text of the tokens accepted."""
        if len(self._texts) > 1:
            self._texts = ["".join(self._texts)]
        return self._texts[0] if self._texts else ""

    @property
    def finish_reason(self) -> str | None:
        """Finish reason of the complete response; None before."""
        return self._finish_reason

    @property
    def complete(self) -> bool:
        """Whether the end marker arrived and the token count matched."""
        return self._complete

    @property
    def paused(self) -> bool:
        """Whether the attempt was cancelled because the reader is slow."""
        return self._paused

    @property
    def may_resume(self) -> bool:
        """Whether a paused response may be resumed.

        At least half of the buffer must be empty; otherwise a slow reader would cause
        a new attempt for each token.
        """
        return self._paused and self._buffered <= self._limits.buffer_bytes // 2

    @property
    def buffered_bytes(self) -> int:
        """Bytes delivered but not yet consumed by the reader."""
        return self._buffered

    @property
    def next_check(self) -> float:
        """Monotonic time in seconds at which :meth:`check` is due.

        It is infinite while no attempt is active.
        """
        newest = self.active
        return math.inf if newest is None else self._active[newest].next_check

    def begin(
        self,
        attempt: AttemptId,
        now: float,
        first_token_s: float = 0.0,
        *,
        beside_silent: bool = False,
    ) -> ResumePoint:
        """Make a new attempt the active one.

        Parameters
        ----------
        attempt : AttemptId
            New attempt.
        now : float
            Monotonic time in seconds.
        first_token_s : float
            Seconds allowed for the first token in addition to the progress timeout,
            because the request may be queued and its prompt may be long.
        beside_silent : bool
            Whether the attempt that was active before stays active, too.

        Returns
        -------
        ResumePoint
            Point from which the engine must continue.

        Raises
        ------
        ValueError
            When the response is already complete.
        """
        if self._complete:
            raise ValueError("the answer is already complete")
        if not beside_silent:
            self._active.clear()
        self._paused = False
        progress_due = now + first_token_s + self._limits.progress_timeout_s
        self._active[attempt] = _ActiveAttempt(progress_due)
        return ResumePoint(self._position, self.text)

    def abandon(self, attempt: AttemptId) -> None:
        """Ignore further input from an attempt."""
        self._active.pop(attempt, None)

    def on_frame(
        self, frame: TokenFrame, source: AttemptId, now: float
    ) -> TrackerResult:
        """Process a received chunk.

        Parameters
        ----------
        frame : TokenFrame
            The chunk.
        source : AttemptId
            Attempt on whose connection the chunk arrived. The chunk names its attempt
            as well; a chunk that arrives on the wrong connection is dropped.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        TrackerResult
            A token to deliver, a fault, or no effect.
        """
        active = self._active.get(source)
        if active is None:
            return NO_EFFECT
        self._restart_silence_timer(active, now)
        if frame.attempt != source:
            return NO_EFFECT
        if frame.position != self._position or active.finish_reason is not None:
            return self._fail(source, StreamFault.POSITION)
        if frame.finish_reason is not None:
            return self._on_finish(frame, now)
        return self._accept(frame, now)

    def on_comment(self, source: AttemptId, now: float) -> None:
        """Process a keep-alive comment, which restarts only the silence timeout."""
        active = self._active.get(source)
        if active is not None:
            self._restart_silence_timer(active, now)

    def on_end_marker(self, source: AttemptId, now: float) -> TrackerResult:
        """Process the end marker, which is valid only after a finish reason."""
        active = self._active.get(source)
        if active is None:
            return NO_EFFECT
        if active.finish_reason is None:
            return self._fail(source, StreamFault.TRUNCATED)
        self._active.clear()
        self._finish_reason = active.finish_reason
        self._complete = True
        return TrackerResult(complete=True)

    def on_ended(self, source: AttemptId, fault: StreamFault) -> TrackerResult:
        """Process the end of a connection: a fault unless the response is complete."""
        if source not in self._active:
            return NO_EFFECT
        return self._fail(source, fault)

    def check(self, now: float) -> TrackerResult:
        """End the newest attempt when one of its timeouts has expired."""
        fault = self._expired_timeout(now)
        newest = self.active
        if fault is None or newest is None:
            return NO_EFFECT
        return self._fail(newest, fault)

    def check_silence(self, now: float) -> StreamFault | None:
        """Return which timeout of the newest attempt has expired, if any.

        The attempt stays active, because a silent engine may be sound, and its
        timeouts start again.
        """
        fault = self._expired_timeout(now)
        newest = self.active
        if fault is not None and newest is not None:
            active = self._active[newest]
            active.progress_due = now + self._limits.progress_timeout_s
            if active.silence_due is not None:
                self._restart_silence_timer(active, now)
        return fault

    def record_consumed(self, size: int) -> None:
        """Record that the reader consumed bytes, counted as in :class:`Token`."""
        self._buffered -= size

    def _on_finish(self, frame: TokenFrame, now: float) -> TrackerResult:
        # The last chunk contains a token only when it has text. Counting an empty one
        # as a token would hide a count that is too high by one.
        has_token = frame.text != ""
        if frame.completion_tokens != frame.position + has_token:
            return self._fail(frame.attempt, StreamFault.COUNT)
        result = self._accept(frame, now, may_pause=False) if has_token else NO_EFFECT
        self._active[frame.attempt].finish_reason = frame.finish_reason
        return result

    def _accept(
        self, frame: TokenFrame, now: float, may_pause: bool = True
    ) -> TrackerResult:
        self._position += 1
        self._texts.append(frame.text)
        self._buffered += frame.size
        active = self._active[frame.attempt]
        active.progress_due = now + self._limits.progress_timeout_s
        if len(self._active) > 1:
            self._active = {frame.attempt: active}
        token = Token(frame.position, frame.text, frame.size)
        if may_pause and self._buffered > self._limits.buffer_bytes:
            self._active.clear()
            self._paused = True
            return TrackerResult(token=token, pause=True)
        return TrackerResult(token=token)

    def _expired_timeout(self, now: float) -> StreamFault | None:
        """Return which timeout of the newest attempt has expired, if any."""
        newest = self.active
        if newest is None:
            return None
        active = self._active[newest]
        if active.silence_due is not None and now >= active.silence_due:
            return StreamFault.SILENT
        if now >= active.progress_due:
            silent = active.silence_due is None
            return StreamFault.SILENT if silent else StreamFault.STALLED
        return None

    def _restart_silence_timer(self, active: _ActiveAttempt, now: float) -> None:
        active.silence_due = now + self._limits.silence_timeout_s

    def _fail(self, source: AttemptId, fault: StreamFault) -> TrackerResult:
        del self._active[source]
        return TrackerResult(fault=fault)
