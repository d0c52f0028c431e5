"""Tests of the order in which priorities are refused in an overload."""

import random

from msgspec import structs

from tests.placing.test_placer import fleet, prompt, route
from wigeonspan.common import DomainName, ServiceName
from wigeonspan.placing import Placer, priority_band
from wigeonspan.placing._order import WorkOrder
from wigeonspan.placing._shedding import MAX_ROOM_AFTER_S, LoadShedding

URGENT, MIDDLE, LEAST = (priority_band({0, 1, 2}, p) for p in (0, 1, 2))


def play(shedding, late_by_band, begin, seconds):
    """Record twenty requests of each band a second; return the end."""
    now = begin
    while now < begin + seconds:
        for band, late in late_by_band.items():
            shedding.record(band, late, now)
        now += 0.05
    return now


def test_least_urgent_priority_is_closed_first():
    """Late short questions were refused while long prompts were still admitted."""
    shedding = LoadShedding()
    late = {URGENT: True, MIDDLE: False, LEAST: False}
    now = play(shedding, late, 0.0, 2.5)
    assert shedding.is_closed(LEAST)
    assert not shedding.is_closed(MIDDLE)
    assert not shedding.refuses_late(URGENT, now)


def test_urgent_requests_are_refused_only_when_all_others_are_closed():
    """A more urgent kind must not be served less often than a less urgent one."""
    shedding = LoadShedding()
    now = play(shedding, {URGENT: True, MIDDLE: False, LEAST: False}, 0.0, 5.0)
    assert shedding.is_closed(LEAST)
    assert shedding.is_closed(MIDDLE)
    assert not shedding.is_closed(URGENT)
    assert shedding.refuses_late(URGENT, now)


def test_late_requests_of_the_least_urgent_priority_close_nothing():
    """Long prompts that are late would have short questions refused."""
    shedding = LoadShedding()
    now = play(shedding, {URGENT: False, MIDDLE: False, LEAST: True}, 0.0, 5.0)
    assert not any(shedding.is_closed(band) for band in (URGENT, MIDDLE, LEAST))
    assert shedding.refuses_late(LEAST, now)


def test_priorities_are_opened_again_one_by_one():
    """All of them at once would bring the overload back."""
    shedding = LoadShedding()
    now = play(shedding, {URGENT: True, MIDDLE: False, LEAST: False}, 0.0, 5.0)
    timely = {URGENT: False, MIDDLE: False, LEAST: False}
    while shedding.is_closed(MIDDLE):
        now = play(shedding, timely, now, 0.1)
    assert shedding.is_closed(LEAST)
    now = play(shedding, timely, now, 3.0)
    assert not shedding.is_closed(LEAST)


def test_burst_closes_nothing():
    """A burst is over before refused requests would be retried."""
    shedding = LoadShedding()
    play(shedding, {URGENT: True, LEAST: False}, 0.0, 1.0)
    assert not shedding.is_closed(LEAST)


def test_retry_time_grows_with_the_overload():
    """Callers came back after 0.8 s into the same overload and were refused again."""
    shedding = LoadShedding()
    assert shedding.room_after_s(0.0) == 0.0
    now = play(shedding, {URGENT: True, LEAST: False}, 0.0, 4.0)
    early = shedding.room_after_s(now)
    now = play(shedding, {URGENT: True, LEAST: False}, now, 3.0)
    assert early < shedding.room_after_s(now) <= MAX_ROOM_AFTER_S
    assert shedding.room_after_s(now + 100.0) == MAX_ROOM_AFTER_S


def test_priority_without_requests_keeps_no_other_closed():
    """After a burst of an urgent kind that then paused, all less urgent requests were
    refused at idle engines, however long the pause was."""
    shedding = LoadShedding()
    now = play(shedding, {URGENT: True, MIDDLE: False, LEAST: False}, 0.0, 5.0)
    assert shedding.is_closed(MIDDLE)
    play(shedding, {MIDDLE: False, LEAST: False}, now, 10.0)
    assert not any(shedding.is_closed(band) for band in (MIDDLE, LEAST))


def test_priorities_that_do_not_exist_any_more_are_forgotten():
    """Each change of the configuration would leave bands of the one before."""
    shedding = LoadShedding()
    now = play(shedding, {URGENT: True, MIDDLE: False, LEAST: False}, 0.0, 5.0)
    one, two = (priority_band({0, 1}, p) for p in (0, 1))
    play(shedding, {one: False, two: False}, now, 40.0)
    assert set(shedding.bands) == {one, two}


def test_first_request_after_a_long_pause_finds_all_priorities_open():
    """One priority was opened by each request, so that the first ones after a quiet
    night were refused for an overload of the evening."""
    shedding = LoadShedding()
    now = play(shedding, {URGENT: True, MIDDLE: False, LEAST: False}, 0.0, 5.0)
    assert shedding.is_closed(MIDDLE) and shedding.is_closed(LEAST)
    shedding.record(LEAST, False, now + 600.0)
    assert not shedding.is_closed(LEAST)
    assert shedding.room_after_s(now + 600.0) == 0.0


def test_overload_of_one_service_closes_no_priority_of_another():
    """All services shared one state, so that the less urgent requests of a service with
    idle engines were refused for the overload of another one."""
    placer = Placer(DomainName("a"), random.Random(1))
    plan = placer.plan(route(), prompt(), fleet(), 10.0, 0.0)
    urgent, least = (structs.replace(plan, band=band) for band in (URGENT, LEAST))
    decode = structs.replace(plan.decode, service=ServiceName("other"))
    other = structs.replace(least, decode=decode)
    order = WorkOrder()
    for n in range(100):
        order.record(route(), urgent, late=True, now=n * 0.05)
        order.record(route(), least, late=False, now=n * 0.05)
        order.record(route(), other, late=False, now=n * 0.05)
    assert order.is_closed(least)
    assert not order.is_closed(other)
    assert order.room_after_s(other, 5.0) == 0.0
