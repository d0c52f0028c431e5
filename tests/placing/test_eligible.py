"""Tests of the selection of targets that take a request."""

import pytest

from wigeonspan.common import DomainName, ServiceName
from wigeonspan.placing import TargetAvailability
from wigeonspan.placing._eligible import EligibleTargets
from wigeonspan.ratelimits import SharedRateLimits
from wigeonspan.targets import Target, TargetId


def make_target(name):
    return Target(TargetId(name), ServiceName("s"), "10.0.0.1:1", DomainName("a"), 8)


FIRST, SECOND = make_target("t1"), make_target("t2")


@pytest.fixture
def parts():
    health, limits = TargetAvailability(), SharedRateLimits()
    limits.set_entries(1, 2, 0.0)
    return health, limits, EligibleTargets(health, limits)


def test_limited_target_is_selected_in_its_turn_only(parts):
    """Without turns, both entries would send the whole limit."""
    _, limits, eligible = parts
    limits.learn("t1", 0.5, 10.0)
    assert eligible.select([FIRST, SECOND], (), 10.0) == [SECOND]
    assert eligible.select([FIRST, SECOND], (), 12.0) == [FIRST, SECOND]
    limits.take("t1", 12.0)
    assert eligible.select([FIRST, SECOND], (), 12.1) == [SECOND]


def test_claimed_target_is_selected_after_its_turn(parts):
    """A prompt was prefilled, and its decode engine no longer taken into account."""
    _, limits, eligible = parts
    limits.learn("t1", 0.5, 10.0)
    assert eligible.select([FIRST], (), 10.0, claimed={TargetId("t1")}) == [FIRST]
    assert eligible.select([FIRST], {TargetId("t1")}, 10.0, {TargetId("t1")}) == []


def test_return_is_the_first_end_of_a_pause_or_limit(parts):
    """Callers were told to return while every target still refused them."""
    health, limits, eligible = parts
    limits.learn("t1", 0.5, 10.0)
    health.pause(TargetId("t2"), 11.0)
    assert eligible.return_after_s([FIRST, SECOND], 10.0) == pytest.approx(1.0)
    assert eligible.return_after_s([FIRST], 10.0) == pytest.approx(2.0)
    assert eligible.return_after_s([FIRST], 10.0) == pytest.approx(6.0)
    assert eligible.return_after_s([], 10.0) == 0.0
