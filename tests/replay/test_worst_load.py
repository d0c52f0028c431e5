"""Tests of the replays of the heaviest load: bursts, swaps, waves, a large tenant."""

import pytest
from msgspec import structs

from replay._engine import Engine, StreamJob
from replay._figures import compute_figures
from replay._fleet import FleetSimulation
from replay._load import draw_arrivals, read_deployments, read_patterns
from wigeonspan.common import DomainName, ServiceName
from wigeonspan.targets import Phase, Target, TargetId

DEPLOYMENTS, PATTERNS = read_deployments(), read_patterns()
LOADS = ["long_bursts", "swaps", "large_tenant", "waves"]


def draw(pattern, deployment="lab", seconds=20.0):
    return list(draw_arrivals(DEPLOYMENTS[deployment], pattern, 1.0, seconds, 1))


@pytest.mark.parametrize("name", LOADS)
def test_same_seed_gives_the_same_outcomes(name):
    """Variants of a rule can only be compared on the same load."""
    first, second = (
        FleetSimulation(DEPLOYMENTS["lab"], PATTERNS[name], 1).run(1.0, 8.0, 1)
        for _ in range(2)
    )
    assert first == second


def test_smaller_fleet_has_the_same_load_per_engine():
    """A scaled fleet with the whole load would be overloaded, not in a burst."""
    steady, small = PATTERNS["steady"], structs.replace(PATTERNS["steady"], engines=10)
    full_rate, small_rate = (len(draw(p)) / 20.0 for p in (steady, small))
    assert small_rate == pytest.approx(full_rate / 3.0, rel=0.08)


def test_waves_move_the_load_between_domains():
    """A wave that all domains shared would only be a burst."""
    arrivals = draw(PATTERNS["waves"], seconds=34.0)
    domains = DEPLOYMENTS["lab"].domains

    def share(domain, begin, end):
        window = [a for a in arrivals if begin <= a.arrival_s < end]
        return sum(a.entry % domains == domain for a in window) / len(window)

    # The first wave is at its maximum at 2.75 s and at its minimum at 8.25 s.
    assert share(0, 1.0, 4.5) > 1.5 * share(0, 6.5, 10.0)


def test_one_tenant_sends_most_of_a_kind():
    """Without a large tenant, a fair share could not be seen to work."""
    arrivals = draw(PATTERNS["large_tenant"])
    short = [a for a in arrivals if a.kind == "short"]
    assert sum(a.tenant == "t0" for a in short) / len(short) == pytest.approx(
        0.8, abs=0.05
    )
    assert len({a.tenant for a in arrivals}) == 77
    assert all(a.tenant is None for a in draw(PATTERNS["swaps"]))


def test_figures_show_the_tenants():
    """A large tenant's effect on the others cannot be seen by kind."""
    deployment, pattern = DEPLOYMENTS["lab"], PATTERNS["large_tenant"]
    outcomes = FleetSimulation(deployment, pattern, 1).run(1.0, 8.0, 1)
    figures = compute_figures(outcomes, deployment)
    short = {t: f for (t, kind), f in figures.tenants.items() if kind == "short"}
    assert short["t0"].requests > sum(
        f.requests for tenant, f in short.items() if tenant != "t0"
    )


def make_engine(memory_tokens):
    events = []
    target = Target(
        TargetId("d"),
        ServiceName("models"),
        "10.0.0.1:1",
        DomainName("z"),
        8,
        phase=Phase.DECODE,
    )

    def schedule(delay_s, event):
        events.append((delay_s, event))

    engine = Engine(target, memory_tokens, 4.0, 50.0, schedule, shares_memory=True)
    return engine, events


def make_stream(urgency, memory_tokens, ended):
    return StreamJob(
        10,
        urgency,
        lambda: None,
        lambda completed: ended.append(urgency),
        lambda pause_s: None,
        memory_tokens=memory_tokens,
    )


def test_newest_of_the_least_urgent_streams_gives_way():
    """An urgent stream would wait for memory behind ones that the operator ranks
    lower."""
    engine, events = make_engine(100)
    streams = [make_stream(u, m, []) for u, m in ((3, 30), (6, 30), (6, 30), (0, 40))]
    for stream in streams:
        engine.submit_stream(stream)
    assert [s.preemptions for s in streams] == [0, 0, 1, 0]
    # The events of the preempted run must not end its second one.
    assert engine.preemptions == 1


def test_preempted_stream_ends_once():
    """Events of the first run would end the second one early, or twice."""
    engine, events = make_engine(100)
    ended = []
    engine.submit_stream(make_stream(6, 80, ended))
    engine.submit_stream(make_stream(0, 80, ended))
    while events:
        events.sort(key=lambda item: item[0])
        _, event = events.pop(0)
        event()
    assert ended == [0, 6]
    assert engine.is_idle


def test_equally_urgent_stream_waits_for_memory():
    """Streams of one rank would preempt each other without end."""
    engine, _ = make_engine(100)
    first, second = (make_stream(3, 80, []) for _ in range(2))
    engine.submit_stream(first)
    engine.submit_stream(second)
    assert first.preemptions == second.preemptions == 0
