"""Verdicts that a control host keeps for entries that start."""

from collections.abc import Iterable

from wigeonspan.quarantine._messages import PartQuarantined

MEMORY_S = 15.0
"""Seconds for which a verdict is kept after the last entry has reported it; longer than
all entries take to start when they were killed at the same moment."""

MAX_VERDICTS = 250
"""Maximum number of verdicts that are kept; those reported longest ago are removed
first."""


class VerdictMemory:
    """Verdicts that entries have reported recently.

    Entries pass their verdicts on to each other, but when all of them start anew, only
    the control hosts still know what they had found.
    """

    def __init__(self) -> None:
        # Verdicts with the time of the report, the latest report last.
        self._verdicts: dict[str, tuple[PartQuarantined, float]] = {}

    def record(self, verdicts: Iterable[PartQuarantined], now: float) -> None:
        """Record the verdicts that an entry holds."""
        for verdict in verdicts:
            known = self._verdicts.pop(verdict.part, None)
            if known is not None and known[0].trials > verdict.trials:
                # The reporting entry has not heard of a trial yet.
                verdict = _aged(*known, now)
            self._verdicts[verdict.part] = (verdict, now)
        while len(self._verdicts) > MAX_VERDICTS:
            del self._verdicts[next(iter(self._verdicts))]

    def missing(
        self, held: Iterable[PartQuarantined], now: float
    ) -> list[PartQuarantined]:
        """Return the verdicts that an entry does not hold."""
        if not self._verdicts:
            return []
        for part in [p for p, (_, at) in self._verdicts.items() if now - at > MEMORY_S]:
            del self._verdicts[part]
        parts = {verdict.part for verdict in held}
        return [
            _aged(verdict, at, now)
            for part, (verdict, at) in self._verdicts.items()
            if part not in parts
        ]


def _aged(verdict: PartQuarantined, reported_at: float, now: float) -> PartQuarantined:
    """Return a verdict with the ages that it has by now."""
    later_s = max(0.0, now - reported_at)
    return PartQuarantined(
        verdict.part,
        verdict.age_s + later_s,
        verdict.trials,
        verdict.idle_s + later_s,
    )
