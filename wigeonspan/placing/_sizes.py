"""Mean prefill work of prompts, over all routes and by route."""

MIN_WEIGHT = 0.02
"""Minimum weight of a new prompt; the mean follows a change of the traffic within about
fifty prompts."""

LARGEST_FACTOR = 1.4
"""Multiple of a route's mean work above which a prompt is among its largest."""


class _DecayingMean:
    """Arithmetic mean of the first values, then an exponential moving average."""

    def __init__(self) -> None:
        self.value = 0.0
        self._count = 0

    def add(self, value: float) -> None:
        self._count += 1
        self.value += max(MIN_WEIGHT, 1.0 / self._count) * (value - self.value)


class WorkSizes:
    """Mean work of prompts, in milliseconds on an engine of nominal speed."""

    def __init__(self) -> None:
        self._overall = _DecayingMean()
        self._by_route: dict[str, _DecayingMean] = {}

    def record(self, route: str, work_ms: float) -> None:
        """Record the work of a prompt."""
        self._overall.add(work_ms)
        self._by_route.setdefault(route, _DecayingMean()).add(work_ms)

    def is_long(self, work_ms: float) -> bool:
        """Return whether a prompt takes at least the mean work of all routes."""
        return work_ms >= self._overall.value

    def is_largest(self, route: str, work_ms: float) -> bool:
        """Return whether a prompt is among the largest of its route."""
        mean = self._by_route.get(route)
        return mean is not None and work_ms > LARGEST_FACTOR * mean.value
