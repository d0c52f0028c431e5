"""Expected goodput of an assignment of roles under a demand."""

from dataclasses import dataclass
from typing import NamedTuple

BURSTS = ((1.0, 0.4), (1.15, 0.3), (1.35, 0.2), (1.6, 0.1))
"""Load over a few seconds as a multiple of its mean, and how often it is that high.
Without it, every assignment that just carries the mean looks equally good."""


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


def served_share(counts: Counts, load: Load, rates: Rates) -> float:
    """Return the part of a load that an assignment can serve, possibly above 1.

    Prefill and decode engines do one kind of work; mixed engines divide their time
    between both at a reduced rate, in the proportion that serves most.
    """
    prompt = load.prompt / rates.prefill
    output = load.output / rates.decode
    if prompt + output <= 0:
        return float("inf")
    mixed = rates.mixed_efficiency * counts.mixed
    share = (counts.prefill + counts.decode + mixed) / (prompt + output)
    if share * prompt < counts.prefill:
        return (counts.decode + mixed) / output if output else float("inf")
    if share * output < counts.decode:
        return (counts.prefill + mixed) / prompt if prompt else float("inf")
    return share


def expected_goodput(counts: Counts, demand: Demand, rates: Rates) -> float:
    """Return the requests per second that are served, urgent ones first.

    Urgent requests do not wait for a burst to pass, so their part that is served in
    each burst counts. Batch requests do, so the mean load counts for them.
    """
    share = served_share(counts, demand.urgent, rates)
    urgent = sum(weight * min(1.0, share / burst) for burst, weight in BURSTS)
    served = urgent * demand.urgent.requests
    if share < 1.0 or demand.batch.requests <= 0:
        return served
    return served + _batch_share(counts, demand, rates) * demand.batch.requests


def _batch_share(counts: Counts, demand: Demand, rates: Rates) -> float:
    """Return the part of batch that fits beside all urgent work."""
    low, high = 0.0, 1.0
    if served_share(counts, demand.urgent.plus(demand.batch), rates) >= 1.0:
        return 1.0
    for _ in range(12):
        middle = (low + high) / 2
        load = demand.urgent.plus(demand.batch, middle)
        if served_share(counts, load, rates) >= 1.0:
            low = middle
        else:
            high = middle
    return low
