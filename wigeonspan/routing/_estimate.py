"""Inputs shared by the estimates of one choice, and the expected waits on an engine."""

from typing import NamedTuple

from wigeonspan.catalog import Role
from wigeonspan.routing._load import EngineLoad, OtherEntriesLoad
from wigeonspan.routing._messages import RouteRequest


class EstimateContext(NamedTuple):
    """Values that are the same for all engines compared in one choice.

    Parameters
    ----------
    other_load : OtherEntriesLoad
        Mean rate of the work that other entries send to each engine.
    share_ahead : float
        Share of an engine's prefill queue that runs before the request, from 0 to 1.
        Engines run urgent requests first. Load reports do not distinguish priority
        classes, so the share is taken from this entry's own waiting requests.
    """

    request: RouteRequest
    now: float
    other_load: OtherEntriesLoad
    share_ahead: float


def _prefill_wait_s(
    load: EngineLoad, now: float, other_load: OtherEntriesLoad
) -> float:
    return load.prefill_backlog(now, other_load) / load.prefill_rate


def _batch_wait_s(load: EngineLoad, now: float, other_load: OtherEntriesLoad) -> float:
    return load.batch_wait_s(now, other_load, TYPICAL_OUTPUT_TOKENS)


TYPICAL_OUTPUT_TOKENS = 100
"""Output length assumed for the mean wait for a batch place of a service."""

WAIT_ESTIMATES = (
    ((Role.MIXED, Role.PREFILL), _prefill_wait_s),
    ((Role.MIXED, Role.DECODE), _batch_wait_s),
)
"""Waits of a request on engines: the roles of the engines on which each wait occurs,
and the function that estimates it in seconds."""
