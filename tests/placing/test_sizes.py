"""Tests of the mean work of prompts."""

from wigeonspan.placing._sizes import LARGEST_FACTOR, WorkSizes


def make_sizes():
    sizes = WorkSizes()
    for _ in range(30):
        sizes.record("short", 20.0)
        sizes.record("long", 200.0)
    return sizes


def test_long_prompts_exceed_the_mean_of_all_routes():
    """Short prompts must not yield because it saves others little time."""
    sizes = make_sizes()
    assert sizes.is_long(200.0) and not sizes.is_long(20.0)


def test_largest_prompts_are_determined_by_route():
    """The largest prompts of a route would starve if they yielded as well."""
    sizes = make_sizes()
    assert sizes.is_largest("long", LARGEST_FACTOR * 210.0)
    assert not sizes.is_largest("long", 200.0)
    assert sizes.is_largest("short", 40.0)


def test_route_without_prompts_has_no_largest():
    """The first prompt of a new route does not count as one of its largest."""
    assert not WorkSizes().is_largest("new", 500.0)
