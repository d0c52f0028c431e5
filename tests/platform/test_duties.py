"""Calls of duties to the platform: what is sent, and what the answers mean."""

import asyncio

import pytest
from adapter import DutySender

from wigeonspan.common import DomainName, HostId, ServiceName, TenantName
from wigeonspan.duties import DutyOutcome, ReplicaOrder, UsageReport
from wigeonspan.pool import ExchangeError, FailureKind, Head

REPORT = UsageReport(7, ((TenantName("a"), 2), (TenantName("b"), 1)))
ORDER = ReplicaOrder(ServiceName("s"), DomainName("z"), 3)


class FakePool:
    """Answers each call with a status, or fails with an error."""

    def __init__(self, answer):
        self.answer = answer
        self.requests = []

    async def fetch(self, address, request, timeout_s, *, new_connection, may_send):
        assert address == "10.0.0.1:1" and timeout_s <= 1.0 and new_connection
        if not may_send():
            raise ExchangeError(FailureKind.WITHHELD, sent=False)
        self.requests.append(request)
        if isinstance(self.answer, ExchangeError):
            raise self.answer
        return Head(self.answer, []), b""


def report(answer, *, may_send=lambda: True):
    pool = FakePool(answer)
    sender = DutySender("10.0.0.1:1", pool)
    outcome = asyncio.run(sender.report_usage(REPORT, HostId("c1"), 4, may_send))
    return outcome, pool.requests


def order(replica_order):
    pool = FakePool(200)
    sender = DutySender("10.0.0.1:1", pool)
    asyncio.run(sender.order_replicas(replica_order, HostId("c1"), 4, lambda: True))
    return pool.requests[0]


def test_report_has_the_names_and_the_fence_of_the_platform():
    """With another name of a field, the platform would count the report as missing."""
    request = report(200)[1][0]
    assert request.startswith(b"POST /usage HTTP/1.1\r\n")
    assert b"\r\nDuty-Holder: c1\r\n" in request
    assert b"\r\nFencing-Token: 4\r\n" in request
    assert request.endswith(b'\r\n\r\n{"window_seq":7,"counts":{"a":2,"b":1}}')
    assert report(200)[1][0] == request, "a repeat has the same bytes"


def test_order_names_the_kind_of_replica():
    """An order without the kind would be taken for one of ordinary replicas."""
    request = order(ORDER)
    assert request.startswith(b"POST /scale HTTP/1.1\r\n")
    assert request.endswith(b'{"service":"s","zone":"z","desired_count":3}')
    spot = order(ReplicaOrder(ORDER.service, ORDER.domain, 3, reclaimable=True))
    assert spot.endswith(b'"desired_count":3,"spot":true}')


@pytest.mark.parametrize(
    "answer, outcome",
    [
        (200, DutyOutcome.DONE),
        (201, DutyOutcome.DONE),
        (202, DutyOutcome.DONE),
        (204, DutyOutcome.DONE),
        (409, DutyOutcome.CONFLICT),
        (429, DutyOutcome.BUSY),
        (400, DutyOutcome.REFUSED),
        (413, DutyOutcome.REFUSED),
        (500, DutyOutcome.UNKNOWN),
        (503, DutyOutcome.UNKNOWN),
        (408, DutyOutcome.UNKNOWN),
        (302, DutyOutcome.UNKNOWN),
        (ExchangeError(FailureKind.TIMEOUT, sent=True), DutyOutcome.UNKNOWN),
        (ExchangeError(FailureKind.RESET, sent=True), DutyOutcome.UNKNOWN),
        (ExchangeError(FailureKind.CONNECT, sent=False), DutyOutcome.BUSY),
    ],
)
def test_outcome_of_an_answer(answer, outcome):
    """A call that was carried out was repeated, or one that was not was given up."""
    assert report(answer)[0] is outcome


def test_call_without_authority_is_not_written():
    """A holder that was paused while it connected must not act after its successor."""
    assert report(200, may_send=lambda: False) == (DutyOutcome.WITHHELD, [])
