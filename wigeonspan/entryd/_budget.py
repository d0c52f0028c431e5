"""Retry budget, which keeps faults from multiplying the load."""

MAX_SAVED_RETRIES = 50.0
"""Largest number of retries that are saved up. It covers the requests that fail
together when one engine crashes."""


class RetryBudget:
    """Limits retries in proportion to first attempts.

    Parameters
    ----------
    ratio : float
        Number of retries that each first attempt adds.
    """

    def __init__(self, ratio: float) -> None:
        self._ratio = ratio
        self._saved = MAX_SAVED_RETRIES

    @property
    def saved(self) -> float:
        """Number of retries that are available now."""
        return self._saved

    def earn(self) -> None:
        """Add the retries that a first attempt earns."""
        self._saved = min(MAX_SAVED_RETRIES, self._saved + self._ratio)

    def spend(self) -> bool:
        """Use one retry and return whether one was available."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
