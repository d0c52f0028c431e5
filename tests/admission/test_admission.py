"""Tests of admission control."""

import pytest

from wigeonspan.admission import (
    Admission,
    AdmissionRequest,
    AdmissionSettings,
    Admitted,
    Queued,
    Refused,
)
from wigeonspan.catalog import PriorityClass, Tenant
from wigeonspan.common import ErrorKind, RequestId, ServiceName, TenantName

SERVICE = ServiceName("s")


def make_ticket(
    name, tenant="t", priority=PriorityClass.DESK, deadline=100.0, expected=1.0
):
    return AdmissionRequest(
        request=RequestId(name),
        tenant=TenantName(tenant),
        service=SERVICE,
        priority=priority,
        deadline=deadline,
        expected_s=expected,
    )


def make_admission(slots=1, tenants=(), entries=1, **settings):
    admission = Admission(AdmissionSettings(**settings))
    admission.update_tenants(list(tenants), {}, entries, 0.0)
    admission.update_slots(SERVICE, slots)
    return admission


def test_rate_limit_is_shared_between_entries():
    """An entry must only grant its share of a tenant's burst.

    Each of 8 entries once granted the complete burst, in total 8 times the limit.
    """
    tenant = Tenant(TenantName("t"), rate_per_s=8.0, burst=16.0)
    admission = make_admission(slots=100, tenants=[tenant], entries=8)
    verdicts = [admission.offer(make_ticket(f"r{n}"), 0.0) for n in range(4)]
    assert [type(v) for v in verdicts] == [Admitted, Admitted, Refused, Refused]
    assert verdicts[2].kind is ErrorKind.RATE_LIMITED
    assert verdicts[2].retry_after_s == pytest.approx(1.0)
    assert isinstance(admission.offer(make_ticket("r9"), 1.0), Admitted)


def test_concurrency_limit_queues():
    """A tenant at its concurrency limit must not delay the requests of another one."""
    tenants = [Tenant(TenantName("t"), concurrency=1), Tenant(TenantName("u"))]
    admission = make_admission(slots=4, tenants=tenants)
    assert isinstance(admission.offer(make_ticket("r1"), 0.0), Admitted)
    assert isinstance(admission.offer(make_ticket("r2"), 0.0), Queued)
    assert isinstance(admission.offer(make_ticket("r3", tenant="u"), 0.0), Admitted)
    admission.record_end(RequestId("r1"), 0.5)
    assert admission.poll(0.5) == [Admitted(RequestId("r2"))]


def test_urgent_goes_before_batch():
    """An urgent request must start before a batch request that arrived earlier."""
    admission = make_admission()
    admission.offer(make_ticket("r1"), 0.0)
    admission.offer(make_ticket("b1", priority=PriorityClass.BATCH), 0.0)
    admission.offer(make_ticket("r2"), 0.1)
    admission.record_end(RequestId("r1"), 1.0)
    assert admission.poll(1.0) == [Admitted(RequestId("r2"))]
    admission.record_end(RequestId("r2"), 2.0)
    assert admission.poll(2.0) == [Admitted(RequestId("b1"))]


def test_batch_starts_within_its_start_interval():
    """Batch requests must start despite continuous urgent load.

    Otherwise they would never complete.
    """
    admission = make_admission(batch_start_interval_s=10.0)
    admission.offer(make_ticket("u0"), 0.0)
    admission.offer(
        make_ticket("b", priority=PriorityClass.BATCH, deadline=1000.0), 0.0
    )
    started = []
    for second in range(1, 15):
        admission.offer(make_ticket(f"u{second}", deadline=1000.0), float(second))
        admission.record_end(RequestId(f"u{second - 1}"), float(second))
        started += [v.request for v in admission.poll(float(second))]
        if "b" in started:
            break
    assert "b" in started
    assert second <= 11


def test_deadline_that_cannot_be_met_is_refused_at_once():
    """A request that cannot meet its deadline must be refused at once (invariant I12).

    Such a request was once queued until shortly before its deadline.
    """
    admission = make_admission()
    admission.offer(make_ticket("r1", expected=10.0), 0.0)
    admission.offer(make_ticket("r2", expected=10.0), 0.0)
    verdict = admission.offer(make_ticket("r3", expected=1.0, deadline=5.0), 0.0)
    assert isinstance(verdict, Refused)
    assert verdict.kind is ErrorKind.DEADLINE_TOO_SHORT
    assert verdict.retry_after_s >= 5.0


def test_waiting_request_is_refused_when_it_can_no_longer_end_in_time():
    """A waiting request must be refused at its latest start time.

    It must not wait any longer even if its expected wait was underestimated.
    """
    admission = make_admission()
    admission.offer(make_ticket("r1", expected=0.1), 0.0)
    assert isinstance(admission.offer(make_ticket("r2", deadline=5.0), 0.0), Queued)
    wakeup = admission.next_wakeup(0.0)
    assert 3.5 < wakeup < 4.0
    (verdict,) = admission.poll(wakeup)
    assert verdict.kind is ErrorKind.DEADLINE_TOO_SHORT
    assert admission.next_wakeup(wakeup) is None


def test_full_queue_refuses():
    """Requests above the queue limit must be refused.

    An unbounded queue would grow until the entry runs out of memory.
    """
    admission = make_admission(queue_limit=2)
    verdicts = [
        admission.offer(make_ticket(f"r{n}", deadline=1e6), 0.0) for n in range(4)
    ]
    assert isinstance(verdicts[3], Refused)
    assert verdicts[3].kind is ErrorKind.OVERLOADED


def test_tenants_share_by_weight():
    """Slots must be shared by weight; one tenant's backlog once delayed all others."""
    tenants = [Tenant(TenantName("t"), weight=1.0), Tenant(TenantName("u"), weight=3.0)]
    admission = make_admission(tenants=tenants)
    admission.offer(make_ticket("first"), 0.0)
    for number in range(40):
        admission.offer(make_ticket(f"t{number}", deadline=1e6), 0.0)
    for number in range(40):
        admission.offer(make_ticket(f"u{number}", tenant="u", deadline=1e6), 0.0)
    running, order = "first", []
    for second in range(40):
        admission.record_end(RequestId(running), float(second))
        (verdict,) = admission.poll(float(second))
        running = verdict.request
        order.append(running[0])
    assert 29 <= order.count("u") <= 31


def test_waiting_request_started_by_an_offer_is_reported_by_poll():
    """A waiting request that an offer starts must be returned by the next poll.

    A slot freed before the offer went to a waiting request, but no verdict was returned
    for it. Such requests held their slots for ever, and in the end an entry used only
    three of its 27 slots.
    """
    admission = make_admission()
    admission.offer(make_ticket("r1"), 0.0)
    admission.offer(make_ticket("r2"), 0.0)
    admission.record_end(RequestId("r1"), 0.5)
    assert isinstance(admission.offer(make_ticket("r3"), 0.5), Queued)
    assert admission.next_wakeup(0.5) == 0.5
    assert admission.poll(0.5) == [Admitted(RequestId("r2"))]
