"""Retry budget, enforced by each entry without messages to the others."""

from collections import deque

BUDGET_SHARE = 0.75
"""Share of the budget that is used. The rest is a reserve because entries may briefly
disagree on their number."""


class _Window:
    def __init__(self) -> None:
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()


class RetryBudget:
    """Limit retries in a sliding window, by service.

    The budget of a service is a share of its requests plus a minimum. The share
    applies to this entry's own requests; the minimum is divided among the entries.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request.
    minimum : float
        Retries that all entries together may send in a window even without requests.
    window_s : float
        Length of the window in seconds.
    """

    def __init__(self, ratio: float, minimum: float, window_s: float) -> None:
        self._ratio = ratio
        self._minimum = minimum
        self._window_s = window_s
        self._entries = 1
        self._windows: dict[str, _Window] = {}

    def set_entries(self, count: int) -> None:
        """Set how many entries share the minimum; a smaller number is ignored.

        Entries that are only partitioned from each other still share the minimum.
        """
        self._entries = max(self._entries, count)

    def record_request(self, service: str, now: float) -> None:
        """Record a request of a caller."""
        self._window(service, now).requests.append(now)

    def try_spend(self, service: str, now: float) -> bool:
        """Record a retry if the budget allows it; return whether it does."""
        if self.remaining(service, now) < 1.0:
            return False
        self._windows[service].retries.append(now)
        return True

    def remaining(self, service: str, now: float) -> float:
        """Return how many retries the budget still allows."""
        window = self._window(service, now)
        allowed = self._ratio * len(window.requests) + self._minimum / self._entries
        return BUDGET_SHARE * allowed - len(window.retries)

    def _window(self, service: str, now: float) -> _Window:
        window = self._windows.setdefault(service, _Window())
        for times in (window.requests, window.retries):
            while times and times[0] <= now - self._window_s:
                times.popleft()
        return window
