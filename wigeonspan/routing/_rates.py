"""Rate of the requests that an entry sends, used to estimate that of other entries."""

import math

from wigeonspan.routing._load import OtherEntriesLoad

WINDOW_S = 5.0
"""Time constant of the rates in seconds; long compared to single prompts and short
compared to changes in the mix of requests."""


class SendRate:
    """Exponentially decaying sum of the requests of one service sent by this entry."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._requests = 0.0
        self._updated_at = 0.0

    def record(self, prompt_tokens: float, now: float) -> None:
        """Record that a request was sent, with the prompt tokens to prefill."""
        self._decay(now)
        self._tokens += prompt_tokens
        self._requests += 1

    def estimate_other_entries(
        self, other_entries: int, engines: int, now: float
    ) -> OtherEntriesLoad:
        """Estimate the rate of the work that other entries send to each engine.

        Callers are spread over the entries, so each other entry is assumed to send as
        much as this one. Which engines the other entries choose is unknown, so their
        work is assumed to be spread evenly over the engines.

        Parameters
        ----------
        other_entries : int
            Number of other entries.
        engines : int
            Number of engines of the service.
        now : float
            Monotonic time in seconds.
        """
        self._decay(now)
        factor = other_entries / max(1, engines) / WINDOW_S
        return OtherEntriesLoad(
            self._tokens * factor, self._requests * factor, other_entries
        )

    def _decay(self, now: float) -> None:
        decay = math.exp(-max(0.0, now - self._updated_at) / WINDOW_S)
        self._tokens *= decay
        self._requests *= decay
        self._updated_at = now
