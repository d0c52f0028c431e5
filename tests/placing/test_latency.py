"""Tests of the prefill latency and its effect on the ledger."""

import pytest

from wigeonspan.common import HostId
from wigeonspan.placing import Work, WorkKind, WorkLedger
from wigeonspan.placing._latency import MAX_SAMPLES, MIN_SAMPLES, PrefillLatency
from wigeonspan.targets import TargetId

T = TargetId("t")


def work(name, work_ms):
    return Work(name, HostId("e"), T, WorkKind.PREFILL, work_ms, 1)


def test_latency_is_unknown_before_enough_samples():
    """A single prompt that waited behind unknown work must not raise all estimates."""
    latency = PrefillLatency()
    for _ in range(MIN_SAMPLES - 1):
        latency.observe(500.0)
    assert latency.ms == 0.0


@pytest.mark.parametrize("truth_ms", [0.0, 20.0, 95.0])
def test_latency_estimate_ignores_prompts_that_waited(truth_ms):
    """The estimate must be right although half of the prompts wait behind work that
    this entry does not know of."""
    latency = PrefillLatency()
    for n in range(MAX_SAMPLES):
        latency.observe(truth_ms + (n % 2) * 300.0)
    assert latency.ms == pytest.approx(truth_ms)


def test_latency_follows_a_change():
    """Replaced engines may answer faster or slower."""
    latency = PrefillLatency()
    for sample in [20.0] * MAX_SAMPLES + [95.0] * MAX_SAMPLES:
        latency.observe(sample)
    assert latency.ms == pytest.approx(95.0)


def test_latency_is_never_negative():
    """An overestimated prefill time must not make later estimates too short."""
    latency = PrefillLatency()
    for _ in range(MAX_SAMPLES):
        latency.observe(-40.0)
    assert latency.ms == 0.0


def test_engine_that_answers_late_does_not_count_as_slow():
    """Guards against counting latency as slowness: engines that answer 95 ms after each
    prefill were estimated at a third of their speed."""
    ledger = WorkLedger()
    ledger.set_prefill_latency(95.0)
    for n in range(20):
        ledger.begin(work(f"w{n}", 40.0), float(n))
        ledger.end(f"w{n}", n + 0.135, completed=True)
    assert ledger.slowness(T, 20.0) == pytest.approx(1.0, abs=0.1)


def test_backlog_excludes_work_done_during_the_latency():
    """An engine starts the next prefill while the last answer is still on its way."""
    ledger = WorkLedger()
    ledger.set_prefill_latency(100.0)
    ledger.begin(work("a", 50.0), 0.0)
    ledger.begin(work("b", 200.0), 0.0)
    assert ledger.backlog_ms(T, 1, 0.1) == pytest.approx(150.0, abs=5.0)
    assert ledger.backlog_ms(T, 1, 0.15) == pytest.approx(100.0, abs=5.0)


def test_overdue_engine_gets_no_credit_for_waiting_work():
    """The time that a prefill is overdue must not count as progress of the prompts that
    wait behind it."""
    ledger = WorkLedger()
    ledger.set_prefill_latency(20.0)
    ledger.begin(work("a", 50.0), 0.0)
    ledger.begin(work("b", 200.0), 0.0)
    assert ledger.backlog_ms(T, 1, 3.0) >= 180.0
