"""Retry budget, which keeps retries from multiplying the load during a fault."""

MAX_AVAILABLE_RETRIES = 50.0
"""Largest number of retries that can accumulate. It covers the requests that fail
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
        self._available = MAX_AVAILABLE_RETRIES

    @property
    def available(self) -> float:
        """Number of retries left; a retry needs at least 1."""
        return self._available

    def record_first_attempt(self) -> None:
        """Add ``ratio`` retries for a first attempt."""
        self._available = min(MAX_AVAILABLE_RETRIES, self._available + self._ratio)

    def try_spend(self) -> bool:
        """Use one retry and return whether one was available."""
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True
