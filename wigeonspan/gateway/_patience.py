"""Time limits for engines, without I/O."""

from wigeonspan.fleetconfig import Route
from wigeonspan.placing import Decision, Plan, abandon_after_s

PREFILL_TIMEOUT_FACTOR = 4.0
"""Multiple of the expected time of a prefill within which an engine must finish some
prompt; otherwise another engine prefills the prompt."""

MIN_PREFILL_TIMEOUT_S = 1.0
"""Shortest such limit in seconds; long enough for a prompt of the largest size."""

STALL_PAUSE_FACTOR = 4.0
"""Multiple of the pause objective after which a stream that may be resumed continues at
another engine."""

STALL_PACE_FACTOR = 12.0
"""Multiple of the engine's usual time between events, or to the first event, after
which it counts as stalled: an engine at a tenth of its usual pace is slow but works."""

MIN_STALL_TIMEOUT_S = 0.9
"""Shortest such limit in seconds; a little less than half of the least time that
callers wait."""

MAX_STALL_ABANDON_SHARE = 0.75
"""Share of the time that callers wait. It bounds the limit based on the usual time; the
rest is for the engine that continues the stream."""


def prefill_timeout_s(plan: Plan) -> float:
    """Return the seconds within which an engine must finish some prompt.

    The limit detects engines that stop responding while prompts wait there.
    """
    expected_ms = plan.wait_ms + plan.cost_ms
    return max(MIN_PREFILL_TIMEOUT_S, PREFILL_TIMEOUT_FACTOR * expected_ms / 1000.0)


def stall_timeout_s(route: Route, plan: Plan, typical_s: float) -> float:
    """Return the seconds within which a resumable stream must bring an event.

    The limit detects engines that stall but not those that are slow but work.

    Parameters
    ----------
    typical_s : float
        The engine's usual time to such an event in seconds; 0 when it is not known.
    """
    slow_s = min(
        STALL_PACE_FACTOR * typical_s, MAX_STALL_ABANDON_SHARE * abandon_after_s(route)
    )
    expected_s = PREFILL_TIMEOUT_FACTOR * plan.cost_ms / 1000.0
    if plan.decision is Decision.SPLIT:
        expected_s = 0.0
    pauses_s = STALL_PAUSE_FACTOR * route.pause_objective_s
    return max(MIN_STALL_TIMEOUT_S, pauses_s, expected_s, slow_s)
