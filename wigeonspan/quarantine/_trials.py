"""Trials of quarantined parts: when and by which entry.

A quarantined part is never written on, so only a request that is let through can show
that the verdict was wrong. All entries together may let two through. The entries take
turns, so that no two of them try at once although they do not agree on anything.
"""

import math
from zlib import crc32

from msgspec import Struct

from wigeonspan.quarantine._messages import PartQuarantined

TRIAL_AFTER_S = (60.0, 240.0)
"""Seconds from the beginning of the quarantine to the first trial, and from there to
the second one. There is no third: after the verdict at most three requests with the
part may be sent, and one of these may be sent by an entry that missed the verdict."""

TURN_S = 3.0
"""Seconds for which an entry may let a trial through. The announcement of a trial is
repeated within the turn."""

TURN_MARGIN_S = 0.3
"""Seconds at both ends of a turn that are not used, since the entries learn of the
beginning of a quarantine at slightly different times."""

WIDEN_S = 30.0
"""Seconds of a trial being overdue after which one entry more has the turn at the same
time. Otherwise the trial of a rare part would not take place in a large fleet."""

ENTRIES_SETTLE_S = 5.0
"""Seconds without trials after the rank of this entry changes, since the ranks of the
others change at other times."""

ANNOUNCE_INTERVAL_S = 0.8
"""Seconds after which a verdict is announced again, for entries that have started or
missed it. They hear three announcements within 3 s."""

ANNOUNCE_STEP_S = 0.3
"""Seconds by which the announcement of each further entry is later than that of the
first one; longer than a datagram takes."""

RETURN_S = (5.0, 60.0)
"""Minimum and maximum seconds after which a refused caller may return."""


class Quarantine(Struct, eq=False):
    """Quarantine of one part.

    Parameters
    ----------
    trial_at : float
        Time of the latest trial, or when it became known.
    requested_at : float
        Time of the latest known request.
    announced_at : float
        Time at which the verdict was last announced among the entries.
    repeats : int
        Number of times that this entry still announces news of it regardless of others.
    """

    began_at: float
    trials: int = 0
    trial_at: float = -math.inf
    requested_at: float = -math.inf
    announced_at: float = -math.inf
    repeats: int = 0

    @property
    def trial_due_at(self) -> float:
        """Time of the next trial; infinite when there is none."""
        if self.trials >= len(TRIAL_AFTER_S):
            return math.inf
        wait_s = TRIAL_AFTER_S[self.trials]
        return (self.trial_at if self.trials else self.began_at) + wait_s

    def verdict(self, part: str, now: float) -> PartQuarantined:
        """Return the message about this quarantine of a part."""
        return PartQuarantined(
            part,
            max(0.0, now - self.began_at),
            self.trials,
            max(0.0, now - self.requested_at),
        )

    def return_s(self, now: float) -> float:
        """Return the seconds after which a refused caller may return."""
        return min(max(self.trial_due_at - now, RETURN_S[0]), RETURN_S[1])


class Turns:
    """Turns of this entry among all entries."""

    def __init__(self) -> None:
        self._rank = 0
        self._count = 0
        self._changed_at = -math.inf

    def set_entries(self, rank: int, count: int, now: float) -> None:
        """Set the number of entries and the rank of this one among them."""
        count = max(1, count)
        rank %= count
        if (rank, count) != (self._rank, self._count):
            self._rank, self._count, self._changed_at = rank, count, now

    def position(self, part: str) -> int:
        """Return how many entries come before this one for a part."""
        if not self._count:
            return 0
        return (self._rank - crc32(part.encode(errors="replace"))) % self._count

    def may_try(self, part: str, quarantine: Quarantine, now: float) -> bool:
        """Return whether this entry may let a trial through now."""
        overdue_s = now - quarantine.trial_due_at
        if (
            overdue_s < 0.0
            or not self._count
            or now - self._changed_at < ENTRIES_SETTLE_S
        ):
            return False
        turn, within_s = divmod(now - quarantine.began_at, TURN_S)
        if not TURN_MARGIN_S <= within_s <= TURN_S - TURN_MARGIN_S:
            return False
        first = (self.position(part) - int(turn)) % self._count
        return first <= overdue_s // WIDEN_S

    def announcement_due(self, part: str, quarantine: Quarantine, now: float) -> bool:
        """Return whether this entry is to repeat the verdict on a part."""
        wait_s = ANNOUNCE_INTERVAL_S + ANNOUNCE_STEP_S * self.position(part)
        return now - quarantine.announced_at >= wait_s
