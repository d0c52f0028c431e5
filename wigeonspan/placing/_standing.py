"""Whether a queue stands: nearly all requests are late, and for longer than a burst.

While a queue stands, engines serve as many requests as without it, but all of them
late. Refusing those that would be late lets it drain, and what is admitted is on time
again. The idea of judging a queue by how long its delay stays, and not by its length,
is that of CoDel (Nichols and Jacobson, "Controlling Queue Delay", ACM Queue, 2012).
"""

WEIGHT = 0.08
"""Weight of a new request in the share of late ones; a dozen requests decide."""

HIGH_SHARE = 0.6
"""Share of late requests from which a queue may stand."""

LOW_SHARE = 0.3
"""Share below which it is gone."""

STANDS_AFTER_S = 1.5
"""Seconds for which the share must stay high; shorter bursts are over by the time that
refused requests would come back."""


class StandingQueue:
    """Share of late requests over time."""

    def __init__(self) -> None:
        self._share = 0.0
        self._high_since: float | None = None

    def note(self, late: bool, now: float) -> None:
        """Take the forecast for a request."""
        self._share += WEIGHT * (late - self._share)
        if self._share < LOW_SHARE:
            self._high_since = None
        elif self._share > HIGH_SHARE and self._high_since is None:
            self._high_since = now

    def stands(self, now: float) -> bool:
        """Whether late requests have been the usual ones for long enough."""
        since = self._high_since
        return since is not None and now - since >= STANDS_AFTER_S
