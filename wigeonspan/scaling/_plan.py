"""Decision how many replicas of which kind each failure domain has.

It answers reclaims: the platform takes away all reclaimable replicas of a domain within
seconds, and the rest must still serve the urgent requests.
"""

import math
from collections.abc import Collection, Mapping

from wigeonspan.common import DomainName
from wigeonspan.fleetconfig import ScalingSpec
from wigeonspan.scaling._messages import DomainFleet, FleetNeed, FleetPlan

RELEASE_SHARE = 8
"""One in this number of replicas may be released in ``RELEASE_INTERVAL_S``; the caches
of the others take over their prompts meanwhile."""

RELEASE_INTERVAL_S = 2.0
"""Seconds between two releases while there is traffic."""


def plan_fleet(
    spec: ScalingSpec,
    domains: Collection[DomainName],
    need: FleetNeed,
    unavailable: Collection[DomainName] = (),
) -> FleetPlan:
    """Return the fleet that serves a need at the least price.

    Parameters
    ----------
    domains : collection of DomainName
        Failure domains in which the service may run.
    unavailable : collection of DomainName
        Domains that have no reclaimable replicas at present.
    """
    by_price = sorted(domains, key=lambda d: (spec.domain_prices.get(d, 1.0), d))
    limits = {d: spec.most for d in by_price}
    total = min(need.total, sum(limits.values()))
    least = {d: spec.least for d in by_price}
    if spec.reclaimable_price >= 1.0:
        kept = _spread(max(total, sum(least.values())), limits, least)
        return {d: DomainFleet(kept[d]) for d in by_price}
    for number in range(min(need.urgent, total), total + 1):
        kept = _spread(max(number, sum(least.values())), limits, least)
        room = {d: 0 if d in unavailable else limits[d] - kept[d] for d in by_price}
        reclaimable = _spread(total - sum(kept.values()), room)
        plan = {d: DomainFleet(kept[d], reclaimable[d]) for d in by_price}
        if sum(fleet.total for fleet in plan.values()) < min(total, need.required):
            # What is not available as reclaimable replicas is ordered as ordinary ones.
            continue
        if _after_worst_reclaim(plan) >= min(need.urgent, total):
            return plan
    kept = _spread(max(total, sum(least.values())), limits, least)
    return {d: DomainFleet(kept[d]) for d in by_price}


def _after_worst_reclaim(plan: FleetPlan) -> int:
    """Return the replicas that remain when the worst domain's are reclaimed."""
    total = sum(fleet.total for fleet in plan.values())
    return total - max((fleet.reclaimable for fleet in plan.values()), default=0)


def _spread(
    number: int,
    limits: Mapping[DomainName, int],
    least: Mapping[DomainName, int] | None = None,
) -> dict[DomainName, int]:
    """Spread a number evenly over domains, the remainder over the first ones.

    Parameters
    ----------
    limits : mapping
        Largest number by domain.
    least : mapping or None
        Smallest number by domain.
    """
    shares = dict(least) if least is not None else dict.fromkeys(limits, 0)
    left = number - sum(shares.values())
    while left > 0:
        open_domains = [d for d in limits if shares[d] < limits[d]]
        if not open_domains:
            break
        lowest = min(shares[d] for d in open_domains)
        level = [d for d in open_domains if shares[d] == lowest]
        # All lowest domains rise together, up to the next one or to a limit.
        bounds = [limits[d] for d in level] + [
            shares[d] for d in open_domains if shares[d] > lowest
        ]
        rise = min(min(bounds) - lowest, left // len(level))
        for domain in level if rise else level[:left]:
            shares[domain] += rise or 1
            left -= rise or 1
    return shares


def next_step(
    plan: FleetPlan,
    present: FleetPlan,
    ordered: FleetPlan,
    *,
    may_release: bool,
    paced: bool,
) -> FleetPlan:
    """Return the numbers to order now on the way to a plan.

    Growing is immediate. Replicas are released only when those that replace them are
    present, and with traffic an eighth of the fleet at a time.

    Parameters
    ----------
    present : FleetPlan
        Replicas that are listed and do not leave.
    ordered : FleetPlan
        Numbers that were ordered last.
    may_release : bool
        Whether replicas may be released now.
    paced : bool
        Whether there is traffic, so that the pace of releases applies.
    """
    step = {
        domain: DomainFleet(
            max(wanted.kept, ordered.get(domain, DomainFleet()).kept),
            max(wanted.reclaimable, ordered.get(domain, DomainFleet()).reclaimable),
        )
        for domain, wanted in plan.items()
    }
    if not may_release:
        return step
    present_total = sum(fleet.total for fleet in present.values())
    spare = present_total - sum(fleet.total for fleet in plan.values())
    if paced:
        spare = min(spare, math.ceil(present_total / RELEASE_SHARE))
    while spare > 0:
        # The domain with the most replicas beyond the plan goes first, so that the
        # fleet stays spread.
        excess = {d: step[d].total - plan[d].total for d in plan}
        domain = max(excess, key=lambda d: (excess[d], d))
        fleet, wanted = step[domain], plan[domain]
        if fleet.kept > wanted.kept:
            step[domain] = DomainFleet(fleet.kept - 1, fleet.reclaimable)
        elif fleet.reclaimable > wanted.reclaimable:
            step[domain] = DomainFleet(fleet.kept, fleet.reclaimable - 1)
        else:
            break
        spare -= 1
    return step
