"""Time limits for engines, without I/O."""

from wigeonspan.fleetconfig import Route
from wigeonspan.placing import Decision, Plan, abandon_after_s

PREFILL_TIMEOUT_FACTOR = 4.0
"""Multiple of the expected time of a prefill within which an engine must finish at
least one prompt; otherwise another engine prefills the request's prompt."""

MIN_PREFILL_TIMEOUT_S = 1.0
"""Shortest time limit for a prefill in seconds; long enough for the largest prompt."""

STALL_PAUSE_FACTOR = 4.0
"""Multiple of the pause objective after which a stream that may be resumed continues at
another engine."""

STALL_PACE_FACTOR = 12.0
"""Multiple of the engine's usual time between events, or to the first event, after
which it counts as stalled: an engine at a tenth of its usual pace is slow but has not
stalled."""

MIN_STALL_TIMEOUT_S = 0.9
"""Shortest time limit in seconds for the next event of a stream; a little less than
half of the shortest time that callers wait."""

MAX_STALL_WAIT_SHARE = 0.75
"""Largest share of the time that callers wait that the limit based on an engine's usual
pace may take up; the rest is left for the engine that continues the stream."""

MIN_SILENCE_SHARE = 0.25
"""Largest part of the time-out of a route that a target may take for a plain call
before it counts as silent, where the objective is longer."""


def prefill_timeout_s(plan: Plan) -> float:
    """Return the seconds within which an engine must finish at least one prompt.

    The limit detects engines that stop responding while prompts wait at them.
    """
    expected_ms = plan.wait_ms + plan.cost_ms
    return max(MIN_PREFILL_TIMEOUT_S, PREFILL_TIMEOUT_FACTOR * expected_ms / 1000.0)


def stall_timeout_s(route: Route, plan: Plan, typical_s: float) -> float:
    """Return the seconds within which a resumable stream must deliver an event.

    The limit detects engines that have stalled, but not those that are only slow.

    Parameters
    ----------
    typical_s : float
        The engine's usual time to the next event in seconds; 0 when it is not known.
    """
    slow_s = min(
        STALL_PACE_FACTOR * typical_s, MAX_STALL_WAIT_SHARE * abandon_after_s(route)
    )
    expected_s = PREFILL_TIMEOUT_FACTOR * plan.cost_ms / 1000.0
    if plan.decision is Decision.SPLIT:
        expected_s = 0.0
    pauses_s = STALL_PAUSE_FACTOR * route.pause_objective_s
    return max(MIN_STALL_TIMEOUT_S, pauses_s, expected_s, slow_s)


def shows_silence(route: Route, waited_s: float) -> bool:
    """Return whether a target that has not answered a plain call counts as silent.

    A caller that waits only briefly shows nothing about the target.
    """
    return waited_s >= min(route.objective_s, MIN_SILENCE_SHARE * route.timeout_s)
