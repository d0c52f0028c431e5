"""How long to wait for an engine; without I/O."""

from wigeonspan.fleetconfig import Route
from wigeonspan.placing import Decision, Plan, patience_s

READ_PATIENCE = 4.0
"""Multiple of the expected time in which the engine of a prompt must finish some
prompt, or it is read elsewhere."""

READ_PATIENCE_MIN_S = 1.0
"""Shortest such time in seconds; long enough for a prompt of the largest size."""

STALL_PAUSES = 4.0
"""Multiple of the pause objective after which a stream that may be resumed goes on at
another engine."""

STALL_PACE = 12.0
"""Multiple of the engine's own time between events, and of its time to a first event,
after which it counts as stalled: one at a tenth of its usual pace is slow but sound."""

STALL_MIN_S = 0.9
"""Shortest such time in seconds; half of the time that callers wait at least."""

STALL_PATIENCE = 0.75
"""Share of callers' patience that is the longest such time; the rest is for the engine
that goes on."""


def reading_limit_s(plan: Plan) -> float:
    """Return the seconds in which an engine must finish some prompt.

    Answers engines that go dark while prompts wait there.
    """
    expected_ms = plan.wait_ms + plan.cost_ms
    return max(READ_PATIENCE_MIN_S, READ_PATIENCE * expected_ms / 1000.0)


def stall_limit_s(route: Route, plan: Plan, usual_s: float) -> float:
    """Return the seconds in which a stream that may be resumed must bring an event.

    Answers engines that stall, without cutting those that are slow but sound.

    Parameters
    ----------
    usual_s : float
        The engine's usual time to such an event; 0 when it is not known.
    """
    slow_s = min(STALL_PACE * usual_s, STALL_PATIENCE * patience_s(route))
    expected_s = READ_PATIENCE * plan.cost_ms / 1000.0
    if plan.decision is Decision.SPLIT:
        expected_s = 0.0
    pauses_s = STALL_PAUSES * route.pause_objective_s
    return max(STALL_MIN_S, pauses_s, expected_s, slow_s)
