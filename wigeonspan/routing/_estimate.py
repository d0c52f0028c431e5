"""What the estimates of one choice share, and the waits on an engine."""

from typing import NamedTuple

from wigeonspan.catalog import Role
from wigeonspan.routing._load import EngineLoad, Unseen
from wigeonspan.routing._messages import RouteRequest


class Estimate(NamedTuple):
    """What the estimates of one choice share.

    Parameters
    ----------
    others : Unseen
        What other entries send to each engine.
    queue_share : float
        Part of the queues that runs before the request. Engines run urgent requests
        first; reports do not tell the classes apart, so this entry's own waiting
        requests stand for all.
    """

    request: RouteRequest
    now: float
    others: Unseen
    queue_share: float


def _prefill_wait(load: EngineLoad, now: float, others: Unseen) -> float:
    return load.prefill_backlog(now, others) / load.prefill_rate


def _slot_wait(load: EngineLoad, now: float, others: Unseen) -> float:
    return load.slot_wait_s(now, others, TYPICAL_OUTPUT_TOKENS)


TYPICAL_OUTPUT_TOKENS = 100
"""Answer length for which the wait for a batch place is judged."""

WAITS = (
    ((Role.MIXED, Role.PREFILL), _prefill_wait),
    ((Role.MIXED, Role.DECODE), _slot_wait),
)
"""Waits of a request, and the roles on which they occur."""
