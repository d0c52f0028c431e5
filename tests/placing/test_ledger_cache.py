"""Tests that the ledger keeps no slowness beyond the state it was computed from."""

import copy

import pytest

from wigeonspan.common import HostId
from wigeonspan.placing import Work, WorkKind
from wigeonspan.placing._ledger import EXPIRY_S, WorkLedger
from wigeonspan.targets import TargetId

ENGINES = [TargetId("slow"), TargetId("usual"), TargetId("other")]
NOW = 20.0


def work(name, target, work_ms=100.0, kind=WorkKind.PREFILL):
    return Work(name, HostId("a"), target, kind, work_ms, 0)


def make_ledger():
    """Return a ledger in which one engine takes four times as long as the others."""
    ledger = WorkLedger()
    for number in range(10):
        for engine, factor in zip(ENGINES, (4.0, 1.0, 1.0), strict=True):
            began_at = 10.0 + number / 2
            ledger.begin(work(f"{engine}{number}", engine), began_at)
            ledger.end(f"{engine}{number}", began_at + factor / 10, completed=True)
    ledger.begin(work("large", ENGINES[0], 500.0), 19.0)
    ledger.begin(work("lost", ENGINES[1], 100.0), NOW - EXPIRY_S - 0.1)
    return ledger


CHANGES = {
    "begin": lambda ledger: ledger.begin(work("new", ENGINES[0], 900.0), NOW),
    "end": lambda ledger: ledger.end("large", NOW, completed=True),
    "abort": lambda ledger: ledger.end("large", NOW),
    "expire": lambda ledger: ledger.expire(NOW),
    "drop_host": lambda ledger: ledger.drop_host(HostId("a"), NOW),
    "forget": lambda ledger: ledger.forget(ENGINES[0]),
}


def figures(ledger, now):
    slowness = [ledger.slowness(engine, now) for engine in ENGINES]
    backlogs = [ledger.backlog_ms(engine, 5, now) for engine in ENGINES]
    return ledger.median_slowness(now), slowness, backlogs


@pytest.mark.parametrize("change", CHANGES)
def test_figures_follow_each_change_at_one_time(change):
    """Guards against a cached slowness that outlives the work it was computed from."""
    asked, other = make_ledger(), make_ledger()
    before = figures(asked, NOW)
    for ledger in (asked, other):
        CHANGES[change](ledger)
    assert figures(asked, NOW) == figures(other, NOW) != before


def test_figures_follow_the_time():
    """Guards against the slowness of an earlier point in time."""
    asked = make_ledger()
    before = figures(asked, NOW)
    assert figures(asked, NOW + 1.0) == figures(make_ledger(), NOW + 1.0) != before


def test_copy_shares_no_cached_slowness_of_another_time():
    """Guards against an explanation whose figures the next decision takes."""
    asked = make_ledger()
    before = figures(asked, NOW)
    trial = copy.copy(asked)
    assert figures(trial, NOW + 1.0) != before
    assert figures(asked, NOW) == before


@pytest.mark.parametrize("kind", WorkKind)
def test_replaced_work_counts_once(kind):
    """Guards against counts and prefills that differ from the work in progress."""
    ledger, engine = WorkLedger(), ENGINES[0]
    for work_ms in (100.0, 300.0):
        ledger.begin(work("w", engine, work_ms, kind), NOW)
    has_prefill = kind in (WorkKind.PREFILL, WorkKind.DIRECT)
    assert ledger.count(engine, *WorkKind) == ledger.count(engine, kind) == 1
    is_stream = kind in (WorkKind.DECODE, WorkKind.DIRECT)
    assert ledger.open_streams(engine).total() == is_stream
    assert ledger.expected_streams(engine).total() == (kind is WorkKind.PREFILL)
    assert ledger.backlog_ms(engine, 0, NOW) == (300.0 if has_prefill else 0.0)
    assert ledger.end("w", NOW + 0.3) == (work("w", engine, 300.0, kind), NOW)
    assert ledger.end("w", NOW + 0.3) is None
    assert ledger.count(engine, *WorkKind) == ledger.open_streams(engine).total() == 0
    assert ledger.backlog_ms(engine, 0, NOW + 0.3) == 0.0


@pytest.mark.parametrize("count", [1, 2])
def test_streams_of_engines_are_counted_where_one_of_them_is_unknown(count):
    """Guards against a counter of one engine that collects the streams of others."""
    ledger = WorkLedger()
    for number, engine in enumerate(ENGINES[:count]):
        ledger.begin(work(f"w{number}", engine, 0.0, WorkKind.DECODE), NOW)
    for _ in range(2):
        assert ledger.open_streams(*ENGINES) == {0: count}
        assert ledger.open_streams(ENGINES[0]) == {0: 1}
