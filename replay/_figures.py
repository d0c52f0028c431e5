"""Figures of a replay."""

from collections.abc import Sequence

from msgspec import Struct

from replay._load import Deployment
from replay._messages import End, Outcome

BASE_CREDIT = 0.3
"""Part of a request's credit that does not depend on its size."""

MOST_CREDIT = 4.0
"""Largest multiple of a kind's credit that one request counts for."""

LARGEST_SHARE = 0.1
"""Share of a kind's requests that count as its largest."""


class KindFigures(Struct, frozen=True):
    """Figures of one kind of request; shares are of all its requests."""

    asked: int
    served: float
    on_time: float
    refused: float
    left: float
    largest_served: float
    largest_on_time: float
    decided_s: float


class Figures(Struct, frozen=True):
    """Figures of a run.

    Parameters
    ----------
    value : float
        Credit earned.
    owed : float
        Credit of all requests if all were on time.
    """

    value: float
    owed: float
    served: float
    kinds: dict[str, KindFigures]

    @property
    def share(self) -> float:
        """Share of the credit that is earned."""
        return self.value / self.owed if self.owed else 0.0


def sum_up(outcomes: Sequence[Outcome], deployment: Deployment) -> Figures:
    """Return the figures of a run."""
    kinds: dict[str, KindFigures] = {}
    value = owed = 0.0
    for name, kind in deployment.kinds.items():
        own = [each for each in outcomes if each.kind == name]
        mean = kind.shared + kind.own + 10 * kind.out
        for each in own:
            size = min(
                MOST_CREDIT, BASE_CREDIT + (1 - BASE_CREDIT) * each.tokens / mean
            )
            owed += size * kind.worth
            if each.end is End.ON_TIME:
                value += size * kind.worth
            elif each.end is End.LATE:
                value += size * kind.late
        kinds[name] = _of_kind(own)
    served = _share(outcomes, _is_served)
    return Figures(value, owed, served, kinds)


def _of_kind(outcomes: list[Outcome]) -> KindFigures:
    by_size = sorted(outcomes, key=lambda each: -each.tokens)
    largest = by_size[: max(1, int(len(by_size) * LARGEST_SHARE))]
    decided = sorted(each.decided_s for each in outcomes)
    return KindFigures(
        len(outcomes),
        _share(outcomes, _is_served),
        _share(outcomes, lambda each: each.end is End.ON_TIME),
        _share(outcomes, lambda each: each.end is End.REFUSED),
        _share(outcomes, lambda each: each.end is End.LEFT),
        _share(largest, _is_served),
        _share(largest, lambda each: each.end is End.ON_TIME),
        decided[len(decided) // 2] if decided else 0.0,
    )


def _is_served(outcome: Outcome) -> bool:
    return outcome.end in (End.ON_TIME, End.LATE)


def _share(outcomes: Sequence[Outcome], holds) -> float:
    if not outcomes:
        return 0.0
    return sum(1 for each in outcomes if holds(each)) / len(outcomes)
