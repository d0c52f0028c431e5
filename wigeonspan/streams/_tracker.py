"""State of one relayed answer over all of its attempts."""

from wigeonspan.common import AttemptId
from wigeonspan.streams._messages import (
    NOTHING,
    ResumePoint,
    Step,
    StreamFault,
    StreamLimits,
    Token,
    TokenFrame,
)


class StreamTracker:
    """Positions, completeness and timers of one answer.

    At most one attempt is active; input of any other attempt has no effect. Tokens
    are accepted only at the next position, so an answer never loses, repeats or mixes
    tokens however many attempts it takes.

    Parameters
    ----------
    limits : StreamLimits
        Times and sizes to enforce.
    start : ResumePoint
        Tokens that were accepted before.
    """

    def __init__(
        self, limits: StreamLimits, start: ResumePoint = ResumePoint(0, "")
    ) -> None:
        self._limits = limits
        self._active: AttemptId | None = None
        self._position = start.position
        self._texts = [start.text] if start.text else []
        self._finish_reason: str | None = None
        self._whole = False
        self._buffered = 0
        self._paused = False
        self._progress_due = 0.0
        self._silence_due: float | None = None

    @property
    def active(self) -> AttemptId | None:
        """Attempt whose input counts."""
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
        """Why the answer ended; set once an attempt has reported it."""
        return self._finish_reason

    @property
    def whole(self) -> bool:
        """Whether the end marker came and the count agreed."""
        return self._whole

    @property
    def paused(self) -> bool:
        """Whether the attempt was cancelled because the reader is slow."""
        return self._paused

    @property
    def may_resume(self) -> bool:
        """Whether a paused answer may be resumed.

        Half of the buffer must be free, so that a slow reader does not cause an
        attempt for each token.
        """
        return self._paused and self._buffered <= self._limits.buffer_bytes // 2

    @property
    def buffered_bytes(self) -> int:
        """Bytes delivered and not yet taken by the reader."""
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
        """Make an attempt the active one.

        Parameters
        ----------
        attempt : AttemptId
            New attempt.
        now : float
            Monotonic time in seconds.
        first_token_s : float
            Time until its first token that is allowed on top of the progress
            timeout, because a queue and a long prompt come before it.

        Returns
        -------
        ResumePoint
            What the engine must continue from.
        """
        if self._whole:
            raise ValueError("the answer is whole already")
        self._active = attempt
        self._paused = False
        self._finish_reason = None
        self._progress_due = now + first_token_s + self._limits.progress_timeout_s
        self._silence_due = None
        return ResumePoint(self._position, self.text)

    def abandon(self, attempt: AttemptId) -> None:
        """Stop counting the input of an attempt."""
        if attempt == self._active:
            self._active = None

    def on_frame(self, frame: TokenFrame, source: AttemptId, now: float) -> Step:
        """Take a chunk.

        Parameters
        ----------
        frame : TokenFrame
            The chunk.
        source : AttemptId
            Attempt on whose connection it came. The chunk names its attempt as well;
            one that is answered to the wrong connection is dropped.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        Step
            A token to deliver, a fault, or nothing.
        """
        if source != self._active:
            return NOTHING
        self._note_life(now)
        if frame.attempt != source:
            return NOTHING
        if frame.position != self._position or self._finish_reason is not None:
            return self._fault(StreamFault.POSITION)
        if frame.finish_reason is not None:
            return self._on_finish(frame, now)
        return self._accept(frame, now)

    def on_comment(self, source: AttemptId, now: float) -> None:
        """Note a keep-alive: the connection lives, the answer makes no progress."""
        if source == self._active:
            self._note_life(now)

    def on_end_marker(self, source: AttemptId, now: float) -> Step:
        """Take the end marker; the answer is whole when its count was confirmed."""
        if source != self._active:
            return NOTHING
        if self._finish_reason is None:
            return self._fault(StreamFault.TRUNCATED)
        self._active = None
        self._whole = True
        return Step(whole=True)

    def on_ended(self, source: AttemptId, fault: StreamFault) -> Step:
        """Take the end of a connection, which is a fault unless the answer is whole."""
        if source != self._active:
            return NOTHING
        return self._fault(fault)

    def check(self, now: float) -> Step:
        """Compare the timers of the active attempt with the time."""
        if self._active is None:
            return NOTHING
        if self._silence_due is not None and now >= self._silence_due:
            return self._fault(StreamFault.SILENT)
        if now >= self._progress_due:
            silent = self._silence_due is None
            return self._fault(StreamFault.SILENT if silent else StreamFault.STALLED)
        return NOTHING

    def reader_took(self, size: int) -> None:
        """Note that the reader took bytes, as they were counted in :class:`Token`."""
        self._buffered -= size

    def _on_finish(self, frame: TokenFrame, now: float) -> Step:
        # The last chunk carries a token only when it has text; an empty one would
        # hide a count that is too high by one.
        carries = frame.text != ""
        if frame.completion_tokens != frame.position + carries:
            return self._fault(StreamFault.COUNT)
        step = self._accept(frame, now, may_pause=False) if carries else NOTHING
        self._finish_reason = frame.finish_reason
        return step

    def _accept(self, frame: TokenFrame, now: float, may_pause: bool = True) -> Step:
        self._position += 1
        self._texts.append(frame.text)
        self._buffered += frame.size
        self._progress_due = now + self._limits.progress_timeout_s
        token = Token(frame.position, frame.text, frame.size)
        if may_pause and self._buffered > self._limits.buffer_bytes:
            self._active = None
            self._paused = True
            return Step(token=token, pause=True)
        return Step(token=token)

    def _note_life(self, now: float) -> None:
        self._silence_due = now + self._limits.silence_timeout_s

    def _fault(self, fault: StreamFault) -> Step:
        self._active = None
        return Step(fault=fault)
