"""Usual work of prompts, in all and by route."""

WEIGHT = 0.02
"""Weight of a new prompt; the usual work follows the mix within some fifty prompts."""

LARGEST = 1.4
"""Multiple of a route's usual work from which a prompt is among its largest."""


class _Average:
    """Mean of the first values, then a fading one."""

    def __init__(self) -> None:
        self.value = 0.0
        self._count = 0

    def add(self, value: float) -> None:
        self._count += 1
        self.value += max(WEIGHT, 1.0 / self._count) * (value - self.value)


class WorkSizes:
    """Averages of the work of prompts, in milliseconds of a nominal engine."""

    def __init__(self) -> None:
        self._of_all = _Average()
        self._by_route: dict[str, _Average] = {}

    def note(self, route: str, work_ms: float) -> None:
        """Take a prompt of a route."""
        self._of_all.add(work_ms)
        self._by_route.setdefault(route, _Average()).add(work_ms)

    def is_long(self, work_ms: float) -> bool:
        """Whether a prompt takes more work than the usual one of all routes."""
        return work_ms >= self._of_all.value

    def is_largest(self, route: str, work_ms: float) -> bool:
        """Whether a prompt is among the largest of its route."""
        average = self._by_route.get(route)
        return average is not None and work_ms > LARGEST * average.value
