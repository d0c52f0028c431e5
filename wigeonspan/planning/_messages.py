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
        Seconds between two plans.
    prefill_tokens_per_s, decode_tokens_per_s : float
        Rate of one engine that does only this kind of work; used until the rates have
        been measured.
    mixed_efficiency : float
        Fraction of these rates that an engine reaches while it does both.
    utilisation : float
        Fraction of the rates to plan with; queues grow above it.
    outage_s : float
        Seconds for which a role change takes an engine out of service.
    horizon_s : float
        Seconds within which the gain of a change must exceed its cost.
    margin : float
        Fraction by which the gain of a change must exceed its cost.
    min_gain : float
        Fraction of the goodput that each change must gain in addition to its cost;
        smaller gains are within the error of the estimate.
    warm_up_s : float
        Seconds for which demand must be observed before roles change.
    """

    interval_s: float = 5.0
    prefill_tokens_per_s: float = 5_000.0
    decode_tokens_per_s: float = 600.0
    mixed_efficiency: float = 0.7
    utilisation: float = 0.95
    outage_s: float = 10.0
    horizon_s: float = 300.0
    margin: float = 0.2
    min_gain: float = 0.03
    warm_up_s: float = 30.0


class PlanInputs(Struct, frozen=True):
    """Inputs of a plan, in addition to the recorded demand and work.

    Parameters
    ----------
    engines : list of Engine
        All engines of all services.
    policy : Policy
        Price of a role change, minimum stay and limits.
    changed_at : dict
        Monotonic time of the last role change, for engines for which the caller knows
        it. For others, the time at which the planner first saw the current role.
    """

    engines: list[Engine]
    policy: Policy
    changed_at: dict[EngineId, float] = {}


class RoleChange(Struct, frozen=True):
    """Decision to change the role of an engine."""

    engine: EngineId
    service: ServiceName
    expected_version: Version
    old: Role
    new: Role
    reason: str


class ServiceDecision(Struct, frozen=True):
    """Decision about the roles of one service, with the data to explain it later.

    Parameters
    ----------
    inputs : dict
        Demand, rates and engines on which the decision is based.
    alternatives : list of dict
        Best assignments that were compared, best first, with their value.
    """

    service: ServiceName
    changes: tuple[RoleChange, ...]
    summary: str
    reason: str
    inputs: dict[str, Any]
    alternatives: list[dict[str, Any]]


class Plan(Struct, frozen=True):
    """Result of planning: one decision for each service, with or without changes."""

    decisions: tuple[ServiceDecision, ...]

    @property
    def changes(self) -> list[RoleChange]:
        """Role changes of all services."""
        return [change for decision in self.decisions for change in decision.changes]
