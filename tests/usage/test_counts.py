"""Tests of counting use under lost messages, restarts and jumps of clocks."""

import random

import pytest

from wigeonspan.common import HostId, ManualClock, TenantName
from wigeonspan.usage import (
    TrueTime,
    UsageCollector,
    UsageCounter,
    UsageMeter,
    UsageShare,
)

A, B = TenantName("a"), TenantName("b")
E1, E2 = HostId("e1"), HostId("e2")
WINDOW_MS = 5000
EPOCH_MS = 1_800_000_000_000
WINDOW = EPOCH_MS // WINDOW_MS


@pytest.mark.parametrize("jumped", [0, 1, 2])
@pytest.mark.parametrize("jump_ms", [-2400, 2400, 10**9])
def test_clocks_that_jump_on_a_minority_do_not_move_the_true_time(jumped, jump_ms):
    """A control host whose clock was ahead moved the counts to the next window."""
    true_time = TrueTime(lambda: 0)
    for host in range(5):
        wall_ms = EPOCH_MS + (jump_ms if host < jumped else host)
        true_time.record(f"c{host}", wall_ms, 100.0)
    assert abs(true_time.wall_ms(101.0) - EPOCH_MS - 1000) <= 4


def test_clock_that_jumped_back_is_believed_again():
    """A sample of a jumped clock must not stay once the host's clock is right again."""
    true_time = TrueTime(lambda: 0)
    true_time.record("c0", EPOCH_MS + 2400, 100.0)
    true_time.record("c0", EPOCH_MS + 1000, 101.0)
    assert true_time.wall_ms(101.0) == EPOCH_MS + 1000


def test_own_clock_counts_only_before_the_first_sample():
    """The clock of an entry may jump too."""
    true_time = TrueTime(lambda: EPOCH_MS + 9000)
    assert true_time.wall_ms(1.0) == EPOCH_MS + 9000
    true_time.record("c0", EPOCH_MS, 100.0)
    assert true_time.wall_ms(100.0) == EPOCH_MS
    # Also when no control host has answered for long.
    assert true_time.wall_ms(160.0) == EPOCH_MS + 60_000


def test_request_is_counted_in_the_window_in_which_it_begins():
    """The windows begin at multiples of their length since 1970, not at the start."""
    clock = ManualClock(50.0, EPOCH_MS + 77_000)
    meter = UsageMeter("i", 5.0, 10.0, clock)
    meter.record_clock("c0", EPOCH_MS + 4000, sent_at=49.9, received_at=50.1)
    meter.begin(A)
    clock.advance(1.5)
    begun = meter.begin(A)
    meter.begin(B)
    meter.withdraw(A, begun)
    assert meter.share().windows == {WINDOW: {A: 1}, WINDOW + 1: {B: 1}}


def test_counter_repeats_recent_windows_and_forgets_old_ones():
    """A message may be lost, and a window needs no memory once it is reported."""
    counter = UsageCounter("i", WINDOW_MS, 10_000)
    counter.add(A, EPOCH_MS)
    assert counter.share(EPOCH_MS + 12_000).windows == {WINDOW: {A: 1}}
    assert counter.share(EPOCH_MS + 30_000).windows == {}


def collector():
    return UsageCollector(WINDOW_MS, TrueTime(lambda: 0))


@pytest.mark.parametrize("seed", range(20))
def test_lost_and_reordered_messages_lose_no_counts(seed):
    """Each message repeats the recent counts, so any later one makes up for a loss."""
    rng = random.Random(seed)
    counter, collected = UsageCounter("i", WINDOW_MS, 10_000), collector()
    shares = []
    for step in range(40):
        counter.add(rng.choice([A, B]), EPOCH_MS + step * 100)
        shares.append(counter.share(EPOCH_MS + step * 100))
    delivered = [s for s in shares[:-1] if rng.random() < 0.5] + shares[-1:]
    rng.shuffle(delivered)
    for share in delivered:
        collected.record(E1, share, 10.0)
    assert sum(n for _, n in collected.counts(WINDOW)) == 40


def test_restarted_entry_adds_to_the_counts_of_its_earlier_start():
    """The counts of a killed entry were lost when its successor's replaced them."""
    collected = collector()
    for incarnation in ("first", "second"):
        counter = UsageCounter(incarnation, WINDOW_MS, 10_000)
        counter.add(A, EPOCH_MS)
        collected.record(E1, counter.share(EPOCH_MS), 10.0)
    assert collected.counts(WINDOW) == ((A, 2),)


def test_killed_entry_loses_only_what_it_counted_since_its_last_heartbeat():
    """With heartbeats every 0.5 s, a killed entry loses a tenth of a window at most."""
    counter, collected = UsageCounter("i", WINDOW_MS, 10_000), collector()
    for step in range(50):
        counter.add(A, EPOCH_MS + step * 100)
        if step % 5 == 0:
            collected.record(E1, counter.share(EPOCH_MS + step * 100), step / 10)
    counted = dict(collected.counts(WINDOW))[A]
    assert counted >= 0.9 * 50


def test_window_is_complete_when_every_entry_has_reported_after_its_end():
    """A window that is decided earlier misses the counts of the slowest entry."""
    collected = collector()
    end_ms = EPOCH_MS + WINDOW_MS
    assert not collected.is_complete(WINDOW, 10.0, 10.0)
    collected.record(E1, UsageCounter("i", WINDOW_MS, 9).share(end_ms + 1), 10.0)
    assert collected.is_complete(WINDOW, 10.0, 10.0)
    collected.record(E2, UsageCounter("j", WINDOW_MS, 9).share(end_ms - 1), 10.0)
    assert not collected.is_complete(WINDOW, 10.5, 10.0)
    # An entry that is gone is not waited for.
    collected.record(E1, UsageCounter("k", WINDOW_MS, 9).share(end_ms + 1), 20.0)
    assert collected.is_complete(WINDOW, 20.5, 10.0)


def test_clocks_of_hosts_that_are_gone_are_forgotten():
    """Each name of an entry that ever sent a heartbeat kept a sample."""
    true_time = TrueTime(lambda: 0)
    for number in range(1000):
        true_time.record(f"e{number}", EPOCH_MS, float(number))
    assert len(true_time._samples) <= 11


def test_windows_of_an_entry_are_bounded():
    """An entry whose clock was far ahead left counts that were never decided."""
    true_time = TrueTime(lambda: 0)
    collector = UsageCollector(WINDOW_MS, true_time)
    for number in range(1, 500):
        windows = {WINDOW + 10**6 * number: {A: 1}, WINDOW: {A: number}}
        collector.record(E1, UsageShare("i", number, EPOCH_MS, windows), 1.0)
    assert len(collector._entries[E1].windows) <= 64
    assert collector.counts(WINDOW) == ((A, 499),)
