"""Mean pause between the events of an engine's streams."""

from wigeonspan.targets import TargetId

PAUSE_WEIGHT = 0.1
"""Weight of a new pause in the moving average of an engine."""


class EventPauses:
    """Moving average of the pause between two events of a stream, by engine."""

    def __init__(self) -> None:
        self._pauses_s: dict[TargetId, float] = {}

    def observe(self, target: TargetId, pause_s: float) -> None:
        """Record a pause in seconds between two events of a stream."""
        mean = self._pauses_s.setdefault(target, pause_s)
        self._pauses_s[target] = mean + PAUSE_WEIGHT * (pause_s - mean)

    def mean_s(self, target: TargetId) -> float:
        """Return an engine's mean pause in seconds; 0 when it is not known."""
        return self._pauses_s.get(target, 0.0)

    def forget(self, target: TargetId) -> None:
        """Remove an engine that has restarted or is gone."""
        self._pauses_s.pop(target, None)
