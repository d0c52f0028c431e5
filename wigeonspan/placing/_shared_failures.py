"""Failures of a target that the entries of a large fleet find together.

Load: an engine crashes or goes dark while each of many entries has only a few requests
there. Without a shared judgement each entry pays for finding it out, and each one
probes the engine on its own.
"""

import random
from collections import deque

from wigeonspan.common import HostId
from wigeonspan.placing._work_queue import Work, WorkKind
from wigeonspan.targets import TargetId

MAX_SMALL_FLEET = 16
"""Largest number of entries that judge targets each on its own. Up to this number, an
entry sees enough of the requests at an engine."""

PROBING_ENTRIES = 8
"""Number of entries whose usual rate of probes a larger fleet keeps to."""

BROKEN_IN_ROW = 3
"""Pieces of work in a row that a target must break off to be suspended everywhere. One
prompt that crashes engines is tried at most twice."""

MIN_HOSTS = 2
"""Number of entries that must have sent them: a single one may be cut off itself."""

BROKEN_WITHIN_S = 1.0
"""Seconds within which they must be broken off. Streams last up to a second, so those
that a crash ends are reported within a fraction of it."""


def suspension_s(
    shortest_s: float, longest_s: float, entries: int, rng: random.Random
) -> float:
    """Return the duration of a suspension in seconds.

    In a large fleet it is random, and its range grows with the number of entries, so
    that all of them together probe a target as often as ``PROBING_ENTRIES`` do.

    Parameters
    ----------
    shortest_s : float
        Duration in a small fleet.
    longest_s : float
        Limit on the duration.
    entries : int
        Number of entries of the fleet.
    """
    shortest_s = min(shortest_s, longest_s)
    if entries <= MAX_SMALL_FLEET:
        return shortest_s
    return rng.uniform(
        shortest_s, min(shortest_s * entries / PROBING_ENTRIES, longest_s)
    )


class BrokenWork:
    """The latest work in a row that each target has broken off, of all entries."""

    def __init__(self) -> None:
        self._latest: dict[TargetId, deque[tuple[float, HostId]]] = {}

    def record(self, work: Work, now: float) -> bool:
        """Record broken work and return whether its target is to be suspended."""
        if work.kind is WorkKind.CALL:
            return False
        latest = self._latest.setdefault(work.target, deque(maxlen=BROKEN_IN_ROW))
        latest.append((now, work.host))
        return (
            len(latest) == BROKEN_IN_ROW
            and now - latest[0][0] <= BROKEN_WITHIN_S
            and len({host for _, host in latest}) >= MIN_HOSTS
        )

    def clear(self, target: TargetId) -> None:
        """Forget the broken work of a target that has completed other work."""
        self._latest.pop(target, None)
