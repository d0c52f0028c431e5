"""Budget of repeated sends, kept by each entry without messages to the others."""

from collections import deque

SAFETY = 0.75
"""Share of the budget that is used: entries may disagree for a moment on how many they
are."""


class _Window:
    def __init__(self) -> None:
        self.requests: deque[float] = deque()
        self.repeats: deque[float] = deque()


class RetryBudget:
    """Repeated sends in a sliding window, by service.

    The budget of a service is a share of its requests plus a minimum. The share is of
    this entry's own requests; the minimum is divided among the entries.

    Parameters
    ----------
    ratio : float
        Repeats allowed for each request.
    minimum : float
        Repeats that all entries together may send without any request.
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
        """Note how many entries share the minimum; it never gets smaller.

        An entry that is cut off from the others still counts to them, and they to it.
        """
        self._entries = max(self._entries, count)

    def note_request(self, service: str, now: float) -> None:
        """Count a request of a caller."""
        self._window(service, now).requests.append(now)

    def take(self, service: str, now: float) -> bool:
        """Count a repeated send if the budget allows it."""
        if self.left(service, now) < 1.0:
            return False
        self._windows[service].repeats.append(now)
        return True

    def left(self, service: str, now: float) -> float:
        """Return how many repeated sends the budget still allows."""
        window = self._window(service, now)
        allowed = self._ratio * len(window.requests) + self._minimum / self._entries
        return SAFETY * allowed - len(window.repeats)

    def _window(self, service: str, now: float) -> _Window:
        window = self._windows.setdefault(service, _Window())
        for times in (window.requests, window.repeats):
            while times and times[0] <= now - self._window_s:
                times.popleft()
        return window
