"""Tests of the turns by which entries share the limits of targets."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonspan.common import ServiceName
from wigeonspan.ratelimits import ReturnSchedule, SharedRateLimits
from wigeonspan.ratelimits._turns import SHRINK_DELAY_S

SPAN_S = 4.0


def allowed(rate):
    """Return the requests that a target may get in any span, by the users' rule."""
    return 1.5 * rate * SPAN_S + 5


def start_entries(count, rate, rng, lag_s=0.06):
    entries = []
    for rank in range(count):
        limits = SharedRateLimits()
        limits.set_entries(rank, count, 0.0)
        limits.learn("t", rate, rng.random() * lag_s)
        entries.append(limits)
    return entries


def play(entries, requests_per_s, duration_s, rng, start_s=0.1):
    """Send requests at random entries whenever these allow it; return the times."""
    now, sent = start_s, []
    while now < duration_s:
        now += rng.expovariate(requests_per_s)
        limits = rng.choice(entries)
        if not limits.wait_s("t", now):
            limits.take("t", now)
            sent.append(now)
    return sent


def most_in_a_span(sent):
    return max(
        (sum(at <= other < at + SPAN_S for other in sent) for at in sent), default=0
    )


@pytest.mark.parametrize("count", [1, 8, 83, 195])
@pytest.mark.parametrize("rate", [0.3, 3.3, 25.0])
def test_sum_of_all_entries_keeps_to_the_limit(count, rate):
    """Eight entries with the whole limit each would send eight times as much."""
    rng = random.Random(1)
    sent = play(start_entries(count, rate, rng), 300.0, 60.0, rng)
    assert most_in_a_span(sent) <= allowed(rate)


@pytest.mark.parametrize("count", [1, 8, 83, 195])
@pytest.mark.parametrize("rate", [0.3, 3.3, 25.0])
def test_limit_is_used_when_there_is_demand(count, rate):
    """Equal parts of entries that save nothing would leave most of the limit unused."""
    rng = random.Random(2)
    sent = play(start_entries(count, rate, rng), 300.0, 60.0, rng)
    assert len(sent) >= 0.6 * rate * 60.0


@pytest.mark.parametrize("count", [8, 195])
def test_demand_after_a_pause_does_not_use_saved_turns_together(count):
    """The saved turns of 195 entries would arrive at once."""
    rng = random.Random(3)
    sent = play(start_entries(count, 3.3, rng), 400.0, 90.0, rng, start_s=80.0)
    assert most_in_a_span(sent) <= allowed(3.3)


@settings(max_examples=30, deadline=None)
@given(
    st.integers(1, 60),
    st.lists(st.floats(0.2, 30.0), min_size=1, max_size=6),
    st.integers(0, 1000),
)
def test_changes_of_the_limit_do_not_add_requests(count, rates, seed):
    """The turns move when a target names another rate."""
    rng = random.Random(seed)
    entries = start_entries(count, rates[0], rng)
    sent, start_s = [], 0.1
    for number, rate in enumerate(rates):
        for limits in entries:
            limits.learn("t", rate, 5.0 * number)
        sent += play(entries, 200.0, start_s + 5.0, rng, start_s)
        start_s += 5.0
    assert most_in_a_span(sent) <= allowed(max(rates))


def test_smaller_number_of_entries_takes_effect_late():
    """A control host that had just started listed a quarter of the entries, and each of
    them would have sent four times its part."""
    limits = SharedRateLimits()
    limits.set_entries(0, 80, 0.0)
    limits.learn("t", 4.0, 0.0)
    limits.set_entries(0, 20, 10.0)
    limits.wait_s("t", 10.0)
    assert limits.own_rate("t") == pytest.approx(4.0 / 80)
    limits.set_entries(0, 100, 11.0)
    assert limits.own_rate("t") == pytest.approx(4.0 / 100)
    limits.set_entries(0, 90, 12.0)
    limits.wait_s("t", 12.5 + SHRINK_DELAY_S)
    assert limits.own_rate("t") == pytest.approx(4.0 / 90)


def test_limit_ends_with_an_answer_without_it():
    """A limit holds only for as long as the target names it."""
    limits = SharedRateLimits()
    limits.set_entries(5, 8, 0.0)
    limits.learn("t", 0.5, 10.0)
    assert limits.wait_s("t", 10.0) > 0.0
    assert limits.lift("t", 11.0)
    assert limits.wait_s("t", 11.0) == 0.0


def test_late_answer_to_an_earlier_request_does_not_lift_the_limit():
    """Answers overtake each other on different connections."""
    limits = SharedRateLimits()
    limits.learn("t", 0.5, 10.0)
    assert not limits.lift("t", 9.9)
    assert limits.rates == {"t": 0.5}


def test_limit_is_announced_when_it_changes_and_every_second():
    """An entry that has just started learned of a limit only from its own answer."""
    limits = SharedRateLimits()
    assert limits.announcement_due("t", 0.0, changed=limits.learn("t", 2.0, 0.0))
    assert not limits.announcement_due("t", 0.5, changed=limits.learn("t", 2.0, 0.5))
    assert limits.announcement_due("t", 0.6, changed=limits.learn("t", 3.0, 0.6))
    assert limits.announcement_due("t", 1.7, changed=limits.learn("t", 3.0, 1.7))


def test_refused_callers_return_one_after_the_other():
    """With the same time for all, they came back together and were refused again."""
    schedule, service = ReturnSchedule(), ServiceName("s")
    returns = [schedule.next_return_s(service, 0.3, 2.0, 5.0) for _ in range(4)]
    assert returns == pytest.approx([0.3, 0.8, 1.3, 1.8])
    assert schedule.next_return_s(service, 0.3, 2.0, 60.0) == pytest.approx(0.3)
    late = [schedule.next_return_s(service, 0.1, 0.01, 70.0) for _ in range(5)]
    assert all(seconds <= 10.0 for seconds in late)


def test_callers_of_one_service_do_not_wait_for_those_of_another():
    """All services shared one schedule, and a slow one delayed the others."""
    schedule = ReturnSchedule()
    for _ in range(5):
        schedule.next_return_s(ServiceName("slow"), 0.1, 0.5, 5.0)
    fast = schedule.next_return_s(ServiceName("fast"), 0.1, 0.5, 5.0)
    assert fast == pytest.approx(0.1)


@pytest.mark.parametrize(
    "rate", [1e-320, 1e-300, 1e-9, 1e9, 1e300, 1e308, float("inf")]
)
def test_extreme_limit_gives_finite_waits(rate):
    """The turns of such a rate overflowed, at each request that considers the target.

    A target names its limit itself, and other entries announce it.
    """
    limits = SharedRateLimits()
    limits.set_entries(1, 3, 0.0)
    limits.learn("t", rate, 0.0)
    for now in (0.5, 1.0, 1e6):
        assert 0.0 <= limits.wait_s("t", now) < 1e5
        limits.take("t", now)
        assert 0.0 <= limits.wait_s("t", now) < 1e5
    assert limits.own_rate("t") > 0.0
    at = ReturnSchedule().next_return_s(
        ServiceName("s"), 0.0, limits.own_rate("t"), 0.0
    )
    assert at == 0.0
    assert limits.learn("t", rate, 2.0) is False
