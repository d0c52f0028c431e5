"""Tests of the estimate of which prompt an engine has begun."""

import pytest

from wigeonspan.common import HostId
from wigeonspan.placing import Work, WorkKind, WorkLedger
from wigeonspan.targets import TargetId

T = TargetId("p0")


def work(name, work_ms, urgency):
    return Work(name, HostId("e"), T, WorkKind.PREFILL, work_ms, urgency)


@pytest.fixture
def ledger():
    ledger = WorkLedger()
    ledger.set_prefill_latency(60.0)
    ledger.follow_starts()
    return ledger


def test_large_prompt_begun_before_an_urgent_one_arrived_is_in_progress(ledger):
    """The urgent prompt was taken for the one in progress, and the engine for free:
    short questions waited a second behind a large prompt."""
    ledger.begin(work("first", 100.0, 0), 0.0)
    ledger.begin(work("large", 1000.0, 8), 0.05)
    # The engine begins the large prompt at 0.1 s and reports the first one at 0.16 s.
    ledger.begin(work("urgent", 20.0, 0), 0.13)
    ledger.end("first", 0.16, completed=True)
    assert ledger.backlog_ms(T, 0, 0.2) > 800.0


def test_large_prompt_counts_before_the_end_of_the_last_one_is_reported(ledger):
    """Until the report, the engine seemed to be about to be free."""
    ledger.begin(work("first", 100.0, 0), 0.0)
    ledger.begin(work("large", 1000.0, 8), 0.05)
    assert ledger.backlog_ms(T, 0, 0.12) > 800.0


def test_urgent_prompt_that_waited_goes_before_a_large_one(ledger):
    """The engine takes the most urgent prompt of those that have arrived."""
    ledger.begin(work("first", 300.0, 0), 0.0)
    ledger.begin(work("large", 1000.0, 8), 0.05)
    ledger.begin(work("urgent", 200.0, 0), 0.06)
    assert ledger.backlog_ms(T, 0, 0.1) < 450.0


def test_lost_report_of_an_end_does_not_stop_the_estimate(ledger):
    """The lost work counted as in progress until it expired after 6 s."""
    ledger.begin(work("lost", 50.0, 0), 0.0)
    ledger.begin(work("second", 50.0, 0), 0.2)
    ledger.begin(work("large", 1000.0, 8), 0.21)
    ledger.end("second", 0.31, completed=True)
    assert ledger.backlog_ms(T, 0, 0.33) > 800.0


def test_ledger_without_priorities_is_unchanged():
    """Deployments with one priority must be served as before."""
    ledger = WorkLedger()
    ledger.begin(work("first", 100.0, 0), 0.0)
    ledger.begin(work("large", 1000.0, 8), 0.05)
    assert ledger.backlog_ms(T, 0, 0.12) == pytest.approx(0.0, abs=1.0)
