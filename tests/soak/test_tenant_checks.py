"""Tests that the checks of tenants and duties find their violations."""

import random

import pytest
from msgspec.structs import replace
from standin import DutyCalls, Journal, ScaleRecord, UsageRecord

from soak._checks import find_violations
from soak._evidence import Scope
from soak._schedule import TENANT_KINDS, make_schedule
from tests.soak.samples import (
    ENTRY,
    READ,
    make_arrival,
    make_call,
    make_call_record,
    make_evidence,
    rules,
)

FIRST, OTHER = "key-1", "key-2"


def make_report(window, counts, *, at=None, holder="c1", fence=1):
    at = window * 5.0 + 8.0 if at is None else at
    return UsageRecord(at, window, counts, holder, fence)


def make_tenant_evidence(*, runs=10, key=FIRST, reports=None, **arrival_changes):
    """Return a run of 40 s in which requests of one tenant ran in window 2."""
    calls = [replace(make_call(n, READ), key=key) for n in range(runs)]
    changes = {"tenant": "t", **arrival_changes}
    arrivals = [
        make_arrival(call, 11.0 + n / 10, began_at=11.0 + n / 10, **changes)
        for n, call in enumerate(calls)
    ]
    duty_calls = DutyCalls(random.Random(1))
    if reports is None:
        reports = [make_report(n, {"t": runs} if n == 2 else {}) for n in range(1, 8)]
    duty_calls.received.extend(reports)
    return make_evidence(
        journal=Journal(arrivals),
        calls=[make_call_record(call, 11.0 + n / 10) for n, call in enumerate(calls)],
        duty_calls=duty_calls,
        usage_window_s=5.0,
        usage_due_s=10.0,
        traffic_began=4.0,
        recovered_by=40.0,
        evaluation_ends=41.0,
        observed_until=41.0,
        tenant_by_key={FIRST: "t", OTHER: "t"},
    )


def usage_rules(evidence):
    return rules(evidence) - {"recovery"}


def test_correct_run_with_tenants_has_no_violations():
    """A check that always reported a violation would hide the others."""
    found = find_violations(make_tenant_evidence())
    assert [each for each in found if each.rule != "recovery"] == []


@pytest.mark.parametrize(
    ("changes", "rule"),
    [
        ({"has_key": True}, "key"),
        ({"tenant": "u"}, "tenant"),
        ({"tenant": ""}, "tenant"),
    ],
)
def test_target_that_gets_a_key_or_another_tenant_is_detected(changes, rule):
    """A key that is passed on, or a tenant that is not the caller's."""
    assert rule in usage_rules(make_tenant_evidence(**changes))


def test_key_in_a_log_is_detected():
    """Whoever reads the logs could act as the tenant."""
    evidence = make_tenant_evidence()
    evidence.files_with_keys.append("127.1.1.1/log")
    assert "key" in usage_rules(evidence)


@pytest.mark.parametrize(("revoked_at", "is_late"), [(8.0, True), (10.5, False)])
def test_late_send_with_a_revoked_key_is_detected(revoked_at, is_late):
    """The time for a change to be in force is no violation."""
    evidence = make_tenant_evidence(key=OTHER)
    evidence.revoked_at[OTHER] = revoked_at
    evidence.removed_keys.add(OTHER)
    assert ("revoked key" in usage_rules(evidence)) is is_late
    evidence.record_disturbance(Scope.HOST, ENTRY, "frozen", 9.0, 10.0)
    assert "revoked key" not in usage_rules(evidence)


def test_disturbance_long_before_excuses_no_revoked_key():
    """In runs with many faults, hardly any time since a revocation is undisturbed."""
    evidence = make_tenant_evidence(key=OTHER)
    evidence.revoked_at[OTHER] = 1.0
    evidence.record_disturbance(Scope.HOST, ENTRY, "frozen", 2.0, 4.0)
    assert "revoked key" in usage_rules(evidence)


def test_refusal_of_a_valid_key_is_detected():
    """A wrong 401 sends a caller away for good; a removed key must get one."""
    evidence = make_tenant_evidence()
    evidence.calls[0].status, evidence.calls[0].signature = 401, ""
    assert {"valid key", "refusal"} <= usage_rules(evidence)
    evidence.removed_keys.add(FIRST)
    assert "valid key" not in usage_rules(evidence)


@pytest.mark.parametrize("count", [0, 7, 14, 100])
def test_report_that_differs_from_what_ran_is_detected(count):
    """Counts of a killed host, or counted twice."""
    counts = [make_report(n, {"t": count} if n == 2 else {}) for n in range(1, 8)]
    assert "usage" in usage_rules(make_tenant_evidence(reports=counts))


@pytest.mark.parametrize("at", [None, 26.0])
def test_missing_or_late_report_is_detected(at):
    """A window without requests is due, too."""
    reports = [make_report(n, {"t": 10} if n == 2 else {}) for n in (1, 2, 4, 5, 6, 7)]
    if at is not None:
        reports.append(make_report(3, {}, at=35.0))
    evidence = make_tenant_evidence(reports=reports)
    assert "usage" in usage_rules(evidence)
    evidence.record_disturbance(Scope.CORE, "control", "killed", 20.0, 21.0)
    assert "usage" not in usage_rules(evidence)


def test_second_content_of_a_window_is_detected():
    """Also of a report that the platform did not answer; a repeat is none."""
    evidence = make_tenant_evidence()
    evidence.duty_calls.received.append(make_report(2, {"t": 10}, at=30.0))
    assert "usage content" not in usage_rules(evidence)
    evidence.duty_calls.received.append(make_report(2, {"t": 9}, at=31.0))
    assert "usage content" in usage_rules(evidence)


@pytest.mark.parametrize(("holder", "fence"), [("c2", 1), ("c1", 0)])
def test_second_holder_and_lower_token_are_detected(holder, fence):
    """Two holders with one token, and a token that is lower than an earlier one."""
    evidence = make_tenant_evidence()
    again = make_report(2, {"t": 10}, at=40.0, holder=holder, fence=fence)
    evidence.duty_calls.received.append(again)
    assert "one duty holder" in usage_rules(evidence)


def test_order_with_the_token_of_another_holder_is_detected():
    """Reports and orders of one term come from one holder."""
    evidence = make_tenant_evidence()
    order = ScaleRecord(20.0, "models", "z1", 2, False, "c2", 1)
    evidence.duty_calls.orders.append(order)
    assert "one duty holder" in usage_rules(evidence)


@pytest.mark.parametrize("seed", [104, 205, 1187, 4207, 501, 804, 704, 721, 724])
def test_seeds_that_failed_before_have_no_tenants(seed):
    """They would no longer repeat the run that failed."""
    schedule = make_schedule(seed)
    assert not schedule.has_tenants
    assert not any(fault.kind in TENANT_KINDS for fault in schedule.faults)


def test_seeds_with_tenants_have_their_faults():
    """Without them, runs with tenants would show only what other runs show."""
    kinds = {
        fault.kind
        for seed in range(100)
        if make_schedule(seed).has_tenants
        for fault in make_schedule(seed).faults
    }
    assert set(TENANT_KINDS) <= kinds
