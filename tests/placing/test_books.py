"""Work, prefixes, speeds, health and the retry budget."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wigeonspan.common import HostId
from wigeonspan.placing import (
    HealthBook,
    PrefixBook,
    PromptPart,
    RetryBudget,
    SpeedBook,
    Work,
    WorkKind,
    WorkLedger,
)
from wigeonspan.placing._prefixes import MOST_PENDING
from wigeonspan.targets import TargetId

T = TargetId("t")


def work(name, cost_ms=100.0, urgency=1, host="e1"):
    return Work(name, HostId(host), T, WorkKind.PREFILL, cost_ms, urgency)


def test_backlog_counts_the_prompt_being_read_whatever_its_urgency():
    """Urgent prompts were sent to engines in the middle of a prompt of 19,000 tokens
    and waited 400 ms where none were expected."""
    ledger = WorkLedger()
    ledger.begin(work("a", urgency=5), 0.0)
    assert ledger.backlog_ms(T, 0, 0.0) == pytest.approx(100.0)


def test_backlog_counts_only_waiting_work_that_goes_first():
    """Urgent requests were refused because of work that yields to them."""
    ledger = WorkLedger()
    ledger.begin(work("a", urgency=1), 0.0)
    ledger.begin(work("b", urgency=5), 0.0)
    assert ledger.backlog_ms(T, 1, 0.0) == pytest.approx(100.0)
    assert ledger.backlog_ms(T, 5, 0.0) == pytest.approx(200.0)


def test_speed_follows_from_busy_time_in_any_order():
    """Times of single prompts measured the queue and not the engine: an engine of 36
    tokens a millisecond counted as one of 50."""
    ledger, now = WorkLedger(), 0.0
    for batch in range(10):
        for n in range(4):
            ledger.begin(work(f"{batch}.{n}"), now)
        now += 0.8
        for n in (2, 0, 3, 1):
            ledger.end(f"{batch}.{n}", now, completed=True)
        now += 0.3
    assert ledger.slowness(T, now) == pytest.approx(2.0, rel=0.1)


def test_engine_that_finishes_nothing_gets_slower():
    """A silent engine kept its good speed because it finished no sample."""
    ledger = WorkLedger()
    ledger.begin(work("a"), 0.0)
    assert ledger.slowness(T, 2.0) > 5.0


def test_backlog_shrinks_with_the_work_being_done():
    """An engine about to finish a prompt looked as busy as one that began it."""
    ledger = WorkLedger()
    ledger.begin(work("a"), 0.0)
    assert ledger.backlog_ms(T, 1, 0.06) == pytest.approx(40.0)
    assert ledger.backlog_ms(T, 1, 0.5) == 0.0


def test_work_of_a_lost_entry_is_dropped():
    """Work of a killed entry kept its engines looking busy."""
    ledger = WorkLedger()
    ledger.begin(work("a", host="e2"), 0.0)
    ledger.drop_host(HostId("e2"), 0.1)
    assert ledger.backlog_ms(T, 9, 0.1) == 0.0


def test_work_whose_end_was_lost_expires():
    """A lost datagram must not keep an engine busy for good."""
    ledger = WorkLedger()
    ledger.begin(work("a"), 0.0)
    ledger.expire(10.0)
    assert ledger.count(T, WorkKind.PREFILL) == 0


def test_cached_prefix_ends_at_the_first_unknown_part():
    """A part is only held usefully with all parts before it."""
    book = PrefixBook(100_000.0)
    book.begin("w", T, [PromptPart("a", 100), PromptPart("c", 300)], 400)
    parts = [PromptPart("a", 100), PromptPart("b", 200), PromptPart("c", 300)]
    assert book.cached_tokens(T, parts) == 100


def test_part_is_forgotten_after_a_memory_full_of_other_tokens():
    """Sessions were sent to engines that had dropped their parts long ago."""
    book = PrefixBook(10_000.0)
    book.begin("w1", T, [PromptPart("a", 500)], 500)
    book.begin("w2", T, [PromptPart("b", 9000)], 9000)
    assert book.cached_tokens(T, [PromptPart("a", 500)]) == 0


def test_part_can_be_copied_once_it_is_read():
    """Engines were told to copy what their source was still reading; they found
    nothing there and read it again."""
    book, parts = PrefixBook(100_000.0), [PromptPart("a", 500)]
    book.begin("w", T, parts, 500)
    assert book.cached_tokens(T, parts) == 500
    assert book.ready_tokens(T, parts) == 0
    book.end("w", completed=True)
    assert book.ready_tokens(T, parts) == 500


def test_part_that_is_read_once_more_can_still_be_copied():
    """A second prompt with the same beginning does not take it away, nor does its
    end without having been read."""
    book, parts = PrefixBook(100_000.0), [PromptPart("a", 500)]
    for name, completed in (("w1", True), ("w2", False)):
        book.begin(name, T, parts, 500)
        book.end(name, completed=completed)
    book.begin("w3", T, parts, 0)
    assert book.ready_tokens(T, parts) == 500


def test_part_whose_reading_broke_off_is_not_held():
    """A session went on being sent to an engine that had refused its prompt."""
    book, parts = PrefixBook(100_000.0), [PromptPart("a", 500)]
    book.begin("w", T, parts, 500)
    book.end("w", completed=False)
    assert book.cached_tokens(T, parts) == 0


def test_prompts_whose_end_is_never_told_are_forgotten():
    """Lost datagrams must not cost memory for as long as the process runs."""
    book, parts = PrefixBook(1e9), [PromptPart("a", 500)]
    for number in range(MOST_PENDING + 1):
        book.begin(f"w{number}", T, parts, 500)
    book.end("w0", completed=True)
    assert book.ready_tokens(T, parts) == 0
    book.end(f"w{MOST_PENDING}", completed=True)
    assert book.ready_tokens(T, parts) == 500


def test_slow_target_is_tried_again_after_a_while():
    """A target that was slow once was never used again, so it could not recover."""
    book = SpeedBook()
    for other in ("x", "y", "z"):
        book.observe(TargetId(other), 100.0, 100.0, 0.0)
    for _ in range(20):
        book.observe(T, 100.0, 800.0, 0.0)
    assert book.factor(T, 0.0) > 4.0
    assert book.factor(T, 60.0) < 1.5


def test_suspension_ends_with_one_trial():
    """All entries sent all requests to a crashed target as soon as it might be back."""
    book = HealthBook()
    book.failed(T, 0.0, silent=True)
    assert not book.available(T, 0.1)
    assert book.available(T, 5.0)
    book.note_sent(T, 5.0)
    assert not book.available(T, 5.0)
    book.succeeded(T)
    assert book.available(T, 5.0)


def test_single_failure_does_not_suspend():
    """One answer that broke off took a sound target out."""
    book = HealthBook()
    assert not book.failed(T, 0.0)
    assert book.available(T, 0.0)


@given(
    st.lists(st.tuples(st.floats(0, 0.2), st.booleans()), max_size=300),
    st.integers(1, 8),
)
def test_budget_is_never_exceeded(steps, entries):
    """Guards against more repeats in a window than the share and the minimum allow."""
    budget = RetryBudget(0.2, 56.0, 10.0)
    budget.set_entries(entries)
    now, requests, repeats = 0.0, [], []
    for gap, is_request in steps:
        now += gap
        if is_request:
            budget.note_request("s", now)
            requests.append(now)
        elif budget.take("s", now):
            repeats.append(now)
        recent = [at for at in repeats if at > now - 10.0]
        asked = [at for at in requests if at > now - 10.0]
        assert len(recent) <= 0.2 * len(asked) + 56.0 / entries


def test_budget_keeps_its_share_when_entries_disappear():
    """Entries that were cut off from each other each took the whole minimum."""
    budget = RetryBudget(0.0, 80.0, 10.0)
    budget.set_entries(8)
    budget.set_entries(1)
    taken = sum(budget.take("s", 0.0) for _ in range(100))
    assert taken <= 10
