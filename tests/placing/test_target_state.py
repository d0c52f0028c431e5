"""Tests of the work ledger, prefix caches, speeds, availability and retry budget."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wigeonspan.common import HostId
from wigeonspan.placing import (
    CachedPrefixes,
    PromptPart,
    RetryBudget,
    SlowdownFactors,
    TargetAvailability,
    Work,
    WorkKind,
    WorkLedger,
)
from wigeonspan.placing._prefixes import MAX_PENDING
from wigeonspan.targets import TargetId

T = TargetId("t")


def work(name, cost_ms=100.0, urgency=1, host="e1"):
    return Work(name, HostId(host), T, WorkKind.PREFILL, cost_ms, urgency)


def test_backlog_includes_the_current_prefill_at_any_urgency():
    """Guards against ignoring a less urgent prefill that has already started: urgent
    prompts sent behind one of 19,000 tokens waited 400 ms instead of the expected 0."""
    ledger = WorkLedger()
    ledger.begin(work("a", urgency=5), 0.0)
    assert ledger.backlog_ms(T, 0, 0.0) == pytest.approx(100.0)


def test_backlog_includes_only_waiting_work_that_goes_first():
    """Guards against refusing urgent requests because of less urgent waiting work."""
    ledger = WorkLedger()
    ledger.begin(work("a", urgency=1), 0.0)
    ledger.begin(work("b", urgency=5), 0.0)
    assert ledger.backlog_ms(T, 1, 0.0) == pytest.approx(100.0)
    assert ledger.backlog_ms(T, 5, 0.0) == pytest.approx(200.0)


def test_speed_is_measured_from_busy_time_in_any_order():
    """Guards against deriving the speed from the times of single prompts, which measure
    the queue: an engine of 36 tokens per millisecond was estimated at 50."""
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
    """Guards against a stalled engine that keeps its estimate for lack of samples."""
    ledger = WorkLedger()
    ledger.begin(work("a"), 0.0)
    assert ledger.slowness(T, 2.0) > 5.0


def test_backlog_shrinks_with_the_work_being_done():
    """Guards against the same backlog at the start and near the end of a prefill."""
    ledger = WorkLedger()
    ledger.begin(work("a"), 0.0)
    assert ledger.backlog_ms(T, 1, 0.06) == pytest.approx(40.0)
    assert ledger.backlog_ms(T, 1, 0.5) == 0.0


def test_work_of_a_lost_entry_is_dropped():
    """Guards against engines that appear busy with the work of a killed entry."""
    ledger = WorkLedger()
    ledger.begin(work("a", host="e2"), 0.0)
    ledger.drop_host(HostId("e2"), 0.1)
    assert ledger.backlog_ms(T, 9, 0.1) == 0.0


def test_work_whose_end_was_lost_expires():
    """A lost end message must not make an engine appear busy permanently."""
    ledger = WorkLedger()
    ledger.begin(work("a"), 0.0)
    ledger.expire(10.0)
    assert ledger.count(T, WorkKind.PREFILL) == 0


def test_cached_prefix_ends_at_the_first_unknown_part():
    """A cached part is usable only if all preceding parts are cached."""
    prefixes = CachedPrefixes(100_000.0)
    prefixes.begin("w", T, [PromptPart("a", 100), PromptPart("c", 300)], 400)
    parts = [PromptPart("a", 100), PromptPart("b", 200), PromptPart("c", 300)]
    assert prefixes.cached_tokens(T, parts) == 100


def test_part_is_evicted_after_a_memory_full_of_other_tokens():
    """Guards against sending sessions to engines that have evicted their parts."""
    prefixes = CachedPrefixes(10_000.0)
    prefixes.begin("w1", T, [PromptPart("a", 500)], 500)
    prefixes.begin("w2", T, [PromptPart("b", 9000)], 9000)
    assert prefixes.cached_tokens(T, [PromptPart("a", 500)]) == 0


def test_part_can_be_copied_after_its_prefill():
    """Guards against a copy from a source that is still in prefill: the engine found
    nothing to copy and repeated the prefill."""
    prefixes, parts = CachedPrefixes(100_000.0), [PromptPart("a", 500)]
    prefixes.begin("w", T, parts, 500)
    assert prefixes.cached_tokens(T, parts) == 500
    assert prefixes.ready_tokens(T, parts) == 0
    prefixes.end("w", completed=True)
    assert prefixes.ready_tokens(T, parts) == 500


def test_part_can_still_be_copied_during_a_repeated_prefill():
    """A second prompt with the same prefix keeps it copyable, even if its own prefill
    is aborted."""
    prefixes, parts = CachedPrefixes(100_000.0), [PromptPart("a", 500)]
    for name, completed in (("w1", True), ("w2", False)):
        prefixes.begin(name, T, parts, 500)
        prefixes.end(name, completed=completed)
    prefixes.begin("w3", T, parts, 0)
    assert prefixes.ready_tokens(T, parts) == 500


def test_part_of_an_aborted_prefill_is_not_cached():
    """Guards against sending a session to an engine that has refused its prompt."""
    prefixes, parts = CachedPrefixes(100_000.0), [PromptPart("a", 500)]
    prefixes.begin("w", T, parts, 500)
    prefixes.end("w", completed=False)
    assert prefixes.cached_tokens(T, parts) == 0


def test_prompts_without_a_reported_end_are_removed():
    """Lost end messages must not leak memory."""
    prefixes, parts = CachedPrefixes(1e9), [PromptPart("a", 500)]
    for number in range(MAX_PENDING + 1):
        prefixes.begin(f"w{number}", T, parts, 500)
    prefixes.end("w0", completed=True)
    assert prefixes.ready_tokens(T, parts) == 0
    prefixes.end(f"w{MAX_PENDING}", completed=True)
    assert prefixes.ready_tokens(T, parts) == 500


def test_slow_target_is_tried_again_after_a_while():
    """Guards against a slow target that is never used again and so cannot recover."""
    factors = SlowdownFactors()
    for other in ("x", "y", "z"):
        factors.observe(TargetId(other), 100.0, 100.0, 0.0)
    for _ in range(20):
        factors.observe(T, 100.0, 800.0, 0.0)
    assert factors.factor(T, 0.0) > 4.0
    assert factors.factor(T, 60.0) < 1.5


def test_suspension_ends_with_one_probe():
    """Guards against sending all requests to a crashed target when its suspension ends;
    only one request may probe it."""
    availability = TargetAvailability()
    availability.record_failure(T, 0.0, unreachable=True)
    assert not availability.available(T, 0.1)
    assert availability.available(T, 5.0)
    availability.record_sent(T, 5.0)
    assert not availability.available(T, 5.0)
    availability.record_success(T)
    assert availability.available(T, 5.0)


def test_single_failure_does_not_suspend():
    """Guards against the suspension of a healthy target after one aborted answer."""
    availability = TargetAvailability()
    assert not availability.record_failure(T, 0.0)
    assert availability.available(T, 0.0)


@given(
    st.lists(st.tuples(st.floats(0, 0.2), st.booleans()), max_size=300),
    st.integers(1, 8),
)
def test_budget_is_never_exceeded(steps, entries):
    """Guards against more retries in a window than the ratio and the minimum allow."""
    budget = RetryBudget(0.2, 56.0, 10.0)
    budget.set_entries(entries)
    now, requests, retries = 0.0, [], []
    for gap, is_request in steps:
        now += gap
        if is_request:
            budget.record_request("s", now)
            requests.append(now)
        elif budget.try_spend("s", now):
            retries.append(now)
        recent_retries = [at for at in retries if at > now - 10.0]
        recent_requests = [at for at in requests if at > now - 10.0]
        assert len(recent_retries) <= 0.2 * len(recent_requests) + 56.0 / entries


def test_budget_keeps_its_share_when_entries_disappear():
    """Guards against partitioned entries that each use the complete minimum."""
    budget = RetryBudget(0.0, 80.0, 10.0)
    budget.set_entries(8)
    budget.set_entries(1)
    retries = sum(budget.try_spend("s", 0.0) for _ in range(100))
    assert retries <= 10


def spend_all(budget, now):
    retries = 0
    while budget.try_spend("s", now):
        retries += 1
    return retries


@pytest.mark.parametrize(("entries", "part"), [(8, 16), (69, 1)])
def test_new_entry_uses_its_part_from_the_first_list_on(entries, part):
    """An entry that had just started used 133 of 178 retries of all 69 entries."""
    budget = RetryBudget(0.2, 178.0, 10.0, entries=0)
    assert spend_all(budget, 0.0) == 0
    budget.record_list(entries, 0.2, is_running=True)
    assert spend_all(budget, 0.2) == part


@pytest.mark.parametrize("entries", [1, 8, 69])
def test_entries_that_start_at_once_keep_to_the_minimum_together(entries):
    """The first lists name few entries, so each took a large part of the minimum."""
    budgets = [RetryBudget(0.2, 178.0, 10.0, entries=0) for _ in range(entries)]
    retries = 0
    for step in range(40):
        now = 0.05 * step
        listed = min(entries, 1 + 4 * step)
        # An entry is ready half a second after its start.
        ready = min(entries, max(0, 1 + 4 * (step - 10)))
        for budget in budgets[:listed]:
            budget.record_list(listed, now, is_running=2 * ready > listed)
            retries += spend_all(budget, now)
    assert 0 < retries <= 178
    # The usual parts are in use 2 s after the start.
    assert retries == entries * int(0.75 * 178.0 / entries)


def test_silence_keeps_new_work_away_without_counting_as_a_failure():
    """A sound target that was silent for a second was left out like one that fails."""
    health = TargetAvailability()
    assert not health.record_silence(T, 10.0)
    assert health.record_silence(T, 10.0)
    assert not health.available(T, 10.1)
    health.record_success(T)
    assert health.available(T, 10.1)
    other = TargetId("other")
    assert health.failure_penalties_ms([T, other]) == {T: 0.0, other: 0.0}
    # A later silence starts anew.
    assert not health.record_silence(T, 12.0)
    assert health.available(T, 12.0)


def test_silent_probe_is_followed_by_another_one():
    """A target was left out for five seconds when its probe was silent once."""
    health = TargetAvailability()
    for _ in range(2):
        health.record_silence(T, 10.0)
    health.record_sent(T, 10.8)
    assert not health.available(T, 10.9)
    assert health.record_silence(T, 11.7)
    assert health.available(T, 13.2)
