"""Tests of the plan of a fleet, and of the way to it, under reclaims and waves."""

import time

import pytest

from wigeonspan.common import DomainName
from wigeonspan.fleetconfig import ScalingSpec
from wigeonspan.scaling import (
    DomainFleet,
    FleetNeed,
    PeakDemand,
    needed_engines,
    next_step,
    plan_fleet,
)
from wigeonspan.staging import EngineDemand

A, B, C, D = DOMAINS = [DomainName(d) for d in "abcd"]
PRICES = {A: 0.85, B: 1.2, C: 1.0, D: 1.1}
SPEC = ScalingSpec(1, 15, 4.0, 0.18, PRICES)
FOUND = {d: DomainFleet(8 if d in (A, B) else 7) for d in DOMAINS}


def need(total, urgent, required=None):
    return FleetNeed(total, urgent, total if required is None else required)


def kept(plan):
    return sum(f.kept for f in plan.values())


def reclaimable(plan):
    return sum(f.reclaimable for f in plan.values())


def total(plan):
    return kept(plan) + reclaimable(plan)


@pytest.mark.parametrize("wanted", [need(30, 7), need(8, 5), need(55, 9)])
def test_no_reclaim_of_a_domain_leaves_the_urgent_requests_short(wanted):
    """A domain's reclaimable replicas all leave within seconds."""
    plan = plan_fleet(SPEC, DOMAINS, wanted)
    assert total(plan) == wanted.total
    for domain in DOMAINS:
        assert total(plan) - plan[domain].reclaimable >= wanted.urgent
    # Overlapping reclaims of all domains leave the ordinary ones.
    assert kept(plan) >= wanted.urgent


def test_cheap_replicas_are_preferred_and_spread():
    """In one cheap domain, all of them would leave together."""
    plan = plan_fleet(SPEC, DOMAINS, need(30, 7))
    counts = [plan[d].reclaimable for d in DOMAINS]
    assert kept(plan) == 7 and max(counts) - min(counts) <= 1
    assert plan[A].kept >= plan[B].kept


@pytest.mark.parametrize("price", [1.0, 1.5])
def test_reclaimable_replicas_that_save_nothing_are_not_ordered(price):
    """They would only add the risk of a reclaim."""
    spec = ScalingSpec(1, 15, 4.0, price, PRICES)
    plan = plan_fleet(spec, DOMAINS, need(30, 7))
    assert reclaimable(plan) == 0 and kept(plan) == 30


def test_domain_without_reclaimable_replicas_is_made_up_for():
    """After a reclaim, a domain has none for seconds, and demand does not wait."""
    plan = plan_fleet(SPEC, DOMAINS, need(30, 7), {B})
    assert plan[B].reclaimable == 0 and total(plan) == 30


def test_ordinary_replicas_replace_reclaimable_ones_that_are_nowhere_to_be_had():
    """Without it, the fleet would stay at the few ordinary ones."""
    plan = plan_fleet(SPEC, DOMAINS, need(30, 7), set(DOMAINS))
    assert kept(plan) == 30


def test_reserve_is_not_made_of_ordinary_replicas():
    """Without reclaimable ones in a domain, the reserve was ordered at full price."""
    plan = plan_fleet(SPEC, DOMAINS, need(54, 9, 28), {C})
    assert kept(plan) == 9 and total(plan) >= 28
    plan = plan_fleet(SPEC, DOMAINS, need(54, 9, 28), set(DOMAINS))
    assert kept(plan) == total(plan) == 28


@pytest.mark.parametrize("wanted", [need(1, 1), need(1000, 800)])
def test_bounds_of_the_configuration_hold(wanted):
    """The operator's bounds apply to both kinds together in each domain."""
    plan = plan_fleet(SPEC, DOMAINS, wanted)
    assert all(1 <= fleet.total <= 15 for fleet in plan.values())


def test_ordinary_replicas_stay_until_others_replace_them():
    """Replicas that were released before their replacements had booted left a gap."""
    plan = plan_fleet(SPEC, DOMAINS, need(30, 7))
    step = next_step(plan, FOUND, FOUND, may_release=True, paced=False)
    assert kept(step) == 30 and reclaimable(step) == 23
    present = {d: DomainFleet(FOUND[d].kept, 3) for d in DOMAINS}
    step = next_step(plan, present, step, may_release=True, paced=False)
    assert kept(step) == 30 - 12


def test_fleet_with_traffic_shrinks_an_eighth_at_a_time():
    """The caches of the others must take over the prompts of those that leave."""
    plan = plan_fleet(SPEC, DOMAINS, need(30, 7))
    present = {d: DomainFleet(FOUND[d].kept, plan[d].reclaimable) for d in DOMAINS}
    step = next_step(plan, present, present, may_release=True, paced=True)
    assert total(present) - total(step) == 7
    unchanged = next_step(plan, present, present, may_release=False, paced=True)
    assert unchanged == present


def test_growth_does_not_wait():
    """A replica that is ordered late serves none of the burst."""
    plan = plan_fleet(SPEC, DOMAINS, need(50, 9))
    small = plan_fleet(SPEC, DOMAINS, need(20, 5))
    step = next_step(plan, small, small, may_release=False, paced=True)
    assert all(step[d].total >= plan[d].total for d in DOMAINS)


def test_way_to_a_plan_ends_at_the_plan():
    """Orders that were carried out late must not keep the fleet from its plan."""
    plan = plan_fleet(SPEC, DOMAINS, need(30, 7))
    present = {A: DomainFleet(15, 0), B: DomainFleet(1, 14)}
    present |= {C: DomainFleet(0, 0), D: DomainFleet(9, 3)}
    for _ in range(40):
        present = next_step(plan, present, present, may_release=True, paced=True)
    assert present == plan


def test_waves_of_demand_do_not_shrink_the_fleet():
    """With waves of 17 s, a fleet that followed each of them lost its caches."""
    peak = PeakDemand()
    needs = []
    for second in range(120):
        high = second % 17 < 8
        needs.append(peak.record(need(40 if high else 15, 5), float(second)).total)
    assert set(needs) == {40}
    assert peak.record(need(15, 5), 200.0).total == 15


def test_need_covers_a_burst_of_long_prompts():
    """At 2.5 times the demand, engines must not be busy all the time."""
    engines = needed_engines(EngineDemand(7.5, 60.0, 80.0), 64)
    assert engines.total >= 7.5 * 2.5 + 2
    assert engines.urgent < engines.total / 2


def test_urgent_requests_are_planned_from_their_own_demand():
    """Engines for all kinds of request were kept when only a few needed them."""
    demand = EngineDemand(9.0, 265.0, 265.0)
    assumed = needed_engines(demand, 64).urgent
    known = needed_engines(demand, 64, EngineDemand(2.0, 120.0, 120.0)).urgent
    assert known == 3 + 3 and known < assumed


def test_service_has_both_phases_however_small_its_demand():
    """With one engine for a phase, its loss would stop the service."""
    assert needed_engines(EngineDemand(0.1, 0.1), 64) == need(4, 4)


@pytest.mark.parametrize("unavailable", [(), DOMAINS, DOMAINS[:3]])
def test_largest_fleet_is_planned_quickly(unavailable):
    """One entry with an absurd total of demand stopped the leader for seconds."""
    spec = ScalingSpec(1, 1000, 4.0, 0.18, PRICES)
    started_at = time.process_time()
    plan = plan_fleet(spec, DOMAINS, need(10**12, 10), unavailable)
    assert time.process_time() - started_at < 1.0
    assert total(plan) == 4000
