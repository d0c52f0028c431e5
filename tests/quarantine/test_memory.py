"""Tests of the verdicts that control hosts keep for entries that start."""

from wigeonspan.quarantine import (
    PartQuarantined,
    PartsCleared,
    PromptQuarantine,
    VerdictMemory,
)
from wigeonspan.quarantine._memory import MAX_VERDICTS, MEMORY_S


def quarantine_with(part, now, age_s=1.0):
    quarantine = PromptQuarantine()
    quarantine.apply(PartQuarantined(part, age_s), now)
    return quarantine


def test_entries_that_all_start_anew_get_the_verdicts_back():
    """After a kill of all entries, the part crashed engines until it was found anew."""
    memory, before = VerdictMemory(), quarantine_with("bad", 100.0)
    memory.record(before.verdicts(100.0), 100.0)
    fresh = PromptQuarantine()
    fresh.restore(memory.missing(fresh.verdicts(103.0), 103.0), 103.0)
    assert fresh.check(["bad"], 103.0) is not None
    # The age goes on, so that the first trial is not put off.
    assert fresh.verdicts(103.0)[0].age_s == 4.0


def test_verdict_that_no_entry_holds_any_more_is_forgotten():
    """A verdict that was found to be wrong must not come back after a restart."""
    memory = VerdictMemory()
    memory.record([PartQuarantined("bad", 1.0)], 100.0)
    assert memory.missing([], 100.0 + MEMORY_S)
    assert not memory.missing([], 100.1 + MEMORY_S)


def test_cleared_part_is_not_restored_and_not_answered():
    """Control hosts still know the verdict for a while after an answer cleared it."""
    quarantine = quarantine_with("sound", 100.0)
    verdicts = quarantine.verdicts(100.0)
    quarantine.apply(PartsCleared(("sound",)), 101.0)
    memory = VerdictMemory()
    memory.record(verdicts, 100.0)
    quarantine.restore(memory.missing([], 102.0), 102.0)
    assert quarantine.check(["sound"], 102.0) is None
    assert quarantine.tick(110.0) == []


def test_older_report_does_not_hide_a_trial():
    """An entry that missed a trial reported fewer, and one more was let through."""
    memory = VerdictMemory()
    memory.record([PartQuarantined("bad", 70.0, trials=1)], 100.0)
    memory.record([PartQuarantined("bad", 71.0, trials=0)], 101.0)
    assert memory.missing([], 101.0)[0].trials == 1


def test_number_of_verdicts_is_bounded():
    """Reports of many parts must not fill the memory of a control host."""
    memory = VerdictMemory()
    for n in range(3 * MAX_VERDICTS):
        memory.record([PartQuarantined(f"p{n}", 0.0)], 1.0)
    assert len(memory.missing([], 1.0)) == MAX_VERDICTS
