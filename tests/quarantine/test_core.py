"""Tests of the decisions on parts of prompts that crash engines."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonspan.quarantine import (
    PartQuarantined,
    PartsCleared,
    PromptQuarantine,
    QuarantineMessage,
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


def test_flood_of_new_parts_keeps_blamed_and_quarantined_ones():
    """A caller with a new part in each request pushed out the evidence of others."""
    quarantine = quarantine_of("x")
    for number in range(2):
        crash(quarantine, f"t{number}", ["y"], 20.0 + number)
    for number in range(5000):
        quarantine.record_break(f"f{number % 50}", [f"n{number}"], 30.0 + number)
    assert quarantine.quarantined == ("x",)
    assert quarantine.suspects <= 2000
    crash(quarantine, "t2", ["y"], 6000.0)
    assert set(quarantine.quarantined) == {"x", "y"}


def test_number_of_quarantined_parts_is_bounded():
    """Verdicts of other entries were kept without a limit."""
    quarantine = quarantine_of("x")
    for number in range(400):
        quarantine.apply(PartQuarantined(f"p{number}", 5.0, 0, 1000.0), 20.0)
    assert len(quarantine.quarantined) == 250 and "x" in quarantine.quarantined


def test_long_ids_are_kept_as_digests():
    """Ids of a megabyte each were kept in memory and sent to all entries."""
    quarantine, name = PromptQuarantine(), "x" * 1_000_000
    for number in range(3):
        for message in crash(quarantine, f"t{number}", [name], float(number)):
            assert all(len(p) <= 32 for p in getattr(message, "parts", ()))
    assert quarantine.check([name], 5.0) and len(quarantine.quarantined[0]) <= 32


@pytest.mark.parametrize("name", ["\udc80", "ü", "日本語"])
def test_any_id_can_be_sent_to_other_entries(name):
    """An id with a lone surrogate raised an error when the report was encoded."""
    quarantine, other = PromptQuarantine(), PromptQuarantine()
    for number in range(3):
        for message in crash(quarantine, f"t{number}", [name], float(number)):
            data = msgspec.msgpack.encode(message)
            other.apply(msgspec.msgpack.decode(data, type=QuarantineMessage), 9.0)
    assert quarantine.check([name], 9.0) and other.check([name], 9.0)


def test_messages_of_a_prompt_with_many_parts_are_small():
    """One message with thousands of parts did not fit into a datagram."""
    quarantine = PromptQuarantine()
    messages = quarantine.record_break("t", [f"p{n}" for n in range(5000)], 0.0)
    assert all(len(message.parts) <= 64 for message in messages)
    assert len(messages) == 4


def test_entry_without_a_rank_lets_no_trial_through():
    """An entry that had just started took itself for the only one."""
    quarantine = PromptQuarantine()
    quarantine.apply(PartQuarantined("x", 100.0), 50.0)
    assert not any(quarantine.check(["x"], 51.0 + n).trial for n in range(20))


@settings(max_examples=50, deadline=None)
@given(
    st.integers(1, 195),
    st.floats(50.0, 4000.0),
    st.text(st.characters(codec="ascii"), min_size=1, max_size=20),
)
def test_no_two_entries_try_at_once(count, age_s, part):
    """Two entries let a trial through before they knew of each other."""
    entries = []
    for rank in range(count):
        entry = PromptQuarantine()
        entry.set_entries(rank, count, 0.0)
        entry.apply(PartQuarantined(part, 0.0), 100.0 + 0.1 * (rank % 2))
        entries.append(entry)
    if age_s < 60.0:
        assert not any(e.check([part], 100.0 + age_s).trial for e in entries)
    age_s = max(age_s, 60.2) % 28.0 + 61.0
    assert sum(e.check([part], 100.0 + age_s).trial for e in entries) <= 1


MESSAGES = st.one_of(
    st.builds(
        StreamCrashed,
        st.sampled_from("tuv"),
        st.lists(st.sampled_from("abcx"), max_size=3).map(tuple),
        st.lists(st.integers(-2, 5), max_size=2).map(tuple),
        st.floats(0.0, 2.0),
    ),
    st.builds(PartsCleared, st.sampled_from([("a",), ("x", "b")]), st.floats(0, 9)),
    st.builds(
        PartQuarantined,
        st.sampled_from("abcx"),
        st.floats(0.0, 900.0),
        st.integers(0, 3),
        st.floats(0.0, 900.0),
    ),
)


@settings(max_examples=200, deadline=None)
@given(st.lists(st.tuples(MESSAGES, st.floats(0.0, 3.0)), max_size=30))
def test_part_that_has_just_written_is_never_refused(messages):
    """Messages that arrive late or twice kept a part in quarantine."""
    quarantine, now = PromptQuarantine(), 1000.0
    quarantine.set_entries(0, 3, 0.0)
    for message, wait_s in messages:
        now += wait_s
        quarantine.apply(message, now)
        quarantine.tick(now)
    quarantine.record_written("abcx", now)
    assert quarantine.check("abcx", now) is None
    assert quarantine.may_repeat("abcx", now)
    quarantine.tick(now + 1.0)
    assert quarantine.check("abcx", now + 1.0) is None


def repeat_until_quarantined(quarantine):
    """Crash three engines by one request that its caller repeats with a new id."""
    for number in range(3):
        crash(quarantine, f"t{number}", ["x", "own"], float(number))
    assert quarantine.quarantined == ("own",)


def test_part_is_quarantined_when_another_request_crashes_after_a_repeated_one():
    """The first request's own part was quarantined; two others crashed engines too."""
    quarantine = PromptQuarantine()
    repeat_until_quarantined(quarantine)
    crash(quarantine, "t3", ["x", "other"], 6.0)
    assert "x" in quarantine.quarantined


@pytest.mark.parametrize("doubt", ["answer", "plain crash"])
def test_part_around_a_quarantined_one_needs_more_crashes_in_doubt(doubt):
    """A sound part must not be refused for a culprit in it and one chance crash."""
    quarantine = PromptQuarantine()
    if doubt == "answer":
        quarantine.record_written(["x"], 0.0)
    repeat_until_quarantined(quarantine)
    if doubt == "plain crash":
        crash(quarantine, "t4", [], 5.0)
    crash(quarantine, "t3", ["x", "other"], 6.0)
    assert "x" not in quarantine.quarantined
