"""How many engines decode, and which engine changes."""

import pytest

from wigeonspan.common import DomainName, HostId, ServiceName
from wigeonspan.staging import Demand, DemandMeter, next_changes, wanted_decode
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


def test_two_thirds_read_before_demand_is_known():
    """Prompts queued at two of six engines while four decode engines were half idle."""
    changes = next_changes(engines(P, P, D, D, D, D), None, 64)
    assert [phase for _, phase in changes] == [P, P]


def test_burst_of_streams_within_the_slots_changes_nothing():
    """Each change takes an engine away for seconds: phases that followed a burst cost
    more than they gave (worth 0.70 against 0.53)."""
    demand = Demand(read_engines=2.0, streams=100.0)
    assert next_changes(engines(P, P, P, P, D, D), demand, 1) == []


def test_streams_beyond_the_slots_add_a_decode_engine():
    """Streams that wait for a slot start late however fast their prompts are read."""
    demand = Demand(read_engines=1.0, streams=125.0)
    changes = next_changes(engines(P, P, P, P, D, D), demand, 1)
    assert [phase for _, phase in changes] == [D]


def test_busy_readers_get_an_idle_decode_engine():
    """The mix went to long prompts and decode engines stayed idle."""
    demand = Demand(read_engines=2.5, streams=40.0)
    changes = next_changes(engines(P, P, D, D, D, D), demand, 1)
    assert [phase for _, phase in changes] == [P]


def test_growing_and_shrinking_do_not_follow_each_other():
    """One engine went to and fro between the phases every ten seconds."""
    for streams in range(0, 400, 5):
        demand = Demand(read_engines=9.0, streams=float(streams))
        wanted = wanted_decode(9, 3, 64, demand)
        assert wanted_decode(9, wanted, 64, demand) == wanted


@pytest.mark.parametrize("count", [2, 3, 9, 30])
def test_one_engine_of_each_phase_is_left(count):
    """No demand may leave a service without a phase."""
    for demand in (Demand(0.0, 1e6), Demand(1e6, 0.0), None):
        wanted = wanted_decode(count, 1, 64, demand)
        assert 1 <= wanted <= count - 1


def test_change_comes_from_the_crowded_domain():
    """Both phases stay spread over the failure domains."""
    targets = engines(D, D, D, P, P, D, domains="aabbcc")
    chosen, _ = next_changes(targets, None, 1)[0]
    assert chosen.domain == "a"


def test_demand_ignores_the_totals_of_a_restarted_entry():
    """Totals that start anew once counted as a huge negative rate."""
    meter = DemandMeter()
    for second in range(10):
        meter.note(HOST, SERVICE, 500.0 * second, 2.0 * second, float(second))
    meter.note(HOST, SERVICE, 0.0, 0.0, 10.0)
    demand = meter.demand(SERVICE, 10.0)
    assert demand is not None
    assert demand.read_engines == pytest.approx(0.5, rel=0.2)
    assert demand.streams == pytest.approx(2.0, rel=0.2)


def test_demand_is_unknown_at_first_and_without_traffic():
    """A rate over the first second would be noise."""
    meter = DemandMeter()
    meter.note(HOST, SERVICE, 0.0, 0.0, 0.0)
    meter.note(HOST, SERVICE, 900.0, 3.0, 1.0)
    assert meter.demand(SERVICE, 1.0) is None


@pytest.mark.parametrize(
    ("fleet", "decoding"), [(2, 1), (6, 2), (9, 4), (30, 7), (59, 12)]
)
def test_large_fleets_keep_a_smaller_share_for_streams(fleet, decoding):
    """Two fifths of 30 engines decoded for a few dozen streams while prompts waited;
    with two of nine, streams became slow."""
    assert wanted_decode(fleet, 0, 64, None) == decoding
