"""Ratio of actual to expected time of plain calls, by target."""

from wigeonspan.targets import TargetId

SAMPLE_WEIGHT = 0.2
"""Weight of a new sample; the last five samples make up two thirds of the estimate."""

MIN_EXPECTED_MS = 10.0
"""Minimum expected time of a sample in milliseconds; shorter calls measure the network
rather than the target."""

FACTOR_BOUNDS = (0.3, 10.0)
"""Smallest and largest factor, so that a single wrong sample neither excludes a target
nor directs all calls to it."""

HALF_LIFE_S = 8.0
"""Half-life in seconds of a factor's difference from the median while there are no
samples, so that a target that was slow is tried again."""


class SlowdownFactors:
    """Ratio of actual to expected time by target.

    Factors are geometric moving averages and decay to the median of all targets.
    """

    def __init__(self) -> None:
        self._factors: dict[TargetId, tuple[float, float]] = {}

    def observe(
        self, target: TargetId, expected_ms: float, actual_ms: float, now: float
    ) -> None:
        """Record the expected and the actual time of a call."""
        if expected_ms < MIN_EXPECTED_MS:
            return
        ratio = min(max(actual_ms / expected_ms, FACTOR_BOUNDS[0]), FACTOR_BOUNDS[1])
        factor = self.factor(target, now)
        self._factors[target] = (factor * ratio**SAMPLE_WEIGHT, now)

    def factor(self, target: TargetId, now: float) -> float:
        """Return the factor of a target; the median before its first sample."""
        factor, at = self._factors.get(target, (0.0, now))
        median = self.median
        if not factor:
            return median
        remaining_weight = 0.5 ** ((now - at) / HALF_LIFE_S)
        return min(
            max(median + (factor - median) * remaining_weight, FACTOR_BOUNDS[0]),
            FACTOR_BOUNDS[1],
        )

    @property
    def median(self) -> float:
        """Median factor of all targets; 1 before the first sample."""
        factors = sorted(factor for factor, _ in self._factors.values())
        return factors[len(factors) // 2] if factors else 1.0
