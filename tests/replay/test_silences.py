"""Tests of replays in which sound engines fall silent for a second and go on."""

import pytest

from replay._fleet import FleetSimulation
from replay._load import read_deployments, read_patterns
from replay._messages import Ending

DEPLOYMENTS, PATTERNS = read_deployments(), read_patterns()
DURATION_S = 20.0


def endings(deployment, pattern):
    simulation = FleetSimulation(DEPLOYMENTS[deployment], PATTERNS[pattern], 1)
    outcomes = simulation.run(1.0, DURATION_S, 1)
    return simulation, [outcome.ending for outcome in outcomes]


@pytest.mark.parametrize("deployment", ["arkib", "tisza", "alcancia"])
def test_silences_fail_no_request_and_quarantine_no_part(deployment):
    """A silence was put down to the engine, and its requests were given up."""
    simulation, seen = endings(deployment, "silences")
    _, steady = endings(deployment, "steady")
    assert len(seen) == len(steady)
    assert seen.count(Ending.FAILED) <= steady.count(Ending.FAILED)
    assert not simulation.verdicts


def test_engine_loses_nothing_in_a_silence():
    """The model must differ from a crash, after which the engine starts anew."""
    simulation, seen = endings("arkib", "silences")
    served = sum(ending in (Ending.ON_TIME, Ending.LATE) for ending in seen)
    assert served / len(seen) > 0.97
    assert all(engine.is_up for engine in simulation.engines)
    assert all(engine.is_idle for engine in simulation.engines)
