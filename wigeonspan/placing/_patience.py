"""Time that callers wait for the first event of a stream."""

from wigeonspan.fleetconfig import Route

MIN_ABANDON_S = 2.0
"""Minimum time in seconds that callers wait for the first event."""

OBJECTIVE_FACTOR = 4.0
"""Multiple of the latency objective that callers wait at least."""

PAUSE_FACTOR = 8.0
"""Multiple of the pause objective that callers wait at least."""


def abandon_after_s(route: Route) -> float:
    """Return the seconds after which callers abandon a stream without an event.

    It is the largest of the fixed minimum and the multiples of the route's objectives.
    """
    return max(
        MIN_ABANDON_S,
        OBJECTIVE_FACTOR * route.objective_s,
        PAUSE_FACTOR * route.pause_objective_s,
    )
