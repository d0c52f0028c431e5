"""Tests of the decisions on parts of prompts that crash engines."""

import pytest

from wigeonspan.quarantine import (
    PartQuarantined,
    PartsCleared,
    PromptQuarantine,
    StreamCrashed,
)

SETTLED_S = 0.3


def crash(quarantine, target, parts, now):
    """Break off a stream without an event and let the reports settle."""
    messages = quarantine.record_break(target, parts, now)
    return messages + quarantine.tick(now + SETTLED_S)


def quarantine_of(part, now=10.0, rank=0, count=1):
    """Return the state of an entry that has just quarantined a part."""
    quarantine = PromptQuarantine()
    quarantine.set_entries(rank, count, now - 9.0)
    for number in range(3):
        crash(quarantine, f"t{number}", [part], now + number - 3.0)
    assert quarantine.quarantined == (part,)
    return quarantine


def test_part_that_crashes_three_engines_is_refused():
    """Each request with the part crashed one engine more."""
    quarantine = PromptQuarantine()
    for number in range(3):
        assert quarantine.check(["x"], float(number)) is None
        crash(quarantine, f"t{number}", ["x"], float(number))
    verdict = quarantine.check(["a", "x"], 4.0)
    assert verdict.part == "x" and verdict.retry_after_s > 0 and not verdict.trial
    assert quarantine.check(["a"], 4.0) is None


def test_breaks_of_one_crash_count_once():
    """All streams of an engine break at once, and several have the common part."""
    quarantine = PromptQuarantine()
    for _ in range(5):
        crash(quarantine, "t", ["x"], 1.0)
    assert quarantine.may_repeat(["x"], 2.0) and not quarantine.quarantined


def test_answer_clears_a_part():
    """The culprit shares its other parts with sound requests."""
    quarantine = PromptQuarantine()
    for number in range(6):
        crash(quarantine, f"t{number}", ["a", "x"], float(number))
        published = quarantine.record_written(["a", "b"], number + 0.5)
        assert published == [PartsCleared(("a",))]
        assert quarantine.record_written(["a", "b"], number + 0.6) == []
    assert quarantine.quarantined == ("x",)


def test_request_of_a_suspected_part_is_not_repeated():
    """A request that had crashed two engines was sent to a third one."""
    quarantine = PromptQuarantine()
    quarantine.record_break("t0", ["x"], 0.0)
    assert quarantine.may_repeat(["x"], 0.1)
    quarantine.record_break("t1", ["x"], 1.0)
    assert not quarantine.may_repeat(["x"], 1.1)
    assert quarantine.may_repeat(["y"], 1.1)


def test_trial_is_let_through_once_and_clears_the_part_when_it_writes():
    """A false verdict would hold for ever: nothing writes on a refused part."""
    quarantine = quarantine_of("x")
    assert not quarantine.check(["x"], 60.0).trial
    verdict = quarantine.check(["x"], 80.0)
    assert verdict.trial and verdict.publish[0].trials == 1
    assert not quarantine.check(["x"], 80.1).trial
    assert quarantine.record_written(["x"], 80.5) == [PartsCleared(("x",))]
    assert quarantine.check(["x"], 81.0) is None


def test_verdict_on_a_part_that_was_cleared_later_is_not_taken_over():
    """An entry that had missed the answer brought the quarantine back."""
    quarantine = quarantine_of("x")
    quarantine.record_written(["x"], 20.0)
    quarantine.apply(PartQuarantined("x", 15.0), 25.0)
    assert quarantine.check(["x"], 25.0) is None
    (answer,) = quarantine.tick(25.5)
    assert answer == PartsCleared(("x",), pytest.approx(5.5))
    quarantine.apply(PartQuarantined("x", 1.0), 30.0)
    assert quarantine.check(["x"], 30.0) is not None


def test_report_that_is_repeated_blames_once():
    """Reports are sent twice because datagrams are lost."""
    quarantine = PromptQuarantine()
    quarantine.apply(StreamCrashed("t", ("x",)), 10.0)
    quarantine.apply(StreamCrashed("t", ("x",), (), 0.9), 10.9)
    assert quarantine.may_repeat(["x"], 11.0)
    quarantine.apply(StreamCrashed("t", ("x",)), 10.8)
    assert not quarantine.may_repeat(["x"], 11.0)
