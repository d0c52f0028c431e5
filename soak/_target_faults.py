"""What a fault of a schedule means for the targets that have it."""

import random
from collections.abc import Callable

from standin import DutyFaults, EngineSpeed, InjectedFaults, Moment

from soak._schedule import Fault, FaultKind
from soak._world import APPS, MODELS

SILENT_MOMENTS = {
    MODELS: (Moment.ANY, Moment.PREFILL, Moment.FIRST_EVENT, Moment.LATER_EVENT),
    APPS: (Moment.ANY, Moment.CALL),
}
"""Work in which targets of a service may fall silent."""

INJECTED_FAULTS: dict[FaultKind, Callable[[float], InjectedFaults]] = {
    FaultKind.TARGET_FAILS: lambda x: InjectedFaults(error_rate=x),
    FaultKind.TARGET_SLOW: lambda x: InjectedFaults(slowdown_factor=1.0 + 9.0 * x),
    FaultKind.TARGET_UNRESPONSIVE: lambda x: InjectedFaults(unresponsive=True),
    FaultKind.TARGET_GARBLES: lambda x: InjectedFaults(malformed_rate=x),
    FaultKind.TARGET_LOSES: lambda x: InjectedFaults(reset_rate=x),
    FaultKind.TARGET_CUTS: lambda x: InjectedFaults(cut_rate=x),
    FaultKind.TARGET_REFUSES: lambda x: InjectedFaults(refusal_rate=x),
    FaultKind.TARGET_ENDLESS: lambda x: InjectedFaults(endless_rate=x),
    FaultKind.TARGET_REPEATS: lambda x: InjectedFaults(duplicate_rate=x),
    FaultKind.TARGET_STALLS: lambda x: InjectedFaults(stall_rate=x),
    FaultKind.TARGET_RESUME_ERRORS: lambda x: InjectedFaults(
        cut_rate=x, resume_error_rate=x
    ),
    FaultKind.TARGET_REFUSES_TWICE: lambda x: InjectedFaults(
        refusal_rate=x / 2, refusal_repeat_rate=1.0
    ),
    FaultKind.ORDERS_LATE: lambda x: InjectedFaults(orders_late_s=8.0 * x),
}
"""Faults to inject into a target, from a severity between 0 and 1."""

DUTY_FAULTS: dict[FaultKind, Callable[[float], DutyFaults]] = {
    FaultKind.DUTY_SLOW: lambda x: DutyFaults(slow_s=1.5 * x),
    FaultKind.DUTY_REFUSED: lambda x: DutyFaults(refusal_rate=x),
    FaultKind.DUTY_LATE: lambda x: DutyFaults(late_rate=x, late_s=4.0 * x),
    FaultKind.DUTY_SILENT: lambda x: DutyFaults(silent=True),
}
"""Faults of the platform's interface for duties, from a severity between 0 and 1."""

SPEED_FACTORS = (1.0, 1.0, 1.3)
"""Factors on the time of engines in the deployments, equally likely."""

MIN_BRIEF_SLOWDOWN = 3.0
MAX_BRIEF_SLOWDOWN = 10.0
"""Bounds of the factor on the time of an engine that is slow for half a second. Work
that begins in this time keeps it: an event takes up to 0.4 s, a prefill 1.2 s."""


def draw_speeds(fault: Fault, engines: int) -> list[EngineSpeed]:
    """Draw the speeds of engines, apart for prefill and decode.

    The severity stretches the differences up to a factor of 2.
    """
    rng, stretch = random.Random(fault.victim), 1.0 + 2.3 * fault.strength

    def draw() -> float:
        return 1.0 + (rng.choice(SPEED_FACTORS) - 1.0) * stretch

    return [EngineSpeed(draw(), draw()) for _ in range(engines)]


def brief_slowdown(severity: float) -> float:
    """Return the factor of a brief slowdown with a severity between 0 and 1."""
    return MIN_BRIEF_SLOWDOWN + (MAX_BRIEF_SLOWDOWN - MIN_BRIEF_SLOWDOWN) * severity
