"""Usual work of prompts."""

from wigeonspan.placing._sizes import LARGEST, WorkSizes


def sizes():
    made = WorkSizes()
    for _ in range(30):
        made.note("short", 20.0)
        made.note("long", 200.0)
    return made


def test_long_is_more_than_the_usual_prompt_of_all_routes():
    """Short prompts must not yield: they gain others little time."""
    made = sizes()
    assert made.is_long(200.0) and not made.is_long(20.0)


def test_largest_is_told_by_route():
    """The largest prompts of a kind would hardly be served if they yielded, too."""
    made = sizes()
    assert made.is_largest("long", LARGEST * 210.0)
    assert not made.is_largest("long", 200.0)
    assert made.is_largest("short", 40.0)


def test_route_without_prompts_has_no_largest():
    """The first prompt of a new route is a usual one."""
    assert not WorkSizes().is_largest("new", 500.0)
