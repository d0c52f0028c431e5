"""Figures of a replay."""

from collections import defaultdict
from collections.abc import Sequence

from msgspec import Struct

from replay._load import Deployment
from replay._messages import Ending, Outcome
from wigeonspan.common import TenantName

BASE_CREDIT = 0.3
"""Part of a request's credit that does not depend on its size."""

MAX_CREDIT = 4.0
"""Maximum credit of one request, as a multiple of its kind's credit."""

LARGEST_SHARE = 0.1
"""Share of a kind's requests that count as its largest."""


class KindFigures(Struct, frozen=True):
    """Figures of one kind of request, or of one tenant.

    ``served`` to ``abandoned`` are shares of all requests of the kind;
    ``largest_served`` and ``largest_on_time`` are shares of its largest requests.

    Parameters
    ----------
    requests : int
        Number of requests of the kind.
    median_response_s : float
        Median time to the first event or, without one, to the end.
    p99_response_s : float
        99th percentile of the time to the first event of the served requests.
    """

    requests: int
    served: float
    on_time: float
    refused: float
    abandoned: float
    largest_served: float
    largest_on_time: float
    median_response_s: float
    p99_response_s: float = 0.0

    @property
    def late(self) -> float:
        """Share of the requests that were answered late."""
        return self.served - self.on_time


class Figures(Struct, frozen=True):
    """Figures of a run.

    Parameters
    ----------
    credit : float
        Credit earned.
    max_credit : float
        Credit of all requests if all were on time.
    served : float
        Share of the requests that were answered, on time or late.
    tenants : dict
        Figures by tenant and kind, of the requests that have a tenant.
    """

    credit: float
    max_credit: float
    served: float
    kinds: dict[str, KindFigures]
    tenants: dict[tuple[TenantName, str], KindFigures] = {}

    @property
    def credit_share(self) -> float:
        """Share of the maximum credit that was earned."""
        return self.credit / self.max_credit if self.max_credit else 0.0


def compute_figures(outcomes: Sequence[Outcome], deployment: Deployment) -> Figures:
    """Return the figures of a run."""
    kinds: dict[str, KindFigures] = {}
    credit = max_credit = 0.0
    for name, kind in deployment.kinds.items():
        kind_outcomes = [outcome for outcome in outcomes if outcome.kind == name]
        mean_tokens = kind.shared + kind.own + 10 * kind.out
        for outcome in kind_outcomes:
            credit_factor = min(
                MAX_CREDIT,
                BASE_CREDIT + (1 - BASE_CREDIT) * outcome.input_tokens / mean_tokens,
            )
            max_credit += credit_factor * kind.worth
            if outcome.ending is Ending.ON_TIME:
                credit += credit_factor * kind.worth
            elif outcome.ending is Ending.LATE:
                credit += credit_factor * kind.late
        kinds[name] = _compute_kind_figures(kind_outcomes)
    served = _share(outcomes, _is_served)
    by_tenant: defaultdict[tuple[TenantName, str], list[Outcome]] = defaultdict(list)
    for outcome in outcomes:
        if outcome.tenant is not None:
            by_tenant[outcome.tenant, outcome.kind].append(outcome)
    tenants = {key: _compute_kind_figures(group) for key, group in by_tenant.items()}
    return Figures(credit, max_credit, served, kinds, tenants)


def _compute_kind_figures(outcomes: list[Outcome]) -> KindFigures:
    by_size = sorted(outcomes, key=lambda outcome: -outcome.input_tokens)
    largest = by_size[: max(1, int(len(by_size) * LARGEST_SHARE))]
    response_times = sorted(outcome.response_s for outcome in outcomes)
    served_times = sorted(o.response_s for o in outcomes if _is_served(o))
    return KindFigures(
        len(outcomes),
        _share(outcomes, _is_served),
        _share(outcomes, lambda outcome: outcome.ending is Ending.ON_TIME),
        _share(outcomes, lambda outcome: outcome.ending is Ending.REFUSED),
        _share(outcomes, lambda outcome: outcome.ending is Ending.ABANDONED),
        _share(largest, _is_served),
        _share(largest, lambda outcome: outcome.ending is Ending.ON_TIME),
        response_times[len(response_times) // 2] if response_times else 0.0,
        served_times[int(0.99 * len(served_times))] if served_times else 0.0,
    )


def _is_served(outcome: Outcome) -> bool:
    return outcome.ending in (Ending.ON_TIME, Ending.LATE)


def _share(outcomes: Sequence[Outcome], predicate) -> float:
    if not outcomes:
        return 0.0
    return sum(1 for outcome in outcomes if predicate(outcome)) / len(outcomes)
