"""Expected goodput of an assignment of roles under a demand."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

GRID = 12
"""Steps into which a large service is divided for the first search; services of up to
23 engines are searched whole."""

BURSTS = ((1.0, 0.4), (1.15, 0.3), (1.35, 0.2), (1.6, 0.1))
"""Load over a few seconds as a multiple of its mean, and how often it is that high.
Without it, every assignment that just carries the mean looks equally good."""


BATCH_HEADROOM = 1.2
"""Room for batch as a multiple of its mean load. With none, an assignment that just
carried the mean was kept while the queues grew."""


class Counts(NamedTuple):
    """Engines of a service by role."""

    prefill: int
    decode: int
    mixed: int

    def moves_to(self, other: "Counts") -> int:
        """Return the number of engines that must change role."""
        return sum(max(0, b - a) for a, b in zip(self, other, strict=True))


@dataclass(frozen=True, slots=True)
class Load:
    """Requests per second and tokens per second of some classes."""

    requests: float = 0.0
    prompt: float = 0.0
    output: float = 0.0

    def plus(self, other: "Load", factor: float = 1.0) -> "Load":
        """Return the sum, with the other load scaled."""
        return Load(
            self.requests + factor * other.requests,
            self.prompt + factor * other.prompt,
            self.output + factor * other.output,
        )


@dataclass(frozen=True, slots=True)
class Demand:
    """Demand of a service: urgent classes and batch."""

    urgent: Load
    batch: Load


@dataclass(frozen=True, slots=True)
class Rates:
    """Work of one engine per second; see ``PlanningSettings``."""

    prefill: float
    decode: float
    mixed_efficiency: float


NO_ENGINES = Counts(0, 0, 0)


def assignments(total: int, pinned: Counts = NO_ENGINES) -> list[Counts]:
    """Return every assignment of a number of engines that keeps the pinned roles."""
    return [
        Counts(prefill, decode, total - prefill - decode)
        for prefill in range(pinned.prefill, total + 1)
        for decode in range(pinned.decode, total - prefill - pinned.mixed + 1)
    ]


def best_assignments(
    total: int, pinned: Counts, current: Counts, value: Callable[[Counts], float]
) -> list[tuple[float, Counts]]:
    """Return assignments with their value, best first.

    Small services are searched whole. In large ones a coarse grid is searched, and then
    the surroundings of the best found, in ever smaller steps; the value is concave
    enough along the grid that the error stays within a few engines of hundreds.

    Parameters
    ----------
    total : int
        Number of engines.
    pinned, current : Counts
        Roles that must stay, and the roles now.
    value : callable
        Value of an assignment.
    """
    step = max(1, total // GRID)
    free = total - sum(pinned)
    grid = assignments(free // step)
    tried = {_on_grid(c, step, total, pinned) for c in grid} | {current}
    scored = {counts: value(counts) for counts in tried}
    while step > 1:
        step //= 2
        best = max(scored, key=lambda c: (scored[c], c))
        near = _neighbours(best, step, pinned)
        scored.update({c: value(c) for c in near if c not in scored})
    order = sorted(scored, key=lambda c: (-scored[c], current.moves_to(c), c))
    return [(scored[counts], counts) for counts in order]


class Needs(NamedTuple):
    """Demand in engines: for prefill, for decode, and in all.

    It is worked out once for a demand, since a plan values many assignments by it.
    """

    urgent_requests: float
    urgent: tuple[float, float, float]
    batch_requests: float
    batch: tuple[float, float, float]


def needs_of(demand: Demand, rates: Rates) -> Needs:
    """Return the engines that a demand takes."""
    urgent, batch = demand.urgent, demand.batch
    return Needs(
        urgent.requests, _use(urgent, rates), batch.requests, _use(batch, rates)
    )


def capacity_of(counts: Counts, rates: Rates) -> tuple[float, float, float]:
    """Return the engines that can prefill, that can decode, and all.

    Prefill and decode engines do one kind of work; mixed engines divide their time
    between both at a reduced rate, in the proportion that serves most.
    """
    mixed = rates.mixed_efficiency * counts.mixed
    both = counts.prefill + counts.decode + mixed
    return counts.prefill + mixed, counts.decode + mixed, both


def goodput(capacity: tuple[float, float, float], needs: Needs) -> float:
    """Return the requests per second that are served, urgent ones first.

    Urgent requests do not wait for a burst to pass, so their part that is served in
    each burst counts. Batch requests do, so little more than their mean load counts.
    """
    share = BURSTS[-1][0]
    for room, used in zip(capacity, needs.urgent, strict=True):
        if used * share > room:
            share = room / used
    served = needs.urgent_requests
    if share < BURSTS[-1][0]:
        served *= sum(weight * min(1.0, share / burst) for burst, weight in BURSTS)
    if share < 1.0 or needs.batch_requests <= 0:
        return served
    part = 1.0
    for room, used, wanted in zip(capacity, needs.urgent, needs.batch, strict=True):
        wanted *= BATCH_HEADROOM
        if wanted * part > room - used:
            part = (room - used) / wanted
    return served + max(0.0, part) * needs.batch_requests


def expected_goodput(counts: Counts, demand: Demand, rates: Rates) -> float:
    """Return the goodput of an assignment under a demand."""
    return goodput(capacity_of(counts, rates), needs_of(demand, rates))


def _use(load: Load, rates: Rates) -> tuple[float, float, float]:
    """Return the engines that a load takes for prefill, for decode, and in all."""
    prompt = load.prompt / rates.prefill
    output = load.output / rates.decode
    return prompt, output, prompt + output


def _on_grid(counts: Counts, step: int, total: int, pinned: Counts) -> Counts:
    prefill = pinned.prefill + counts.prefill * step
    decode = pinned.decode + counts.decode * step
    return Counts(prefill, decode, total - prefill - decode)


def _neighbours(counts: Counts, step: int, pinned: Counts) -> list[Counts]:
    """Return the assignments that differ by a step from one role to another."""
    found = []
    for source in range(3):
        for target in range(3):
            moved = list(counts)
            moved[source] -= step
            moved[target] += step
            if source != target and moved[source] >= pinned[source]:
                found.append(Counts(*moved))
    return found
