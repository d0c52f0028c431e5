"""Tests of the number of decode engines and the choice of engines to change."""

import pytest
from msgspec.structs import replace

from wigeonspan.common import DomainName, HostId, ServiceName
from wigeonspan.staging import (
    DemandMeter,
    EngineDemand,
    allowed_changes,
    desired_decode_engines,
    next_changes,
)
from wigeonspan.targets import Phase, Target, TargetId

SERVICE = ServiceName("models")
HOST = HostId("e1")


def engines(*phases, domains="abc"):
    return [
        Target(
            TargetId(f"t{n}"),
            SERVICE,
            f"10.0.0.{n}:80",
            DomainName(domains[n % len(domains)]),
            64,
            phase=phase,
        )
        for n, phase in enumerate(phases)
    ]


P, D = Phase.PREFILL, Phase.DECODE


def test_two_thirds_are_prefill_engines_before_demand_is_known():
    """Guards against prompts that wait for two of six engines while four decode engines
    are half idle."""
    changes = next_changes(engines(P, P, D, D, D, D), None, 64)
    assert [phase for _, phase in changes] == [P, P]


def test_burst_of_streams_within_the_slots_changes_nothing():
    """Each change makes an engine unavailable for seconds, so phases that followed
    bursts cost more than they gained (a score of 0.70 against 0.53)."""
    demand = EngineDemand(busy_prefill_engines=2.0, streams=100.0)
    assert next_changes(engines(P, P, P, P, D, D), demand, 1) == []


def test_streams_beyond_the_slots_add_a_decode_engine():
    """Streams that wait for a slot start late however fast their prefill is."""
    demand = EngineDemand(busy_prefill_engines=1.0, streams=125.0)
    changes = next_changes(engines(P, P, P, P, D, D), demand, 1)
    assert [phase for _, phase in changes] == [D]


def test_busy_prefill_engines_get_an_idle_decode_engine():
    """Guards against idle decode engines when the traffic shifts to long prompts."""
    demand = EngineDemand(busy_prefill_engines=2.5, streams=40.0)
    changes = next_changes(engines(P, P, D, D, D, D), demand, 1)
    assert [phase for _, phase in changes] == [P]


def test_growing_and_shrinking_do_not_follow_each_other():
    """Guards against an engine that flaps between the phases every ten seconds."""
    for streams in range(0, 400, 5):
        demand = EngineDemand(busy_prefill_engines=9.0, streams=float(streams))
        desired = desired_decode_engines(9, 3, 64, demand)
        assert desired_decode_engines(9, desired, 64, demand) == desired


@pytest.mark.parametrize("count", [2, 3, 9, 30])
def test_one_engine_of_each_phase_remains(count):
    """Each phase must keep an engine whatever the demand."""
    for demand in (EngineDemand(0.0, 1e6), EngineDemand(1e6, 0.0), None):
        desired = desired_decode_engines(count, 1, 64, demand)
        assert 1 <= desired <= count - 1


def test_change_is_made_in_the_domain_with_most_engines():
    """Both phases must stay spread over the failure domains."""
    targets = engines(D, D, D, P, P, D, domains="aabbcc")
    chosen, _ = next_changes(targets, None, 1)[0]
    assert chosen.domain == "a"


def test_demand_ignores_the_totals_of_a_restarted_entry():
    """Guards against a large negative rate from totals that restart at 0."""
    meter = DemandMeter()
    for second in range(10):
        meter.record(HOST, SERVICE, 500.0 * second, 2.0 * second, float(second))
    meter.record(HOST, SERVICE, 0.0, 0.0, 10.0)
    demand = meter.demand(SERVICE, 10.0)
    assert demand is not None
    assert demand.busy_prefill_engines == pytest.approx(0.5, rel=0.2)
    assert demand.streams == pytest.approx(2.0, rel=0.2)


def test_demand_is_unknown_at_first_and_without_traffic():
    """A rate over the first second would be mostly noise."""
    meter = DemandMeter()
    meter.record(HOST, SERVICE, 0.0, 0.0, 0.0)
    meter.record(HOST, SERVICE, 900.0, 3.0, 1.0)
    assert meter.demand(SERVICE, 1.0) is None


@pytest.mark.parametrize(
    ("fleet", "decoding"), [(2, 1), (6, 2), (9, 4), (30, 7), (59, 12)]
)
def test_large_fleets_have_a_smaller_share_of_decode_engines(fleet, decoding):
    """Guards against a fixed share: with two fifths of 30 engines for a few dozen
    streams, prompts waited; with two of nine engines, streams became slow."""
    assert desired_decode_engines(fleet, 0, 64, None) == decoding


@pytest.mark.parametrize("fleet", [14, 30, 56, 120])
def test_engines_with_few_slots_need_a_larger_share(fleet):
    """The share ignored the slots and left 11 engines with 12 slots each for streams
    that needed 190."""
    few, many = (desired_decode_engines(fleet, 0, slots, None) for slots in (12, 64))
    assert few >= 0.35 * fleet
    assert few > many


def test_shortage_of_slots_is_corrected_at_once():
    """One engine every ten seconds was changed while requests were lost."""
    targets = engines(*[P] * 16, *[D] * 2)
    demand = EngineDemand(4.0, 400.0, recent_streams=400.0, is_settled=False)
    allowed = allowed_changes(targets, demand, idle_s=0.5)
    assert allowed == 4
    assert [phase for _, phase in next_changes(targets, demand, allowed)] == [D] * 4


def test_phases_do_not_follow_noise_without_a_shortage():
    """Each change takes an engine out of service for seconds."""
    targets = engines(*[P] * 16, *[D] * 2)
    demand = EngineDemand(4.0, 120.0, recent_streams=125.0)
    assert allowed_changes(targets, demand, idle_s=9.0) == 0
    assert allowed_changes(targets, demand, idle_s=11.0) == 1
    unsettled = EngineDemand(4.0, 120.0, recent_streams=125.0, is_settled=False)
    assert allowed_changes(targets, unsettled, idle_s=11.0) == 0


def test_shortage_of_slots_leaves_the_prefill_engines_that_are_needed():
    """With too few engines for both phases, prompts must not lose all of theirs."""
    demand = EngineDemand(20.0, 640.0, recent_streams=640.0)
    assert desired_decode_engines(18, 6, 64, demand) == 6
    burst = EngineDemand(20.0, 640.0, recent_streams=1280.0)
    assert desired_decode_engines(18, 6, 64, burst) == 9


def test_recent_demand_is_known_before_the_mean_is_settled():
    """A wrong number at the start was kept for six seconds, then for ten more."""
    meter = DemandMeter()
    for half_second in range(9):
        seconds = half_second / 2.0
        meter.record(HOST, SERVICE, 500.0 * seconds, 40.0 * seconds, seconds)
    demand = meter.demand(SERVICE, 4.0)
    assert demand is not None and not demand.is_settled
    assert demand.recent_streams == pytest.approx(40.0, rel=0.2)


@pytest.mark.parametrize("slots", [0, 1, 10_000])
def test_wrong_slots_of_one_engine_change_no_other_engine(slots):
    """The smallest number of slots counted for all engines.

    An entry of the list without its slots, which then count as one, made 15 of 16
    engines decode where 8 were needed.
    """
    fleet = engines(*[D] * 8, *[P] * 8)
    fleet[0] = replace(fleet[0], slots=slots)
    demand = EngineDemand(5.0, 200.0, 200.0, True)
    changes = allowed_changes(fleet, demand, 100.0)
    assert next_changes(fleet, demand, changes) == []


def test_elastic_fleet_has_the_same_reserve_in_both_phases():
    """A burst of streams came while most of the reserve could only prefill.

    Changing engines in the burst takes them out of service for seconds, so an elastic
    fleet changes them before.
    """
    fleet = engines(*[P] * 38, *[D] * 7)
    demand = EngineDemand(9.0, 265.0, recent_streams=265.0)
    changes = next_changes(fleet, demand, 99, elastic=True)
    decoding = 7 + len(changes)
    slot_load = 265.0 / fleet[0].slots / decoding
    prefill_load = 9.0 / (45 - decoding)
    assert abs(slot_load - prefill_load) < 0.06
    assert {phase for _, phase in changes} == {Phase.DECODE}


def test_elastic_fleet_does_not_follow_small_differences():
    """Each change takes an engine out of service, so waves must not cause any."""
    fleet = engines(*[P] * 31, *[D] * 14)
    for streams in (230.0, 265.0, 300.0):
        demand = EngineDemand(9.0, streams, recent_streams=streams)
        assert next_changes(fleet, demand, 99, elastic=True) == []


@pytest.mark.parametrize("streams", [0.0, 1e6])
def test_elastic_fleet_keeps_both_phases(streams):
    """Without an engine of a phase, nothing is served."""
    fleet = engines(*[P] * 6, *[D] * 6)
    demand = EngineDemand(3.0, streams, recent_streams=streams)
    changes = next_changes(fleet, demand, 99, elastic=True)
    assert len(changes) <= 4


def test_elastic_fleet_changes_few_engines_together():
    """The others have to take over the work of those that change."""
    fleet = engines(*[P] * 30, *[D] * 10)
    demand = EngineDemand(9.0, 100.0, recent_streams=100.0)
    assert allowed_changes(fleet, demand, 60.0, elastic=True) == 5
    assert allowed_changes(fleet, demand, 1.0, elastic=True) == 0
