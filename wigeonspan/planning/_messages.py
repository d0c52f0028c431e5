"""Settings and messages of role planning."""

from typing import Any

from msgspec import Struct

from wigeonspan.catalog import Engine, Policy, Role
from wigeonspan.common import EngineId, ServiceName, Version


class PlanningSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the planner.

    Parameters
    ----------
    interval_s : float
        Time between two plans.
    prefill_tokens_per_s, decode_tokens_per_s : float
        What one engine does of either kind of work when it does nothing else; used
        until engines have shown more.
    mixed_efficiency : float
        Part of these rates that an engine reaches while it does both.
    utilisation : float
        Part of the rates that can be planned with; above it queues grow.
    out_s : float
        Time for which a role change takes an engine out of service.
    horizon_s : float
        Longest time over which a change may pay back.
    margin : float
        Part by which the gain of a change must exceed its cost.
    least_gain : float
        Part of the goodput that each change must gain beside its cost; smaller gains
        are within the error of the estimate.
    warm_up_s : float
        Time over which demand must be known before roles change.
    """

    interval_s: float = 5.0
    prefill_tokens_per_s: float = 5_000.0
    decode_tokens_per_s: float = 600.0
    mixed_efficiency: float = 0.7
    utilisation: float = 0.95
    out_s: float = 10.0
    horizon_s: float = 300.0
    margin: float = 0.2
    least_gain: float = 0.02
    warm_up_s: float = 30.0


class PlanInputs(Struct, frozen=True):
    """What a plan is made from, beside the demand and work noted before.

    Parameters
    ----------
    changed_at : dict
        Monotonic time of the last role change of engines for which the caller knows
        it. For others it counts from when the planner first saw the engine's role.
    """

    engines: list[Engine]
    policy: Policy
    changed_at: dict[EngineId, float] = {}


class RoleChange(Struct, frozen=True):
    """Decision to give an engine another role."""

    engine: EngineId
    service: ServiceName
    expected_version: Version
    old: Role
    new: Role
    reason: str


class ServiceDecision(Struct, frozen=True):
    """Decision about the roles of one service, for the record.

    Parameters
    ----------
    inputs : dict
        Demand, rates and engines that it was made from.
    alternatives : list of dict
        Assignments that were compared, best first, with their expected goodput.
    """

    service: ServiceName
    changes: tuple[RoleChange, ...]
    summary: str
    reason: str
    inputs: dict[str, Any]
    alternatives: list[dict[str, Any]]


class Plan(Struct, frozen=True):
    """Result of planning: one decision for each service, changed or not."""

    decisions: tuple[ServiceDecision, ...]

    @property
    def changes(self) -> list[RoleChange]:
        """All role changes."""
        return [change for decision in self.decisions for change in decision.changes]
