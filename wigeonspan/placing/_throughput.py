"""Speed of an engine, estimated from its busy time and its finished work."""

import math

DECAY_S = 5.0
"""Time constant in seconds of the exponential decay of samples; a change of an engine's
speed is detected within about that time."""

PRIOR_WORK_MS = 100.0
"""Weight of the prior slowness against an engine's own samples, as work in
milliseconds."""

MIN_KNOWN_WORK_MS = 300.0
"""Finished work in milliseconds from which an engine's own speed counts as known."""

OVERDUE_FACTOR = 2.0
"""Multiple of the expected time of the largest work in progress; time without finished
work beyond it counts as slowness."""

SLOWNESS_BOUNDS = (0.2, 12.0)
"""Smallest and largest slowness, so that a single wrong sample does not exclude an
engine."""


class Throughput:
    """Busy time and finished work of an engine, both with exponential decay."""

    def __init__(self) -> None:
        self._busy_ms = 0.0
        self._done_ms = 0.0
        self._decayed_at = 0.0
        self._finished_at = 0.0
        # Start of the busy time that is not yet recorded; None when idle.
        self._busy_since: float | None = None

    @property
    def known(self) -> bool:
        """Whether enough work was finished recently to know the engine's own speed."""
        return self._done_ms >= MIN_KNOWN_WORK_MS

    @property
    def finished_at(self) -> float:
        """Monotonic time of the last finished work; 0 before the first."""
        return self._finished_at

    def mark_busy(self, at: float) -> None:
        """Record that the engine is busy from a time, which may be in the future."""
        if self._busy_since is None:
            self._busy_since = at

    def mark_idle(self) -> None:
        """Record that the engine has no work."""
        self._busy_since = None

    def record_finished(self, work_ms: float, now: float) -> None:
        """Record finished work, in milliseconds on an engine of nominal speed."""
        decay = math.exp(-max(0.0, now - self._decayed_at) / DECAY_S)
        self._decayed_at = now
        if work_ms > 0.0:
            self._finished_at = now
        self._busy_ms = self._busy_ms * decay + self._unrecorded_busy_ms(now)
        self._done_ms = self._done_ms * decay + work_ms
        self._busy_since = now

    def slowness(self, prior: float, largest_ms: float, now: float) -> float:
        """Return the ratio of busy time to finished work, biased towards a prior.

        Parameters
        ----------
        prior : float
            Slowness that is assumed without samples, usually the median of all engines.
        largest_ms : float
            Nominal time of the largest work in progress.
        """
        ratio = (self._busy_ms + PRIOR_WORK_MS * prior) / (
            self._done_ms + PRIOR_WORK_MS
        )
        overdue_ms = self._unrecorded_busy_ms(now) - OVERDUE_FACTOR * largest_ms * ratio
        if overdue_ms > 0.0:
            ratio += overdue_ms / (self._done_ms + PRIOR_WORK_MS)
        return min(max(ratio, SLOWNESS_BOUNDS[0]), SLOWNESS_BOUNDS[1])

    def _unrecorded_busy_ms(self, now: float) -> float:
        return (
            0.0
            if self._busy_since is None
            else max(0.0, now - self._busy_since) * 1000.0
        )
