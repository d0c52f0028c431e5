"""Budget of retries, so that a fault does not multiply the load."""

MAX_SAVED_RETRIES = 50.0
"""Retries that may be saved up: the requests of one engine that crashes at once."""


class RetryBudget:
    """Retries allowed in proportion to first attempts.

    Parameters
    ----------
    ratio : float
        Retries earned by each first attempt.
    """

    def __init__(self, ratio: float) -> None:
        self._ratio = ratio
        self._saved = MAX_SAVED_RETRIES

    @property
    def saved(self) -> float:
        """Retries that may be made now."""
        return self._saved

    def earn(self) -> None:
        """Note a first attempt."""
        self._saved = min(MAX_SAVED_RETRIES, self._saved + self._ratio)

    def spend(self) -> bool:
        """Take one retry; return whether there was one."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
