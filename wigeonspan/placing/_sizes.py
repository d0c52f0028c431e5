"""Usual work of prompts, in all and by route."""

WEIGHT = 0.02
"""Weight of a new prompt; the usual work follows the mix within some fifty prompts."""

LARGEST = 1.4
"""Multiple of a route's usual work from which a prompt is among its largest."""


class WorkSizes:
    """Averages of the work of prompts, in milliseconds of a nominal engine."""

    def __init__(self) -> None:
        self._usual_ms: float | None = None
        self._by_route: dict[str, float] = {}

    def note(self, route: str, work_ms: float) -> None:
        """Take a prompt of a route."""
        usual = work_ms if self._usual_ms is None else self._usual_ms
        self._usual_ms = usual + WEIGHT * (work_ms - usual)
        of_route = self._by_route.get(route, work_ms)
        self._by_route[route] = of_route + WEIGHT * (work_ms - of_route)

    def is_long(self, work_ms: float) -> bool:
        """Whether a prompt takes more work than the usual one of all routes."""
        return self._usual_ms is not None and work_ms >= self._usual_ms

    def is_largest(self, route: str, work_ms: float) -> bool:
        """Whether a prompt is among the largest of its route."""
        return work_ms > LARGEST * self._by_route.get(route, work_ms)
