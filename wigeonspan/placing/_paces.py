"""How fast each engine produces the events of its streams."""

from wigeonspan.targets import TargetId

WEIGHT = 0.1
"""Weight of a new pause in an engine's usual one."""


class PaceBook:
    """Usual pause between two events of a stream, by engine."""

    def __init__(self) -> None:
        self._pauses_s: dict[TargetId, float] = {}

    def observe(self, target: TargetId, pause_s: float) -> None:
        """Note a pause in seconds between two events of a stream."""
        usual = self._pauses_s.setdefault(target, pause_s)
        self._pauses_s[target] = usual + WEIGHT * (pause_s - usual)

    def usual_s(self, target: TargetId) -> float:
        """Return an engine's usual pause in seconds; 0 when it is not known."""
        return self._pauses_s.get(target, 0.0)

    def forget(self, target: TargetId) -> None:
        """Forget an engine that has restarted or is gone."""
        self._pauses_s.pop(target, None)
