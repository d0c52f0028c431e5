"""Tests of the replays in which requests need more memory than their engines have."""

from replay._fleet import FleetSimulation
from replay._load import read_deployments, read_patterns

DEPLOYMENT, PATTERN = read_deployments()["lab"], read_patterns()["memory_bursts"]
SEEDS = (1, 5, 6)
DURATION_S = 24.0


def count_preemptions(seed):
    simulation = FleetSimulation(DEPLOYMENT, PATTERN, seed)
    simulation.run(1.0, DURATION_S, seed)
    return sum(engine.preemptions for engine in simulation.engines)


def test_bursts_preempt_streams_without_the_rule():
    """Without preemptions in the replay, a rule against them could not be measured."""
    assert all(count_preemptions(seed) >= 5 for seed in SEEDS)
