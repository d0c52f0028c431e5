"""Tests of the detection of standing queues."""

import pytest

from wigeonspan.placing._standing import MIN_STANDING_S, StandingQueueDetector

STEP_S = 0.02


def feed(detector, late, seconds, start=0.0):
    """Record requests, some of them late; return the time after the last one."""
    steps = int(seconds / STEP_S)
    for n in range(steps):
        detector.record(late(n), start + n * STEP_S)
    return start + steps * STEP_S


def test_long_lasting_lateness_is_a_standing_queue():
    """Guards against sustained overload without refusals: at four times the load, all
    requests waited for over a second and hardly any was on time."""
    detector = StandingQueueDetector()
    now = feed(detector, lambda n: True, 4.0)
    assert detector.is_standing(now)


@pytest.mark.parametrize(
    ("late", "seconds"),
    [
        (lambda n: True, MIN_STANDING_S),
        (lambda n: n % 2 == 0, 10.0),
        (lambda n: False, 10.0),
    ],
)
def test_bursts_and_mixed_lateness_are_no_standing_queue(late, seconds):
    """Late answers have some value; in short bursts, refusals cost more."""
    detector = StandingQueueDetector()
    now = feed(detector, late, seconds)
    assert not detector.is_standing(now)


def test_standing_queue_ends_when_requests_are_on_time_again():
    """Refusals must end when the overload ends."""
    detector = StandingQueueDetector()
    now = feed(detector, lambda n: True, 4.0)
    now = feed(detector, lambda n: False, 1.0, now)
    assert not detector.is_standing(now)
