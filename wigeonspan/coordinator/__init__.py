"""Control process for whole configurations, with a membership of its own making."""

from wigeonspan.coordinator._daemon import (
    DIRECTORY_KEEP_S,
    Coordinator,
    run_coordinator,
)
from wigeonspan.coordinator._membership import (
    Candidate,
    MembershipStep,
    MembershipView,
    next_step,
)
from wigeonspan.coordinator._settings import CoordinatorSettings

__all__ = [
    "DIRECTORY_KEEP_S",
    "Candidate",
    "Coordinator",
    "CoordinatorSettings",
    "MembershipStep",
    "MembershipView",
    "next_step",
    "run_coordinator",
]
