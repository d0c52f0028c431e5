"""Tests of the replays in which requests need more memory than their engines have."""

import pytest

from replay._figures import compute_figures
from replay._fleet import FleetSimulation
from replay._load import read_deployments, read_patterns

DEPLOYMENT, PATTERN = read_deployments()["lab"], read_patterns()["memory_bursts"]
SEEDS = (1, 2, 3, 4, 5, 6)
DURATION_S = 24.0


def simulate(seed, limits_memory):
    """Return the number of preempted streams and the share of the credit."""
    simulation = FleetSimulation(DEPLOYMENT, PATTERN, seed, limits_memory=limits_memory)
    outcomes = simulation.run(1.0, DURATION_S, seed)
    preemptions = sum(engine.preemptions for engine in simulation.engines)
    return preemptions, compute_figures(outcomes, DEPLOYMENT).credit_share


@pytest.fixture(scope="module")
def runs():
    """Runs of all seeds, without the rule and with it."""
    return [[simulate(seed, limits) for seed in SEEDS] for limits in (False, True)]


def test_bursts_preempt_streams_without_the_rule(runs):
    """Without preemptions in the replay, a rule against them could not be measured."""
    without, _ = runs
    assert sum(preemptions for preemptions, _ in without) >= 30


def test_rule_avoids_preemptions_and_costs_no_credit(runs):
    """Requests went to full engines while others had room, and streams paused."""
    without, with_rule = (
        [sum(figure) for figure in zip(*of_all, strict=True)] for of_all in runs
    )
    assert with_rule[0] < 0.25 * without[0]
    assert with_rule[1] >= without[1]


def test_rule_changes_nothing_where_memory_suffices():
    """Ordinary bursts fill no engine, so their requests must not be placed
    differently."""
    pattern = read_patterns()["long_bursts"]
    runs = [
        FleetSimulation(DEPLOYMENT, pattern, 1, limits_memory=limits).run(1.0, 12.0, 1)
        for limits in (False, True)
    ]
    assert runs[0] == runs[1]
