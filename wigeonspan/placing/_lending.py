"""Lending of retries between entries.

It answers crashes of several engines at once in a large fleet: the streams that break
belong to many entries, a few to each but not the same number to each, and the equal
part of the platform's minimum allows an entry about two retries. A loan counts as spent
at its lender from the moment at which it is sent, so the sum over all entries does not
grow, whatever is lost or late.
"""

import random
from collections import deque

from msgspec import Struct

from wigeonspan.common import HostId
from wigeonspan.placing._retries import LOAN_LIFETIME_S, RetryBudget

MIN_EQUAL_PART = 5.0
"""Equal part of the minimum from which on entries lend each other nothing; the broken
streams of a crash are a few at each entry, which such a part covers."""

LOW_RETRIES = 2.0
"""Remaining retries below which an entry asks for more. The answer takes as long as two
messages, and another stream may break until then."""

ASK_INTERVAL_S = 0.2
"""Minimum time in seconds between two requests for loans, longer than two messages over
the relays usually take."""

MIN_TO_LEND = 2.0
"""Remaining retries with which an entry lends one, so that it keeps one for itself.
When entries lent their last one, 69 entries with few requests refused up to 81 of 136
repeats in simulation, instead of 58 to 64 without lending: unused loans lapse."""

LOAN_USE_S = 1.0
"""Seconds after its receipt in which a loan may be used. The streams of a crash break
within a few seconds, and a loan that nobody uses is lost to all."""

MAX_WANTED = 16
"""Largest number of retries in one request for loans, about as many as a crashed engine
has streams."""


class Want(Struct, frozen=True):
    """A request for loans.

    Parameters
    ----------
    count : int
        Number of retries asked for.
    asked_ms : int
        Time of the request on the clock of this entry in milliseconds. The lenders
        return it, which bounds the age of a loan however long the messages took.
    """

    count: int
    asked_ms: int


class _Asking:
    """Attempts to take a retry for a service, and the last request for loans."""

    def __init__(self) -> None:
        self.attempts: deque[float] = deque()
        self.asked_at = float("-inf")


class RetryLending:
    """Decide when to ask for retries, when to lend one, and which loans to accept.

    Parameters
    ----------
    budget : RetryBudget
        Budget of this entry.
    rng : random.Random
        Source of the decisions by which about as many entries lend as are needed.
    """

    def __init__(self, budget: RetryBudget, rng: random.Random) -> None:
        self._budget = budget
        self._rng = rng
        self._asking: dict[str, _Asking] = {}
        # Service, lender and request of each loan received, with the time at which the
        # loan can no longer be valid, in the order of receipt.
        self._received: dict[tuple[str, HostId, int], float] = {}

    @property
    def applies(self) -> bool:
        """Whether the entries lend each other retries."""
        has_others = self._budget.entries > 1
        return has_others and self._budget.equal_part < MIN_EQUAL_PART

    def spares_retries(self, service: str, now: float) -> bool:
        """Return whether a repeat should take as few retries as possible."""
        if not self.applies:
            return False
        half = self._budget.allowance(service, now) / 2.0
        return self._budget.own_remaining(service, now) < half

    def want_after_attempt(self, service: str, now: float) -> Want | None:
        """Record an attempt to take a retry; return a request for loans if it is due.

        The attempts of the last second, refused ones included, tell how many are needed
        in the next one.
        """
        if not self.applies:
            return None
        asking = self._asking.setdefault(service, _Asking())
        asking.attempts.append(now)
        while asking.attempts[0] <= now - LOAN_USE_S:
            asking.attempts.popleft()
        has_enough = self._budget.remaining(service, now) >= LOW_RETRIES
        if has_enough or now - asking.asked_at < ASK_INTERVAL_S:
            return None
        asking.asked_at = now
        count = min(max(len(asking.attempts), int(LOW_RETRIES)), MAX_WANTED)
        return Want(count, int(now * 1000.0))

    def lend(self, service: str, count: int, now: float) -> bool | None:
        """Decide whether to lend a retry to an entry that wants some, and record it.

        Returns
        -------
        bool or None
            Whether one is lent; None when this entry has one to spare but leaves it to
            the others.
        """
        if not self.applies:
            return False
        budget = self._budget
        remaining = budget.own_remaining(service, now, LOAN_LIFETIME_S)
        half = budget.allowance(service, now, LOAN_LIFETIME_S) / 2.0
        if remaining < MIN_TO_LEND or remaining <= half:
            return False
        if self._rng.random() >= count / (budget.entries - 1):
            return None
        budget.record_lent(service, now)
        return True

    def take_lapsed(self, now: float) -> dict[str, int]:
        """Return the loans that have lapsed since the last call, by service."""
        return self._budget.take_lapsed(now)

    def accept(
        self, service: str, lender: HostId, count: int, asked_ms: int, now: float
    ) -> bool:
        """Accept a loan unless it is too old, foreign or a repetition.

        Parameters
        ----------
        asked_ms : int
            Time of the request that it answers, as in :class:`Want`.
        """
        asked_at = asked_ms / 1000.0
        for key, invalid_at in list(self._received.items()):
            if invalid_at <= now:
                del self._received[key]
        lapses_at = min(now + LOAN_USE_S, asked_at + LOAN_LIFETIME_S)
        key = (service, lender, asked_ms)
        is_known = key in self._received
        if not self.applies or asked_at > now or lapses_at <= now or is_known:
            return False
        if service not in self._asking:
            return False
        self._received[key] = asked_at + LOAN_LIFETIME_S
        for _ in range(count):
            self._budget.add_borrowed(service, lapses_at, now)
        return True
