"""Ranks of the engines that each priority of a service takes.

It answers bursts of a less urgent kind: ranks that depend on the laxity alone put
requests that the operator ranks last before those that it ranks first.
"""

from bisect import bisect_left
from collections.abc import Collection, Iterable, Iterator

from msgspec import Struct

from wigeonspan.common import ServiceName
from wigeonspan.fleetconfig import CallKind, FleetConfig, TenantSpec

ENGINE_RANKS = 10
"""Number of ranks that engines support; rank 0 goes first."""

LAXITY_BOUNDS_MS = (150.0, 300.0, 500.0)
"""Upper bounds of the laxity for the first ranks of a band; requests above the last one
get the next rank. The laxity is the time in milliseconds that a request can still wait
without missing its objective. The least laxity goes first, so that a large prompt,
whose prefill takes most of its objective, does not wait behind small ones that have
time."""

MAX_LATE_OFFSET = 5
"""Largest distance of the rank of late requests from the first one of their band."""


class PriorityBand(Struct, frozen=True):
    """Consecutive ranks at the engines for the requests of one priority.

    Parameters
    ----------
    index : int
        Position among the priorities of the service; 0 is the most urgent.
    first_rank : int
        Rank of the most urgent requests of the band.
    width : int
        Number of ranks.
    """

    index: int = 0
    first_rank: int = 0
    width: int = ENGINE_RANKS

    @property
    def is_sole(self) -> bool:
        """Whether the service has no other priority."""
        return self.width == ENGINE_RANKS

    @property
    def late_rank(self) -> int:
        """Rank of requests that cannot meet their objective, behind those that can."""
        return self.first_rank + min(self.width - 1, MAX_LATE_OFFSET)

    def rank(self, laxity_ms: float) -> int:
        """Return the rank of a request; see ``LAXITY_BOUNDS_MS``.

        Narrow bands use only the first bounds.
        """
        if laxity_ms < 0.0:
            return self.late_rank
        bounds = LAXITY_BOUNDS_MS[: max(0, self.late_rank - self.first_rank - 1)]
        return self.first_rank + sum(1 for bound in bounds if laxity_ms >= bound)


SOLE_BAND = PriorityBand()
"""Band of a service whose requests all have the same priority."""


def priority_band(priorities: Collection[int], priority: int) -> PriorityBand:
    """Return the ranks of a priority.

    Parameters
    ----------
    priorities : collection of int
        Different priorities of the service. With more of them than ranks, neighbours
        share a rank.
    priority : int
        Priority of the request. One that is not among the priorities, for instance
        because the configuration has just changed, is treated as the next less urgent.
    """
    levels = sorted(set(priorities))
    if len(levels) < 2:
        return SOLE_BAND
    index = min(bisect_left(levels, priority), len(levels) - 1)
    first = index * ENGINE_RANKS // len(levels)
    end = (index + 1) * ENGINE_RANKS // len(levels)
    return PriorityBand(index, first, max(1, end - first))


def stream_priorities(config: FleetConfig, service: ServiceName) -> frozenset[int]:
    """Return the priorities that streams of a service can have.

    A tenant's priority takes precedence over the route's. Plain calls are not ranked.
    Without tenants there are none: those deployments were measured with ranks by laxity
    alone, and their long requests lose more by priorities than the short ones gain.
    """
    if config.tenants is None:
        return frozenset()
    return frozenset(_iter_priorities(config, config.tenants, service))


def _iter_priorities(
    config: FleetConfig, tenants: Iterable[TenantSpec], service: ServiceName
) -> Iterator[int]:
    for route in config.routes:
        if route.kind is not CallKind.STREAM:
            continue
        if all(share.service != service for share in route.services):
            continue
        if route.public:
            yield route.priority
        for tenant in tenants:
            yield route.priority if tenant.priority is None else tenant.priority
