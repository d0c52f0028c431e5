"""How much slower than expected each target of plain calls is."""

from wigeonspan.targets import TargetId

WEIGHT = 0.2
"""Weight of a new sample; five samples carry two thirds of the estimate."""

LEAST_MS = 10.0
"""Expected time below which a sample says more of the network than of the target."""

BOUNDS = (0.3, 10.0)
"""Smallest and largest factor; a wrong sample must not rule a target in or out."""

RECALL_S = 8.0
"""Seconds without a sample after which half of a factor's excess is forgotten, so that
a target that was slow is tried again."""


class SpeedBook:
    """Ratio of observed to expected time by target."""

    def __init__(self) -> None:
        self._factors: dict[TargetId, tuple[float, float]] = {}

    def observe(
        self, target: TargetId, expected_ms: float, actual_ms: float, now: float
    ) -> None:
        """Take a sample."""
        if expected_ms < LEAST_MS:
            return
        ratio = min(max(actual_ms / expected_ms, BOUNDS[0]), BOUNDS[1])
        factor = self.factor(target, now)
        self._factors[target] = (factor * ratio**WEIGHT, now)

    def factor(self, target: TargetId, now: float) -> float:
        """Return the factor of a target; the common one before its first sample."""
        factor, at = self._factors.get(target, (0.0, now))
        common = self.common
        if not factor:
            return common
        kept = 0.5 ** ((now - at) / RECALL_S)
        return min(max(common + (factor - common) * kept, BOUNDS[0]), BOUNDS[1])

    @property
    def common(self) -> float:
        """Factor of the usual target."""
        factors = sorted(factor for factor, _ in self._factors.values())
        return factors[len(factors) // 2] if factors else 1.0
