"""Turns by which entries share the limits of targets without messages per request.

The limit of a target holds for all entries together. Each entry has a part of equal
size, in turns: after the limit is named, the entry of rank 0 may send the first
request, the entry of rank 1 the second one, and so on. So the target gets an even
stream of requests at the rate that it named, from 8 entries as from 195, and the parts
need no agreement. A turn that is not used ends after a while; saved turns of many
entries would arrive together.
"""

import math
from collections import deque

from msgspec import Struct

TURN_S = 1.0
"""Seconds for which an entry may use its turn, in addition to ``TURN_REQUESTS``."""

TURN_REQUESTS = 2.5
"""Number of turns of other entries that may begin before a turn ends. With ``TURN_S``
it bounds the requests that saved turns add to a span of a few seconds to less than half
of what the limit allows there."""

MIN_RATE = 1e-3
"""Smallest limit in requests a second. The time between two turns must be finite, and a
limit that is lower by mistake must not last for days."""

MAX_RATE = 1e6
"""Largest limit in requests a second, more than a target can serve. The number of turns
until now must be finite."""

MIN_INTERVAL_SHARE = 0.5
"""Minimum time between two requests of an entry as a share of the time between its
turns, which move when the limit or the number of entries changes."""

ANNOUNCE_INTERVAL_S = 1.0
"""Seconds after which an unchanged limit is announced to the other entries again, for
those that have started or missed it."""

SHRINK_DELAY_S = 5.0
"""Seconds for which a smaller number of entries must hold before the parts grow. A
control host that has just started lists only the entries that it has heard from."""


class _Limit(Struct):
    """Limit of one target.

    Parameters
    ----------
    rate : float
        Requests a second.
    since : float
        Time at which the limit became known, the start of the turns.
    confirmed_at : float
        Time at which it was last named.
    announced_at : float
        Time at which it was last announced among the entries.
    used_at : float
        Time of this entry's latest request.
    """

    rate: float
    since: float
    confirmed_at: float
    announced_at: float = -math.inf
    used_at: float = -math.inf


class SharedRateLimits:
    """Limits by target, and the turns of this entry."""

    def __init__(self) -> None:
        self._limits: dict[str, _Limit] = {}
        self._rank = 0
        self._entries = 1
        # Recent numbers of entries with the time at which they were last reported.
        self._counts: deque[tuple[float, int]] = deque()

    @property
    def rates(self) -> dict[str, float]:
        """Requests a second by target, for the targets with a limit."""
        return {target: limit.rate for target, limit in self._limits.items()}

    def set_entries(self, rank: int, entries: int, now: float) -> None:
        """Set the number of entries and the rank of this one among them.

        Parameters
        ----------
        rank : int
            Number of entries whose turns come before those of this one.
        entries : int
            Number of entries, this one included.
        """
        self._rank = rank
        self._counts.append((now, max(1, entries)))
        self._update_entries(now)

    def learn(self, target: str, rate: float, now: float) -> bool:
        """Record that a target names a limit; return whether it is new or different.

        A positive rate outside ``MIN_RATE`` to ``MAX_RATE`` counts as the nearest one
        of them.
        """
        rate = min(max(rate, MIN_RATE), MAX_RATE)
        limit = self._limits.get(target)
        if limit is None:
            self._limits[target] = _Limit(rate, now, now)
            return True
        changed = limit.rate != rate
        limit.rate, limit.confirmed_at = rate, now
        return changed

    def announcement_due(self, target: str, now: float, *, changed: bool) -> bool:
        """Return whether to announce the limit of a target, and assume that it is."""
        limit = self._limits[target]
        due = changed or now - limit.announced_at >= ANNOUNCE_INTERVAL_S
        if due:
            limit.announced_at = now
        return due

    def record_announcement(self, target: str, now: float) -> None:
        """Record that another entry has announced the limit of a target."""
        self._limits[target].announced_at = now

    def lift(self, target: str, sent_at: float) -> bool:
        """Record an answer without a limit; return whether the target had one.

        Parameters
        ----------
        sent_at : float
            Time at which the answered request was sent. An answer to an earlier request
            than the latest one with the limit does not lift it.
        """
        limit = self._limits.get(target)
        if limit is None or sent_at <= limit.confirmed_at:
            return False
        del self._limits[target]
        return True

    def forget(self, target: str) -> None:
        """Remove a target that is gone, has restarted or whose limit is over."""
        self._limits.pop(target, None)

    def take(self, target: str, now: float) -> None:
        """Record a request to a target, which uses the turn of this entry."""
        if target in self._limits:
            self._limits[target].used_at = now

    def wait_s(self, target: str, now: float) -> float:
        """Return the seconds until this entry may send a request to a target."""
        limit = self._limits.get(target)
        if limit is None:
            return 0.0
        self._update_entries(now)
        interval_s = self._entries / limit.rate
        first_turn_at = limit.since + self._rank / limit.rate
        number = math.floor((now - first_turn_at) / interval_s)
        turn_at = first_turn_at + max(0, number) * interval_s
        turn_ends_at = turn_at + min(interval_s, TURN_S + TURN_REQUESTS / limit.rate)
        if turn_ends_at <= now or limit.used_at >= turn_at:
            turn_at += interval_s
        earliest_at = limit.used_at + MIN_INTERVAL_SHARE * interval_s
        return max(0.0, turn_at - now, earliest_at - now)

    def own_rate(self, target: str) -> float:
        """Return the requests a second that this entry may send to a target."""
        limit = self._limits.get(target)
        return math.inf if limit is None else limit.rate / self._entries

    def _update_entries(self, now: float) -> None:
        """Use the largest number of entries of the last seconds."""
        while len(self._counts) > 1 and self._counts[1][0] <= now - SHRINK_DELAY_S:
            self._counts.popleft()
        if self._counts:
            self._entries = max(count for _, count in self._counts)
