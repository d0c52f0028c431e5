"""Tests of suspensions that the entries of a large fleet share."""

import random

import pytest

from wigeonspan.common import DomainName, HostId
from wigeonspan.placing import Placer, TargetAvailability, Work, WorkKind
from wigeonspan.placing._health import INITIAL_SUSPENSION_S, MAX_SUSPENSION_S
from wigeonspan.placing._shared_failures import suspension_s
from wigeonspan.targets import TargetId

T = TargetId("t")
ENTRIES = 40


@pytest.fixture
def placer():
    placer = Placer(DomainName("a"), random.Random(1))
    placer.health.set_entries(ENTRIES)
    return placer


def end(placer, name, host, now, *, completed=False, broken=False, kind="decode"):
    placer.ledger.begin(Work(name, HostId(host), T, WorkKind(kind), 10.0, 0), now - 0.1)
    return placer.end_work(name, now, completed=completed, broken=broken)


def breaks(placer, *hosts_and_times, kind="decode"):
    return [
        end(placer, f"w{number}", host, now, broken=True, kind=kind)
        for number, (host, now) in enumerate(hosts_and_times)
    ]


@pytest.mark.parametrize("kind", ["prefill", "decode", "direct"])
def test_three_breaks_of_two_entries_suspend(placer, kind):
    """Guards against entries that each find out a crashed engine by failures of their
    own."""
    found = breaks(placer, ("e1", 10.0), ("e1", 10.2), ("e2", 10.9), kind=kind)
    assert found == [None, None, T]
    assert not placer.health.available(T, 10.9)
    assert placer.health.suspended_since(T, 10.5)


@pytest.mark.parametrize(
    "hosts_and_times",
    [
        [("e1", 10.0), ("e1", 10.1), ("e1", 10.2), ("e1", 10.3)],
        [("e1", 10.0), ("e2", 10.5), ("e3", 11.1)],
        [("e1", 10.0), ("e2", 10.0)],
    ],
    ids=["one entry", "too slowly", "too few"],
)
def test_fewer_breaks_do_not_suspend(placer, hosts_and_times):
    """Guards against suspending an engine because one entry is cut off, or because of
    single streams that break at any time."""
    assert not any(breaks(placer, *hosts_and_times))
    assert placer.health.available(T, 11.2)


def test_latest_three_breaks_count(placer):
    """Guards against breaks that are counted in fixed groups of three: the fourth one
    shows that more than one entry sees them."""
    hosts = [("e1", 10.0), ("e1", 10.1), ("e1", 10.2), ("e2", 10.3)]
    assert breaks(placer, *hosts) == [None, None, None, T]


def test_completed_work_in_between_prevents_a_suspension(placer):
    """Guards against suspending an engine that breaks off some prompts and completes
    others."""
    for round_number in range(5):
        now = 10.0 + round_number / 10
        assert end(placer, "a", "e1", now, broken=True) is None
        assert end(placer, "b", "e2", now, broken=True) is None
        assert end(placer, "c", "e3", now, completed=True) is None
    assert placer.health.available(T, 10.5)


def test_callers_that_leave_do_not_suspend(placer):
    """Guards against suspending an overloaded engine whose callers give up."""
    assert not any(end(placer, f"w{n}", f"e{n}", 10.0) for n in range(20))
    assert placer.health.available(T, 10.0)


def test_plain_calls_do_not_suspend(placer):
    """Guards against the suspension of plain targets, whose entries judge their own."""
    assert not any(breaks(placer, *((f"e{n}", 10.0) for n in range(9)), kind="call"))


def test_unknown_and_dropped_work_does_not_suspend(placer):
    """Guards against ends whose beginning was lost, and against the work of an entry
    that is gone, which says nothing about its engine."""
    for number in range(9):
        name = f"w{number}"
        assert placer.end_work(name, 10.0, completed=False, broken=True) is None
        host = HostId(f"e{number}")
        placer.ledger.begin(Work(name, host, T, WorkKind.DECODE, 0.0, 0), 10.0)
        placer.ledger.drop_host(host, 10.0)
    assert placer.health.available(T, 10.0)


@pytest.mark.parametrize("entries", [1, 8, 16])
def test_small_fleets_are_served_as_before(placer, entries):
    """Guards against changes for deployments whose entries see enough themselves."""
    placer.health.set_entries(entries)
    assert not any(breaks(placer, *((f"e{n}", 10.0) for n in range(9))))
    draws = placer.health._rng.getstate()
    assert placer.health.suspend(T, 10.0)
    assert not placer.health.suspend(T, 10.6)
    assert not placer.health.available(T, 10.69)
    end(placer, "w", "e1", 10.1, completed=True)
    assert not placer.health.available(T, 10.69)
    assert placer.health.available(T, 10.71)
    assert placer.health._rng.getstate() == draws


@pytest.mark.parametrize("kind", ["prefill", "decode", "direct", "call"])
def test_completed_work_of_another_entry_ends_a_suspension(placer, kind):
    """Guards against entries that each probe a target which has recovered."""
    placer.health.record_failure(T, 10.0, unreachable=True)
    assert not placer.health.available(T, 10.1)
    end(placer, "w", "e2", 10.1, completed=True, kind=kind)
    assert placer.health.available(T, 10.1)


def test_entry_that_is_cut_off_from_a_target_waits_for_its_own_success(placer):
    """Guards against a cut link: each piece of work that others complete would have
    made the entries behind it send once more."""
    health = placer.health
    health.record_failure(T, 10.0, unreachable=True)
    end(placer, "w1", "e2", 10.1, completed=True)
    health.record_failure(T, 10.5, unreachable=True)
    end(placer, "w2", "e2", 10.6, completed=True)
    assert not health.available(T, 10.6)
    health.record_success(T)
    health.record_failure(T, 20.0, unreachable=True)
    end(placer, "w3", "e2", 20.1, completed=True)
    assert health.available(T, 20.1)


def test_later_failure_does_not_count_as_a_cut_link(placer):
    """Guards against an entry that ignores reports because its engine crashed again a
    while after it had come back."""
    health = placer.health
    health.record_failure(T, 10.0, unreachable=True)
    end(placer, "w1", "e2", 10.1, completed=True)
    health.record_failure(T, 10.2 + MAX_SUSPENSION_S, unreachable=True)
    end(placer, "w2", "e2", 15.3, completed=True)
    assert health.available(T, 15.3)


@pytest.mark.parametrize("entries", [17, 40, 69, 200])
def test_probes_of_a_large_fleet_are_spread(entries):
    """Guards against entries that all probe at the end of the same suspension."""
    rng = random.Random(1)
    draws = [
        suspension_s(INITIAL_SUSPENSION_S, MAX_SUSPENSION_S, entries, rng)
        for _ in range(2000)
    ]
    longest_s = min(INITIAL_SUSPENSION_S * entries / 8, MAX_SUSPENSION_S)
    assert min(draws) >= INITIAL_SUSPENSION_S
    assert 0.98 * longest_s <= max(draws) <= longest_s
    mean_s = sum(draws) / len(draws)
    assert mean_s == pytest.approx((INITIAL_SUSPENSION_S + longest_s) / 2, rel=0.05)


def test_failed_probe_of_another_entry_postpones_the_own_one():
    """Guards against one probe for each entry of an engine that stays dark."""
    health = TargetAvailability(random.Random(1))
    health.set_entries(ENTRIES)
    health.suspend(T, 10.0)
    for step in range(1, 40):
        now = 10.0 + step * 0.6
        assert not health.available(T, now)
        health.suspend(T, now)
    assert health.available(T, now + MAX_SUSPENSION_S)


def test_probe_without_a_result_is_followed_by_another_one():
    """Guards against a target that an entry leaves out for good because the caller of
    its probe has left."""
    health = TargetAvailability(random.Random(1))
    health.set_entries(ENTRIES)
    health.suspend(T, 10.0)
    health.record_sent(T, 16.0)
    assert not health.available(T, 16.1)
    health.suspend(T, 16.2)
    assert not health.available(T, 20.9)
    assert health.available(T, 16.0 + MAX_SUSPENSION_S)


@pytest.mark.parametrize("entries, ends", [(ENTRIES, True), (16, False)])
def test_restart_ends_a_suspension_in_a_large_fleet(placer, entries, ends):
    """Guards against a planned restart of one replica after the other, each of which
    stayed suspended for seconds after its new start; small fleets are as before."""
    health = placer.health
    health.set_entries(entries)
    health.record_failure(T, 10.0, unreachable=True)
    end(placer, "w1", "e2", 10.1, completed=True)
    health.record_failure(T, 10.2, unreachable=True)
    health.pause(T, 12.0)
    placer.forget(T)
    assert health.available(T, 10.3) is ends
    assert health.suspended_since(T, 10.0) is not ends
    assert health.remaining_pause_s(T, 10.3) == pytest.approx(1.7)


def test_restarted_target_does_not_wait_for_an_own_success(placer):
    """Guards against entries that ignored what others complete at a new start because
    they had not reached the former process."""
    health = placer.health
    health.record_failure(T, 10.0, unreachable=True)
    end(placer, "w1", "e2", 10.1, completed=True)
    health.record_failure(T, 10.2, unreachable=True)
    placer.forget(T)
    health.record_failure(T, 10.4, unreachable=True)
    end(placer, "w2", "e2", 10.5, completed=True)
    assert health.available(T, 10.5)
