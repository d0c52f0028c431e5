"""Tests of replays in which engines crash under parts of prompts."""

import pytest

from replay._fleet import FleetSimulation
from replay._load import draw_arrivals, read_deployments, read_patterns

DEPLOYMENTS, PATTERNS = read_deployments(), read_patterns()


@pytest.mark.parametrize("deployment", ["arkib", "tisza", "alcancia"])
@pytest.mark.parametrize("pattern", ["culprit", "culprit_first", "culprits"])
def test_culprits_are_quarantined_and_no_other_part(deployment, pattern):
    """Each request with the part crashed one engine more."""
    simulation = FleetSimulation(DEPLOYMENTS[deployment], PATTERNS[pattern], 1)
    simulation.run(1.0, 20.0, 1)
    assert simulation.verdicts.keys() == simulation.culprits.keys()
    for culprit in simulation.culprits.values():
        assert 0 < len(culprit.crashes) <= 5
        assert culprit.late_sends() <= 3


@pytest.mark.parametrize("pattern", ["engine_lost", "flips", "late_reports"])
def test_plain_crashes_quarantine_no_part(pattern):
    """A lost engine breaks off streams that had no event yet."""
    simulation = FleetSimulation(DEPLOYMENTS["arkib"], PATTERNS[pattern], 1)
    simulation.run(1.0, 30.0, 1)
    assert not simulation.verdicts


def test_culprits_leave_the_other_requests_as_they_are():
    """Patterns could not be compared if a culprit changed all random numbers."""
    plain, changed = (
        list(draw_arrivals(DEPLOYMENTS["arkib"], PATTERNS[name], 1.0, 20.0, 1))
        for name in ("steady", "culprit")
    )
    assert [a.arrival_s for a in plain] == [a.arrival_s for a in changed]
    assert all(
        a.prompt == b.prompt
        for a, b in zip(plain, changed, strict=True)
        if b.culprit is None
    )
    assert any(b.culprit is not None for b in changed)
