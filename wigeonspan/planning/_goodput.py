"""Expected goodput of an assignment of roles for a given demand."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

GRID_STEPS = 12
"""Number of steps of the first, coarse search in a large service. Services of up to 23
engines are searched exhaustively."""

BURSTS = ((1.0, 0.4), (1.15, 0.3), (1.35, 0.2), (1.6, 0.1))
"""Load over a few seconds as a multiple of its mean, with its probability. Without
bursts, all assignments that can just serve the mean load would look equally good."""


BATCH_HEADROOM = 1.2
"""Capacity to provide for batch requests as a multiple of their mean load. Without
headroom, the planner kept assignments that could just serve the mean load, while queues
grew."""


class RoleCounts(NamedTuple):
    """Number of engines of a service by role."""

    prefill: int
    decode: int
    mixed: int

    def role_changes_to(self, other: "RoleCounts") -> int:
        """Return the number of engines that must change role to reach other counts."""
        return sum(max(0, b - a) for a, b in zip(self, other, strict=True))


@dataclass(frozen=True, slots=True)
class Load:
    """Requests, prompt tokens and output tokens per second of some classes."""

    requests: float = 0.0
    prompt: float = 0.0
    output: float = 0.0

    def plus(self, other: "Load", factor: float = 1.0) -> "Load":
        """Return the sum of this load and the other one times a factor."""
        return Load(
            self.requests + factor * other.requests,
            self.prompt + factor * other.prompt,
            self.output + factor * other.output,
        )


@dataclass(frozen=True, slots=True)
class Demand:
    """Demand of a service: load of the urgent classes and of batch."""

    urgent: Load
    batch: Load


@dataclass(frozen=True, slots=True)
class EngineRates:
    """Tokens per second of one engine, and its efficiency when mixed.

    See ``PlanningSettings``.
    """

    prefill: float
    decode: float
    mixed_efficiency: float


NO_ENGINES = RoleCounts(0, 0, 0)


def assignments(total: int, pinned: RoleCounts = NO_ENGINES) -> list[RoleCounts]:
    """Return all assignments of a number of engines that keep the pinned roles."""
    return [
        RoleCounts(prefill, decode, total - prefill - decode)
        for prefill in range(pinned.prefill, total + 1)
        for decode in range(pinned.decode, total - prefill - pinned.mixed + 1)
    ]


def best_assignments(
    total: int,
    pinned: RoleCounts,
    current: RoleCounts,
    value: Callable[[RoleCounts], float],
) -> list[tuple[float, RoleCounts]]:
    """Return the assignments that were searched with their value, best first.

    Small services are searched exhaustively. In large ones, a coarse grid is searched
    first, then the neighbours of the best assignment so far in ever smaller steps. The
    value is concave enough along the grid that the result is off by only a few engines
    out of hundreds.

    Parameters
    ----------
    total : int
        Number of engines.
    pinned, current : RoleCounts
        Engines with a pinned role, and all engines in their current roles.
    value : callable
        Returns the value of an assignment.
    """
    step = max(1, total // GRID_STEPS)
    free = total - sum(pinned)
    grid = assignments(free // step)
    tried = {_from_grid(c, step, total, pinned) for c in grid} | {current}
    scored = {counts: value(counts) for counts in tried}
    while step > 1:
        step //= 2
        best = max(scored, key=lambda c: (scored[c], c))
        near = _neighbours(best, step, pinned)
        scored.update({c: value(c) for c in near if c not in scored})
    order = sorted(scored, key=lambda c: (-scored[c], current.role_changes_to(c), c))
    return [(scored[counts], counts) for counts in order]


class EngineNeeds(NamedTuple):
    """Number of engines that a demand needs: for prefill, for decode and in total.

    It is computed once for each demand, since a plan evaluates many assignments
    with it.
    """

    urgent_requests: float
    urgent: tuple[float, float, float]
    batch_requests: float
    batch: tuple[float, float, float]


def engine_needs(demand: Demand, rates: EngineRates) -> EngineNeeds:
    """Return the number of engines that a demand needs."""
    urgent, batch = demand.urgent, demand.batch
    return EngineNeeds(
        urgent.requests,
        _engines_needed(urgent, rates),
        batch.requests,
        _engines_needed(batch, rates),
    )


def engine_capacity(
    counts: RoleCounts, rates: EngineRates
) -> tuple[float, float, float]:
    """Return the capacity in engines for prefill, for decode and in total.

    Prefill and decode engines do one kind of work. Mixed engines do both at a reduced
    rate, with their time divided so that as many requests as possible are served.
    """
    mixed = rates.mixed_efficiency * counts.mixed
    both = counts.prefill + counts.decode + mixed
    return counts.prefill + mixed, counts.decode + mixed, both


def goodput(capacity: tuple[float, float, float], needs: EngineNeeds) -> float:
    """Return the requests per second that are served, with urgent ones first.

    Urgent requests cannot wait until a burst is over, so the fraction of them that is
    served is averaged over the bursts. Batch requests can wait, so they need capacity
    for their mean load and ``BATCH_HEADROOM`` only.
    """
    max_burst = BURSTS[-1][0]
    for available, urgent in zip(capacity, needs.urgent, strict=True):
        if urgent * max_burst > available:
            max_burst = available / urgent
    served = needs.urgent_requests
    if max_burst < BURSTS[-1][0]:
        served *= sum(weight * min(1.0, max_burst / burst) for burst, weight in BURSTS)
    if max_burst < 1.0 or needs.batch_requests <= 0:
        return served
    fraction = 1.0
    for available, urgent, batch in zip(
        capacity, needs.urgent, needs.batch, strict=True
    ):
        batch *= BATCH_HEADROOM
        if batch * fraction > available - urgent:
            fraction = (available - urgent) / batch
    return served + max(0.0, fraction) * needs.batch_requests


def expected_goodput(counts: RoleCounts, demand: Demand, rates: EngineRates) -> float:
    """Return the requests per second that an assignment serves of a demand."""
    return goodput(engine_capacity(counts, rates), engine_needs(demand, rates))


def _engines_needed(load: Load, rates: EngineRates) -> tuple[float, float, float]:
    """Return the engines that a load needs for prefill, for decode and in total."""
    prompt = load.prompt / rates.prefill
    output = load.output / rates.decode
    return prompt, output, prompt + output


def _from_grid(
    counts: RoleCounts, step: int, total: int, pinned: RoleCounts
) -> RoleCounts:
    """Return the assignment of all engines at a point of the coarse grid."""
    prefill = pinned.prefill + counts.prefill * step
    decode = pinned.decode + counts.decode * step
    return RoleCounts(prefill, decode, total - prefill - decode)


def _neighbours(counts: RoleCounts, step: int, pinned: RoleCounts) -> list[RoleCounts]:
    """Return the assignments with one step of engines moved to another role."""
    found = []
    for source in range(3):
        for target in range(3):
            moved = list(counts)
            moved[source] -= step
            moved[target] += step
            if source != target and moved[source] >= pinned[source]:
                found.append(RoleCounts(*moved))
    return found
