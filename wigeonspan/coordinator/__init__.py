"""Control process that stores complete configurations and manages its own group.

The control hosts add, promote and remove members of their group without an operator.
"""

from wigeonspan.coordinator._daemon import Coordinator, run_coordinator
from wigeonspan.coordinator._membership import (
    Candidate,
    MembershipStep,
    MembershipView,
    next_step,
)
from wigeonspan.coordinator._settings import CoordinatorSettings

__all__ = [
    "Candidate",
    "Coordinator",
    "CoordinatorSettings",
    "MembershipStep",
    "MembershipView",
    "next_step",
    "run_coordinator",
]
