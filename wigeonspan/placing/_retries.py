"""Retry budget of one entry.

It answers crashes of several engines at once, whose broken streams are repeated while
the platform limits the repeats of all entries together. Each entry keeps to its own
part without messages to the others; what they lend each other is in ``_lending``.
"""

from bisect import insort
from collections import deque

from msgspec import Struct

BUDGET_SHARE = 0.75
"""Share of the budget that is used. The rest is a reserve because entries may briefly
disagree on their number."""

LIST_SETTLE_S = 1.0
"""Seconds without a longer list of entries after which it is taken to be complete when
few of the entries were ready at first. Starting ones send a heartbeat every 0.15 s."""

LOAN_LIFETIME_S = 1.5
"""Seconds from the request for a loan to the last time at which it may be used: a
second to use it, and the largest usual delay of the messages."""


class SpentRetry(Struct, frozen=True):
    """A retry that was taken from the budget.

    Parameters
    ----------
    spent_at : float
        Time at which it was taken.
    lapses_at : float or None
        Time at which the loan that it used lapses; None for an own retry.
    """

    spent_at: float
    lapses_at: float | None = None


class _Window:
    def __init__(self) -> None:
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()
        # Times at which loans to others lapse, which is when they count as spent.
        self.lent: deque[float] = deque()
        # Times at which loans of others lapse, in order.
        self.borrowed: deque[float] = deque()
        self.lapsed = 0


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
    entries : int
        Number of entries; 0 while it is unknown, which leaves the minimum unused.
    """

    def __init__(
        self, ratio: float, minimum: float, window_s: float, entries: int = 1
    ) -> None:
        self._ratio = ratio
        self._minimum = minimum
        self._window_s = window_s
        self._entries = entries
        # Largest number of entries in lists that may be incomplete, and since when.
        self._listed = 0
        self._listed_at = 0.0
        self._windows: dict[str, _Window] = {}

    @property
    def entries(self) -> int:
        """Number of entries that share the minimum; 0 while it is unknown."""
        return self._entries

    @property
    def equal_part(self) -> float:
        """Part of the minimum that this entry may use."""
        return self._minimum / self._entries if self._entries else 0.0

    def set_entries(self, count: int) -> None:
        """Set how many entries share the minimum; a smaller number is ignored.

        Entries that are only partitioned from each other still share the minimum.
        """
        self._entries = max(self._entries, count)

    def record_list(self, count: int, now: float, *, is_running: bool) -> None:
        """Set the number of entries from a list, which may be incomplete at first.

        When all entries start at once, the first lists name only some of them, of which
        few are ready. Then the list counts when it has stopped growing.

        Parameters
        ----------
        is_running : bool
            Whether most other entries of the list are ready.
        """
        if self._entries or (is_running and not self._listed):
            self.set_entries(count)
        elif count > self._listed:
            self._listed, self._listed_at = count, now

    def _settle(self, now: float) -> None:
        """Use the number of entries in the lists once they have stopped growing."""
        if (
            not self._entries
            and self._listed
            and now - self._listed_at >= LIST_SETTLE_S
        ):
            self.set_entries(self._listed)

    def record_request(self, service: str, now: float) -> None:
        """Record a request of a caller."""
        self._window(service, now).requests.append(now)

    def try_spend(self, service: str, now: float) -> bool:
        """Record a retry if the budget allows it; return whether it does."""
        return self.spend(service, now) is not None

    def spend(self, service: str, now: float) -> SpentRetry | None:
        """Record a retry and return it; None if the budget does not allow it.

        Loans of others are used first, because they lapse.
        """
        window = self._window(service, now)
        if window.borrowed:
            return SpentRetry(now, window.borrowed.popleft())
        if self.own_remaining(service, now) < 1.0:
            return None
        window.retries.append(now)
        return SpentRetry(now)

    def refund(self, service: str, spent: SpentRetry, now: float) -> None:
        """Take back the record of a retry that was not sent."""
        window = self._window(service, now)
        if spent.lapses_at is None:
            if spent.spent_at in window.retries:
                window.retries.remove(spent.spent_at)
        elif spent.lapses_at > now:
            insort(window.borrowed, spent.lapses_at)

    def remaining(self, service: str, now: float) -> float:
        """Return how many retries the budget still allows, with loans of others."""
        own = self.own_remaining(service, now)
        loans = len(self._windows[service].borrowed)
        return max(0.0, own) + loans if loans else own

    def own_remaining(self, service: str, now: float, within_s: float = 0.0) -> float:
        """Return how many retries the budget still allows without loans of others.

        Parameters
        ----------
        within_s : float
            Seconds for which the requests that count must stay in the window.
        """
        allowed = self.allowance(service, now, within_s)
        window = self._windows[service]
        return allowed - len(window.retries) - len(window.lent)

    def allowance(self, service: str, now: float, within_s: float = 0.0) -> float:
        """Return how many own retries a window allows.

        Parameters
        ----------
        within_s : float
            Seconds for which the requests that count must stay in the window.
        """
        requests = self._window(service, now).requests
        oldest = now + within_s - self._window_s
        count = sum(at > oldest for at in requests) if within_s else len(requests)
        return BUDGET_SHARE * (self._ratio * count + self.equal_part)

    def record_lent(self, service: str, now: float) -> None:
        """Record a loan to another entry as spent when it lapses at the latest.

        It counts from now on, and leaves the window after any use of it.
        """
        self._window(service, now).lent.append(now + LOAN_LIFETIME_S)

    def add_borrowed(self, service: str, lapses_at: float, now: float) -> None:
        """Add a retry that another entry has lent."""
        insort(self._window(service, now).borrowed, lapses_at)

    def take_lapsed(self, now: float) -> dict[str, int]:
        """Return how many loans of others have lapsed since the last call, by service.

        Services without any are left out.
        """
        lapsed = {}
        for service in self._windows:
            window = self._window(service, now)
            if window.lapsed:
                lapsed[service], window.lapsed = window.lapsed, 0
        return lapsed

    def _window(self, service: str, now: float) -> _Window:
        self._settle(now)
        window = self._windows.setdefault(service, _Window())
        for times in (window.requests, window.retries, window.lent):
            while times and times[0] <= now - self._window_s:
                times.popleft()
        while window.borrowed and window.borrowed[0] <= now:
            window.borrowed.popleft()
            window.lapsed += 1
        return window
