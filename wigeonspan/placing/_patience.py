"""How long callers wait for the first event of a stream."""

from wigeonspan.fleetconfig import Route

PATIENCE_S = 2.0
"""Shortest time in seconds after which callers abandon a stream without an event."""

PATIENCE_OBJECTIVES = 4.0
"""Multiple of the objective that callers wait at least."""

PATIENCE_PAUSES = 8.0
"""Multiple of the pause objective that callers wait at least."""


def patience_s(route: Route) -> float:
    """Return the seconds after which callers abandon a stream without an event."""
    return max(
        PATIENCE_S,
        PATIENCE_OBJECTIVES * route.objective_s,
        PATIENCE_PAUSES * route.pause_objective_s,
    )
