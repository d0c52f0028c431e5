"""Which tenant gives way within a priority while requests wait.

It answers one tenant with most of the load of a kind: in a common order, the requests
of all others wait behind its own. An entry sees only a few requests a second, so
entries tell each other the tenant of the work that they send.
"""

import math

from wigeonspan.common import TenantName
from wigeonspan.placing._priority import ENGINE_RANKS, PriorityBand

DECAY_S = 5.0
"""Time constant in seconds of the exponential decay of a tenant's use, about the length
of a burst: a tenant that stops is no longer held back in the next one."""

EXCESS_FACTOR = 1.5
"""Multiple of the mean use of the active tenants above which a tenant gives way. With
few requests for each tenant, smaller deviations are chance."""

MIN_EXCESS_SHARE = 0.1
"""Smallest share of a priority's use with which a tenant gives way. Holding back a
smaller one helps nobody, and in replays it made large prompts of evenly loaded tenants
late."""

MIN_USE_MS = 1.0
"""Use in milliseconds of engine time below which a tenant does not count as active."""

MIN_WAIT_MS = 30.0
"""Expected wait in milliseconds from which the share is applied. The rest of a small
prompt at an engine is shorter; nobody gains when a request without a wait yields."""

MAX_TENANTS = 256
"""Maximum number of tenants whose use is kept; the least used one is removed first."""


class _Use:
    def __init__(self, now: float) -> None:
        self._by_rank = [0.0] * ENGINE_RANKS
        self._largest = [0.0] * ENGINE_RANKS
        self._at = now

    def add(self, rank: int, work_ms: float, now: float) -> None:
        decay = self._decay(now)
        self._by_rank = [use * decay for use in self._by_rank]
        self._largest = [use * decay for use in self._largest]
        if now > self._at:
            self._at = now
        self._by_rank[rank] += work_ms
        if work_ms > self._largest[rank]:
            self._largest[rank] = work_ms

    def total(self, ranks: slice, now: float) -> float:
        """Return the use in milliseconds of engine time."""
        return sum(self._by_rank[ranks]) * self._decay(now)

    def without_largest(self, ranks: slice, now: float) -> float:
        """Return the use without that of the largest request."""
        excess_ms = sum(self._by_rank[ranks]) - max(self._largest[ranks])
        return excess_ms * self._decay(now)

    def _decay(self, now: float) -> float:
        elapsed_s = now - self._at
        return math.exp(-elapsed_s / DECAY_S) if elapsed_s > 0.0 else 1.0


class TenantUse:
    """Recent use of engine time by tenant and rank, of all entries."""

    def __init__(self) -> None:
        self._uses: dict[TenantName, _Use] = {}
        # Limits by priority at one point in time: a decision needs them several times.
        self._limits_ms: dict[PriorityBand, float] = {}
        self._limits_at: float | None = None

    def __len__(self) -> int:
        """Return the number of tenants whose use is kept."""
        return len(self._uses)

    def record(self, tenant: TenantName, rank: int, work_ms: float, now: float) -> None:
        """Record work that was sent to an engine, by this or another entry."""
        if work_ms <= 0.0:
            return
        self._limits_at = None
        if tenant not in self._uses and len(self._uses) >= MAX_TENANTS:
            every_rank = slice(0, ENGINE_RANKS)
            del self._uses[
                min(self._uses, key=lambda t: self._uses[t].total(every_rank, now))
            ]
        use = self._uses.get(tenant)
        if use is None:
            use = self._uses[tenant] = _Use(now)
        use.add(min(max(rank, 0), ENGINE_RANKS - 1), work_ms, now)

    def exceeds(
        self, tenant: TenantName | None, band: PriorityBand, now: float
    ) -> bool:
        """Return whether a tenant has used more than its fair share of a priority.

        The largest of its requests does not count, so that a tenant with a few large
        ones is not held back for their size.
        """
        use = None if tenant is None else self._uses.get(tenant)
        if use is None:
            return False
        limit_ms = self._limit_ms(band, now)
        return use.without_largest(_ranks(band), now) > limit_ms

    def spares(self, tenant: TenantName | None, band: PriorityBand, now: float) -> bool:
        """Return whether another tenant is refused first: one that exceeds its share.

        Parameters
        ----------
        tenant : TenantName or None
            Tenant of a request that is expected to be late.
        """
        if tenant is None or self.exceeds(tenant, band, now):
            return False
        limit_ms, ranks = self._limit_ms(band, now), _ranks(band)
        uses = self._uses.values()
        return any(use.without_largest(ranks, now) > limit_ms for use in uses)

    def _limit_ms(self, band: PriorityBand, now: float) -> float:
        if self._limits_at != now:
            self._limits_ms.clear()
            self._limits_at = now
        limit_ms = self._limits_ms.get(band)
        if limit_ms is None:
            limit_ms = self._limits_ms[band] = self._compute_limit_ms(band, now)
        return limit_ms

    def _compute_limit_ms(self, band: PriorityBand, now: float) -> float:
        ranks = _ranks(band)
        totals = [use.total(ranks, now) for use in self._uses.values()]
        active = [total for total in totals if total >= MIN_USE_MS]
        share = EXCESS_FACTOR / max(1, len(active))
        return max(share, MIN_EXCESS_SHARE) * sum(active)


def _ranks(band: PriorityBand) -> slice:
    return slice(band.first_rank, band.first_rank + band.width)
