"""Which priority is refused first while an overload lasts.

It answers overload that lasts longer than a burst, in a service with different
priorities: with one queue for all, late requests of the first priority were refused
while less urgent ones, which delayed them, were still admitted.
"""

from wigeonspan.placing._priority import ENGINE_RANKS, PriorityBand
from wigeonspan.placing._standing import StandingQueueDetector

STEP_S = 0.75
"""Seconds between two steps by which another priority is closed; about the time after
which the refusal of the last one is felt at the engines."""

REOPEN_S = 1.0
"""Seconds without a standing queue after which the most urgent closed priority is
opened again. It is longer than ``STEP_S``, so that an overload does not alternate."""

SILENT_S = 5.0
"""Seconds without a request of a priority after which its standing queue no longer
closes others; about the length of a burst. Only requests of its own could show that the
queue is gone."""

FORGET_S = 30.0
"""Seconds without a request after which the share of late requests of a priority is
forgotten. At an entry of a large fleet, a kind may arrive only every few seconds, and
about a dozen requests determine the share."""

MAX_ROOM_AFTER_S = 8.0
"""Largest time in seconds until a retry. Callers that come back later would leave the
engines idle after a burst; few overloads last longer."""


class LoadShedding:
    """Close the least urgent priorities while a more urgent one has a standing queue.

    Late requests of a priority are refused only when all less urgent ones are closed.
    The state is a detector for each band with requests in the last ``FORGET_S``; a
    configuration has at most ten bands.
    """

    def __init__(self) -> None:
        self._detectors: dict[PriorityBand, StandingQueueDetector] = {}
        self._recorded_at: dict[PriorityBand, float] = {}
        # Bands from this rank on are closed; None when all are open.
        self._closed_from: int | None = None
        self._changed_at = float("-inf")
        # Start of the present overload, until all priorities stayed open for a while.
        self._overload_since: float | None = None
        self._standing_at = float("-inf")

    @property
    def bands(self) -> list[PriorityBand]:
        """Bands whose share of late requests is known."""
        return list(self._detectors)

    def record(self, band: PriorityBand, late: bool, now: float) -> None:
        """Record whether a request is expected to be late, and adapt the state."""
        self._recorded_at[band] = now
        self._forget_silent(now)
        self._detectors.setdefault(band, StandingQueueDetector()).record(late, now)
        open_standing = [
            b.first_rank
            for b, detector in self._detectors.items()
            if now - self._recorded_at[b] < SILENT_S
            and detector.is_standing(now)
            and not self.is_closed(b)
        ]
        if open_standing:
            self._standing_at = now
            if self._overload_since is None:
                self._overload_since = now
            self._close_after(min(open_standing), now)
        elif self._overload_since is not None:
            quiet_s = now - max(self._standing_at, self._changed_at)
            # Without requests no step was taken, although the engines became idle.
            for _ in range(_steps_in(quiet_s)):
                self._reopen(now)

    def is_closed(self, band: PriorityBand) -> bool:
        """Return whether a priority yields to a more urgent one by being refused."""
        return self._closed_from is not None and band.first_rank >= self._closed_from

    def room_after_s(self, now: float) -> float:
        """Return the expected seconds until there is room for a refused priority.

        An overload that has lasted for some seconds is expected to last as long again;
        nothing shows its end beforehand.
        """
        if self._overload_since is None:
            return 0.0
        return min(MAX_ROOM_AFTER_S, REOPEN_S + now - self._overload_since)

    def refuses_late(self, band: PriorityBand, now: float) -> bool:
        """Return whether late requests of a priority are refused."""
        detector = self._detectors.get(band)
        if detector is None or not detector.is_standing(now):
            return False
        return all(
            self.is_closed(other)
            for other in self._detectors
            if other.first_rank > band.first_rank
        )

    def _forget_silent(self, now: float) -> None:
        for band, recorded_at in list(self._recorded_at.items()):
            if now - recorded_at >= FORGET_S:
                del self._recorded_at[band]
                del self._detectors[band]

    def _close_after(self, rank: int, now: float) -> None:
        """Close the least urgent open priority behind a rank."""
        behind = [
            b.first_rank
            for b in self._detectors
            if b.first_rank > rank and not self.is_closed(b)
        ]
        if behind and now - self._changed_at >= STEP_S:
            self._closed_from, self._changed_at = max(behind), now

    def _reopen(self, now: float) -> None:
        if self._closed_from is None:
            self._overload_since = None
            return
        closed = sorted(b.first_rank for b in self._detectors if self.is_closed(b))
        self._closed_from = closed[1] if len(closed) > 1 else None
        self._changed_at = now


def _steps_in(quiet_s: float) -> int:
    """Return the number of steps of reopening that a time without a queue allows.

    Each of the ten ranks may be closed, and the last step ends the overload.
    """
    return int(min(quiet_s / REOPEN_S, ENGINE_RANKS + 1))
