"""Tests of the placement of requests that may have run at an engine already."""

import pytest

from tests.placing.test_placer import busy, fleet, placer, prompt, route
from wigeonspan.placing import Limit, Plan, Refusal, priority_band

__all__ = ["placer"]


def make_late(placer):
    for target in fleet():
        busy(placer, target.target, 3000.0, name=f"w {target.target}")


@pytest.mark.parametrize("priorities", [(), (0, 2)], ids=["one priority", "two"])
def test_repeated_request_is_placed_although_it_is_late(placer, priorities):
    """Guards against a 502 for a stream that broke off while a queue of late requests
    stood; one that has not run is refused and can return."""
    make_late(placer)
    placer._order.refuses_late = lambda band, now: True
    band = priority_band(priorities, 2)

    def place(has_run):
        return placer.plan(
            route(), prompt(), fleet(), 10.0, 0.0, band=band, has_run=has_run
        )

    assert isinstance(place(has_run=False), Refusal)
    assert isinstance(place(has_run=True), Plan)


def test_repeated_request_is_placed_while_its_priority_is_closed(placer):
    """Guards against the same loss where less urgent requests are refused."""
    placer._order.is_closed = lambda band: True

    def place(has_run):
        return placer.plan(route(), prompt(), fleet(), 10.0, 0.0, has_run=has_run)

    assert place(has_run=False).limit is Limit.PRIORITY
    assert isinstance(place(has_run=True), Plan)


@pytest.mark.parametrize("remaining_s, placed", [(3.6, True), (2.0, False)])
def test_repeated_request_is_refused_only_when_its_time_is_too_short(
    placer, remaining_s, placed
):
    """Guards against giving up a stream whose caller has events already, because a
    caller without any would have left; and against work that cannot be delivered."""
    make_late(placer)

    def place(has_run):
        return placer.plan(
            route(), prompt(), fleet(), remaining_s, 0.0, has_run=has_run
        )

    assert place(has_run=False).limit is Limit.TIME
    assert isinstance(place(has_run=True), Plan) is placed
