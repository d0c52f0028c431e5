"""State of one relayed response across all of its attempts."""

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


class StreamTracker:
    """Track the positions, completeness and timeouts of one response.

    At most one attempt is active; input from any other attempt has no effect. Tokens
    are accepted only at the next position, so a response never loses, repeats or mixes
    tokens, no matter how many attempts it takes.

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
        self._active: AttemptId | None = None
        self._position = start.position
        self._texts = [start.text] if start.text else []
        self._finish_reason: str | None = None
        self._complete = False
        self._buffered = 0
        self._paused = False
        self._progress_due = 0.0
        self._silence_due: float | None = None

    @property
    def active(self) -> AttemptId | None:
        """Attempt whose input is accepted; None when there is none."""
        return self._active

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
        """Finish reason that the active attempt has reported; None before."""
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
        """Monotonic time in seconds at which :meth:`check` is due."""
        if self._silence_due is None:
            return self._progress_due
        return min(self._progress_due, self._silence_due)

    def begin(
        self, attempt: AttemptId, now: float, first_token_s: float = 0.0
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
        self._active = attempt
        self._paused = False
        self._finish_reason = None
        self._progress_due = now + first_token_s + self._limits.progress_timeout_s
        self._silence_due = None
        return ResumePoint(self._position, self.text)

    def abandon(self, attempt: AttemptId) -> None:
        """Ignore further input from an attempt."""
        if attempt == self._active:
            self._active = None

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
        if source != self._active:
            return NO_EFFECT
        self._restart_silence_timer(now)
        if frame.attempt != source:
            return NO_EFFECT
        if frame.position != self._position or self._finish_reason is not None:
            return self._fail(StreamFault.POSITION)
        if frame.finish_reason is not None:
            return self._on_finish(frame, now)
        return self._accept(frame, now)

    def on_comment(self, source: AttemptId, now: float) -> None:
        """Process a keep-alive comment, which restarts only the silence timeout."""
        if source == self._active:
            self._restart_silence_timer(now)

    def on_end_marker(self, source: AttemptId, now: float) -> TrackerResult:
        """Process the end marker, which is valid only after a finish reason."""
        if source != self._active:
            return NO_EFFECT
        if self._finish_reason is None:
            return self._fail(StreamFault.TRUNCATED)
        self._active = None
        self._complete = True
        return TrackerResult(complete=True)

    def on_ended(self, source: AttemptId, fault: StreamFault) -> TrackerResult:
        """Process the end of a connection: a fault unless the response is complete."""
        if source != self._active:
            return NO_EFFECT
        return self._fail(fault)

    def check(self, now: float) -> TrackerResult:
        """Return a fault when a timeout of the active attempt has expired."""
        if self._active is None:
            return NO_EFFECT
        if self._silence_due is not None and now >= self._silence_due:
            return self._fail(StreamFault.SILENT)
        if now >= self._progress_due:
            silent = self._silence_due is None
            return self._fail(StreamFault.SILENT if silent else StreamFault.STALLED)
        return NO_EFFECT

    def record_consumed(self, size: int) -> None:
        """Record that the reader consumed bytes, counted as in :class:`Token`."""
        self._buffered -= size

    def _on_finish(self, frame: TokenFrame, now: float) -> TrackerResult:
        # The last chunk contains a token only when it has text. Counting an empty one
        # as a token would hide a count that is too high by one.
        has_token = frame.text != ""
        if frame.completion_tokens != frame.position + has_token:
            return self._fail(StreamFault.COUNT)
        result = self._accept(frame, now, may_pause=False) if has_token else NO_EFFECT
        self._finish_reason = frame.finish_reason
        return result

    def _accept(
        self, frame: TokenFrame, now: float, may_pause: bool = True
    ) -> TrackerResult:
        self._position += 1
        self._texts.append(frame.text)
        self._buffered += frame.size
        self._progress_due = now + self._limits.progress_timeout_s
        token = Token(frame.position, frame.text, frame.size)
        if may_pause and self._buffered > self._limits.buffer_bytes:
            self._active = None
            self._paused = True
            return TrackerResult(token=token, pause=True)
        return TrackerResult(token=token)

    def _restart_silence_timer(self, now: float) -> None:
        self._silence_due = now + self._limits.silence_timeout_s

    def _fail(self, fault: StreamFault) -> TrackerResult:
        self._active = None
        return TrackerResult(fault=fault)
