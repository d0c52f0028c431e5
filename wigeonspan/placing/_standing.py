"""Detection of a standing queue, one that lasts longer than a burst.

With a standing queue, engines serve as many requests as without it, but nearly all of
them late. Refusing the requests that would be late drains the queue, so that admitted
ones are on time again. Detecting a queue by the duration of its delay instead of its
length follows CoDel (Nichols and Jacobson, "Controlling Queue Delay", ACM Queue, 2012).
"""

REQUEST_WEIGHT = 0.08
"""Weight of a new request in the moving share of late requests; about the last dozen
requests determine it."""

HIGH_SHARE = 0.6
"""Share of late requests above which a standing queue is suspected."""

LOW_SHARE = 0.3
"""Share of late requests below which there is no standing queue."""

MIN_STANDING_S = 1.5
"""Seconds since the share became high after which the queue counts as standing. Shorter
bursts are over before refused requests would be retried."""


class StandingQueueDetector:
    """Detect a standing queue from the share of late requests over time."""

    def __init__(self) -> None:
        self._late_share = 0.0
        self._high_since: float | None = None

    def record(self, late: bool, now: float) -> None:
        """Record whether a request is expected to be late."""
        self._late_share += REQUEST_WEIGHT * (late - self._late_share)
        if self._late_share < LOW_SHARE:
            self._high_since = None
        elif self._late_share > HIGH_SHARE and self._high_since is None:
            self._high_since = now

    def is_standing(self, now: float) -> bool:
        """Return whether there is a standing queue."""
        since = self._high_since
        return since is not None and now - since >= MIN_STANDING_S
