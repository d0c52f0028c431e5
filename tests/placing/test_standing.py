"""Queues that stand, told from bursts."""

import pytest

from wigeonspan.placing._standing import STANDS_AFTER_S, StandingQueue

STEP_S = 0.02


def feed(queue, late, seconds, start=0.0):
    """Note requests of which some are late; return the time after them."""
    steps = int(seconds / STEP_S)
    for n in range(steps):
        queue.note(late(n), start + n * STEP_S)
    return start + steps * STEP_S


def test_queue_stands_when_nearly_all_are_late_for_long():
    """At four times the load all requests waited for over a second, and hardly any was
    on time."""
    queue = StandingQueue()
    now = feed(queue, lambda n: True, 4.0)
    assert queue.stands(now)


@pytest.mark.parametrize(
    ("late", "seconds"),
    [
        (lambda n: True, STANDS_AFTER_S),
        (lambda n: n % 2 == 0, 10.0),
        (lambda n: False, 10.0),
    ],
)
def test_burst_and_mixed_times_are_no_standing_queue(late, seconds):
    """Late answers still earn something; refusing them in a short burst cost more."""
    queue = StandingQueue()
    now = feed(queue, late, seconds)
    assert not queue.stands(now)


def test_queue_is_gone_when_requests_are_on_time_again():
    """Refusals must end with the load."""
    queue = StandingQueue()
    now = feed(queue, lambda n: True, 4.0)
    now = feed(queue, lambda n: False, 1.0, now)
    assert not queue.stands(now)
